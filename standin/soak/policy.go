package soak

import (
	"fmt"

	"coltsfootusher.example/core/route"
	"coltsfootusher.example/platform/platformtest"
)

const (
	host            = "soak.example"
	callTimeoutMs   = 2000
	maxTargets      = 2
	limitedRate     = 40.0
	limitedBurst    = 20.0
	firstVersion    = 10
	versionStep     = 3
	steadyKey       = "key-of-steady"
	limitedKey      = "key-of-limited"
	steadyAccount   = "steady"
	limitedAccount  = "limited"
	revokedAccount  = "revoked"
	lookupPrefix    = "/lookup/"
	operationPrefix = "/operation/"
	deepPrefix      = "/deep/"
	innerPrefix     = "/inner/"
	addedPrefix     = "/added/"
	// services of the fleet; the targets of the second one call the first one.
	frontService, deepService = "voids", "riders"
)

// policy is the published policy with the parts that change in a run.
type policy struct {
	version int64
	// revocable is the number of the key that is replaced by the next one when it is withdrawn.
	revocable int
	added     bool
}

func revocableKey(number int) string {
	return fmt.Sprintf("key-%d-to-withdraw", number)
}

// next returns the policy that follows: each one withdraws a key, and every second one has a further route.
func (p policy) next() policy {
	return policy{version: p.version + versionStep, revocable: p.revocable + 1, added: !p.added}
}

func (p policy) published() platformtest.Policy {
	lookup := route.Route{
		Host: host, Prefix: lookupPrefix, Service: deepService, Class: route.Lookup, TimeoutMs: callTimeoutMs,
		ObjectiveMs: callTimeoutMs / 4, MaxTargets: maxTargets,
	}
	with := func(prefix, service string, class route.Class, open bool) route.Route {
		r := lookup
		r.Prefix, r.Service, r.Class, r.Open = prefix, service, class, open
		return r
	}
	routes := []route.Route{
		lookup,
		with(operationPrefix, frontService, route.NonIdempotent, false),
		with(deepPrefix, frontService, route.NonIdempotent, false),
		with(innerPrefix, deepService, route.Lookup, true),
	}
	if p.added {
		routes = append(routes, with(addedPrefix, frontService, route.Lookup, false))
	}
	return platformtest.Policy{Version: p.version, Routes: routes, Accounts: []platformtest.Account{
		{Name: steadyAccount, Keys: []string{steadyKey}},
		{Name: limitedAccount, Keys: []string{limitedKey}, RatePerSecond: limitedRate, Burst: limitedBurst},
		{Name: revokedAccount, Keys: []string{revocableKey(p.revocable)}},
	}}
}

// serviceOf returns the service that may run requests for the path.
func serviceOf(prefix string) string {
	switch prefix {
	case lookupPrefix, innerPrefix:
		return deepService
	default:
		return frontService
	}
}
