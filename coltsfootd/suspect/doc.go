// Package suspect watches the local target for crashes and restricts where requests run that may have caused one, so
// that they do not crash further targets.
package suspect
