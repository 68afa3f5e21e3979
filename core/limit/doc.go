// Package limit enforces each account's rate and burst for root calls over the whole fleet.
//
// An Issuer refills the token buckets of the seats that its node owns and grants leases on their tokens, in fractions if
// need be, to the TokenCaches of all nodes. A TokenCache adds the fractions of several seats up to whole tokens.
//
// For each seat, balance + outstanding leases <= the seat's share of the burst at all times, and tokens are added only at
// the seat's share of the rate. The calls that the fleet admits in any window are therefore <= burst + rate x window.
package limit
