package bottleneck

import (
	"sync"

	"coltsfootusher.example/core/clock"
)

const (
	// staleAfterMs is the time without samples after which the utilization of a service is unknown.
	staleAfterMs clock.Millis = 1000
	// maxServices bounds the memory. A target calls few services.
	maxServices = 32
)

// Downstream tracks the utilization of the services that a target calls. It is safe for concurrent use.
type Downstream struct {
	mu       sync.Mutex
	services map[string]*average
}

// NewDownstream returns a tracker without samples.
func NewDownstream() *Downstream {
	return &Downstream{services: make(map[string]*average)}
}

// Observe records what the reply to a call of the target reports.
func (d *Downstream) Observe(r Report, now clock.Millis) {
	if !r.Known() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.services[r.Service]
	if a == nil {
		if len(d.services) >= maxServices {
			return
		}
		a = &average{halfLifeMs: utilizationHalfLifeMs, updated: now}
		d.services[r.Service] = a
	}
	a.add(r.Utilization, now)
}

// Worst returns the most utilized service, or an empty report if none was called lately.
func (d *Downstream) Worst(now clock.Millis) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	var worst Report
	for service, a := range d.services {
		if now-a.updated > staleAfterMs {
			delete(d.services, service)
			continue
		}
		worst = worst.Worse(Report{Service: service, Utilization: min(maxUtilization, a.value())})
	}
	return worst
}
