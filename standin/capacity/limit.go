package capacity

import (
	"strconv"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/limit"
	"coltsfootusher.example/core/seat"
)

const (
	limitDomains        = 11
	limitSeatsPerDomain = 8
	domainVMs           = 227
	drawnTokens         = 4
	returnEvery         = 100
	limitStart          = clock.Millis(1_000_000)
)

// domainOwner owns the seats that a VM of a full failure domain owns.
type domainOwner struct {
	self string
	list seat.List
}

func (o domainOwner) OwnedSince(key string, _ clock.Millis) (clock.Millis, bool) {
	return 0, o.list.Owner(key) == o.self
}

// limits measures the minter and the wallet of one node in a full failure domain.
func (r *run) limits() error {
	list := seat.NewList(1, domainNames())
	for _, size := range r.sizes(1_000, 3_000, 6_000) {
		limits := accountLimits(size)
		minter := func() *limit.Issuer {
			m := limit.NewIssuer(domainOwner{list.VMs[0], list}, 0)
			m.SetLimits(limit.Layout{Domain: "d", Domains: limitDomains, SeatsPerDomain: limitSeatsPerDomain}, limits, 0)
			return m
		}
		r.record("limit", size, "minterBytes", retainedBytes(func() any { return minter() }))
		m, now, next := minter(), limitStart, 0
		r.record("limit", size, "drawCpuMicros", r.cpuMicros(func() {
			next = (next + 1) % size
			now++
			demand := limit.Demand{Account: strconv.Itoa(next), Tokens: drawnTokens, MaxLease: limit.CallLease}
			m.Draw([]limit.Demand{demand}, now)
		}))
		w := limit.NewTokenCache(limit.TokenCacheConfig{})
		w.SetLimits(limits)
		r.record("limit", size, "takeCpuMicros", r.cpuMicros(func() {
			next = (next + 1) % size
			now++
			id := strconv.Itoa(next)
			w.RecordCall(id, now)
			number := w.StartDraw("vm", []limit.Demand{{Account: id, Tokens: 1, MaxLease: limit.CallLease}}, now)
			w.FinishDraw(number, 1, []limit.Lease{{Account: id, ID: uint64(now), Tokens: 1, Duration: limit.CallLease}}, now)
			w.Take(id, now)
			if now%returnEvery == 0 {
				w.CollectReturns(now)
			}
		}))
	}
	r.slope("limit", "minterBytes", "Account")
	r.slope("limit", "drawCpuMicros", "Account")
	r.slope("limit", "takeCpuMicros", "Account")
	return nil
}

func domainNames() []string {
	names := make([]string, domainVMs)
	for i := range names {
		names[i] = "vm-" + strconv.Itoa(i)
	}
	return names
}

func accountLimits(count int) map[string]limit.Limit {
	limits := make(map[string]limit.Limit, count)
	for i := range count {
		limits[strconv.Itoa(i)] = limit.Limit{RatePerSecond: 100, Burst: 100}
	}
	return limits
}
