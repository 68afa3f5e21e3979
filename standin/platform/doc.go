// Package platform is a test stand-in for the operators' configuration service and VM list.
//
// Readers use GET /v1/values/NAME and GET /v1/watch/NAME?after=V&waitMs=N. Tests use /admin/ calls to publish
// values, to impose failure modes on all readers or on single ones, and to read call counts.
package platform
