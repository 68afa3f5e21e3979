package limits

import "expvar"

// counters are the metrics of the limits.
type counters struct {
	admitted, waits, waitMs, exhausted *expvar.Int
	drawn, minted, held, available     *expvar.Float
	seatsOwned, fencesWaiting, pauses  *expvar.Int
	draws, returns, reports, releases  *expvar.Int
	refused                            *expvar.Map
}

func newCounters(metrics *expvar.Map) *counters {
	count := func(name string) *expvar.Int {
		v := new(expvar.Int)
		metrics.Set(name, v)
		return v
	}
	amount := func(name string) *expvar.Float {
		v := new(expvar.Float)
		metrics.Set(name, v)
		return v
	}
	c := &counters{
		admitted: count("limitAdmitted"), waits: count("limitWaits"), waitMs: count("limitWaitMs"),
		exhausted: count("limitExhausted"), drawn: amount("limitTokensDrawn"), minted: amount("limitTokensMinted"),
		held: amount("limitTokensHeld"), available: amount("limitTokensAvailable"), seatsOwned: count("limitSeatsOwned"),
		fencesWaiting: count("limitFencesWaiting"), pauses: count("limitPauses"), draws: count("limitDraws"),
		returns: count("limitReturns"), reports: count("limitReports"), releases: count("limitReleases"),
		refused: new(expvar.Map).Init(),
	}
	metrics.Set("limitRefused", c.refused)
	return c
}
