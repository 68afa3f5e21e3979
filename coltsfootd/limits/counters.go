package limits

import "expvar"

// counters holds the metrics of the rate limits.
type counters struct {
	admitted, waits, waitMs, exhausted *expvar.Int
	drawn, minted, held, available     *expvar.Float
	seatsOwned, fencesWaiting, pauses  *expvar.Int
	draws, returns, reports, releases  *expvar.Int
	refused                            *expvar.Map
}

func newCounters(metrics *expvar.Map) *counters {
	newInt := func(name string) *expvar.Int {
		v := new(expvar.Int)
		metrics.Set(name, v)
		return v
	}
	newFloat := func(name string) *expvar.Float {
		v := new(expvar.Float)
		metrics.Set(name, v)
		return v
	}
	c := &counters{
		admitted: newInt("limitAdmitted"), waits: newInt("limitWaits"), waitMs: newInt("limitWaitMs"),
		exhausted: newInt("limitExhausted"), drawn: newFloat("limitTokensDrawn"), minted: newFloat("limitTokensMinted"),
		held: newFloat("limitTokensHeld"), available: newFloat("limitTokensAvailable"), seatsOwned: newInt("limitSeatsOwned"),
		fencesWaiting: newInt("limitFencesWaiting"), pauses: newInt("limitPauses"), draws: newInt("limitDraws"),
		returns: newInt("limitReturns"), reports: newInt("limitReports"), releases: newInt("limitReleases"),
		refused: new(expvar.Map).Init(),
	}
	metrics.Set("limitRefused", c.refused)
	return c
}
