package forward

import (
	"expvar"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/dispatch"
	"coltsfootusher.example/core/workcost"
)

// placementLinesPerSecond limits the log lines about services for which placement by cost is turned on or off.
const placementLinesPerSecond = 2

// Placement estimates the costs of the requests that begin at this node, for the choice of their targets.
type Placement struct {
	mode   workcost.Mode
	logger log.Logger
	// idle is true until a reply with a slowness arrives, so that nothing is locked where no target reports one.
	idle atomic.Bool

	mu       sync.Mutex
	book     *workcost.Book
	switches map[string]*workcost.Switch
	lines    logging.Throttle
}

// NewPlacement returns a placement without any learned costs.
func NewPlacement(m workcost.Mode, logger log.Logger) *Placement {
	p := &Placement{
		mode: m, logger: logger, book: workcost.New(), switches: make(map[string]*workcost.Switch),
		lines: logging.NewThrottle(placementLinesPerSecond),
	}
	p.idle.Store(m != workcost.On)
	return p
}

// Publish exports the services for which the part is on and the number of keys as metrics.
func (p *Placement) Publish(metrics *expvar.Map) {
	metrics.Set("costPlacementServices", expvar.Func(func() any { return p.services() }))
	metrics.Set("costPlacementKeys", expvar.Func(func() any {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.book.Len()
	}))
}

// services returns the names of the services for which the part is on.
func (p *Placement) services() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []string{}
	for name, s := range p.switches {
		if s.On() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// expect returns the expected cost of a request, or a zero estimate if its target is not chosen by cost.
func (p *Placement) expect(k workcost.Key, now clock.Millis) workcost.Estimate {
	if p.idle.Load() {
		return workcost.Estimate{AgeMs: -1}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.switches[k.Service]; s == nil || !s.On() {
		return workcost.Estimate{AgeMs: -1}
	}
	return p.book.Estimate(k, now)
}

// observe learns from a reply. A reply without a load was made up because the node did not answer.
func (p *Placement) observe(j Job, r dispatch.Reply, now clock.Millis) {
	percent := r.Load.SlownessPercent
	if r.Load.Limit == 0 || p.mode == workcost.Off || percent == 0 && p.idle.Load() {
		return
	}
	p.idle.Store(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.switches[j.Service]
	if s == nil {
		s = workcost.NewSwitch(p.mode)
		p.switches[j.Service] = s
	}
	if s.Observe(percent > 0) && p.lines.Allow(now) {
		_ = level.Info(p.logger).Log("msg", "placement by cost changed", "service", j.Service, "on", s.On(), "target", j.Target)
	}
	if !s.On() || r.TargetMs <= 0 {
		return
	}
	p.book.Observe(costKey(j), workcost.Sample{
		SlotMs: r.TargetMs, Slowness: float64(percent) / workcost.NormalPercent, LowerBound: !r.OK(),
	}, now)
}

func costKey(j Job) workcost.Key {
	return workcost.Key{Service: j.Service, Route: j.Route, Size: workcost.SizeClass(len(j.Body))}
}
