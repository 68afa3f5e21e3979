// Package suspect watches the local target for crashes and keeps requests that crash targets from spreading.
package suspect
