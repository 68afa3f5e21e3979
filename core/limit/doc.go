// Package limit admits root calls within each account's rate and burst over the whole fleet by conserving tokens.
//
// The Minter accrues the tokens of the seats that this node owns and leases them, in fractions if need be, to
// Wallets. A Wallet adds the fractions of several seats up to whole tokens. For each seat, balance + outstanding
// leases <= share of the burst at all times, and tokens are added only at the share of the rate, so the calls
// admitted in any window are <= burst + rate x window over the fleet.
package limit
