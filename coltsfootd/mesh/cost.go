package mesh

import (
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/workcost"
)

// costLinesPerSecond limits the log lines about a target that reports its slowness now and then.
const costLinesPerSecond = 1

// costStatus is the state of the cost estimates of the local target, as metrics show it.
type costStatus struct {
	On              bool         `json:"on"`
	SlownessPercent int          `json:"slownessPercent"`
	OutstandingMs   clock.Millis `json:"outstandingMs"`
	Keys            int          `json:"keys"`
}

// estimateCosts makes the gate estimate the costs of requests by route, if the settings and the local target call for it.
func (n *Node) estimateCosts() {
	logger := logging.WithPart(n.logger, "target")
	n.costs = workcost.NewEstimator(n.settings.CostPlacement)
	// The gate calls OnSwitch with the lock of the admission held.
	lines := logging.NewThrottle(costLinesPerSecond)
	n.costs.OnSwitch = func(on bool) {
		if !lines.Allow(n.clock.Now()) {
			return
		}
		_ = level.Info(logger).Log("msg", "estimates of request cost changed", "on", on, "setting", n.settings.CostPlacement)
	}
	n.admission.Update(func(g *gate.Gate, _ clock.Millis) []gate.Decision {
		g.SetEstimator(n.costs)
		return nil
	})
}

func (n *Node) targetCost() any {
	var s costStatus
	n.admission.Update(func(g *gate.Gate, now clock.Millis) []gate.Decision {
		load := g.Load(now)
		s = costStatus{
			On: n.costs.On(), SlownessPercent: load.SlownessPercent, OutstandingMs: load.WorkMs, Keys: n.costs.Keys(),
		}
		return nil
	})
	return s
}
