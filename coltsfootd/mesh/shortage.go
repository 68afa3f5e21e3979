package mesh

import (
	"expvar"

	"github.com/go-kit/log/level"
)

// publishShortage exports the admitted share of lookups for each service that is short of capacity.
func (n *Node) publishShortage(metrics *expvar.Map) {
	if n.shortage == nil {
		return
	}
	metrics.Set("shortageShares", expvar.Func(func() any { return n.shortage.Shares() }))
}

// logShortage logs for which services lookups are limited from now on, or are not any more.
func (n *Node) logShortage() {
	if n.shortage == nil {
		return
	}
	for _, c := range n.shortage.TakeChanges() {
		msg := "service has capacity again, lookups are no longer limited"
		if c.Limited {
			msg = "service is short of capacity, lookups are limited in favor of more important requests"
		}
		_ = level.Info(n.logger).Log("part", "entry", "msg", msg, "service", c.Service, "utilization", c.Utilization,
			"ageMs", int64(n.clock.Now()-c.AtMs))
	}
}
