package platform

import (
	"maps"
	"time"
)

// Stats counts the calls of readers; a waiting watch counts as one call.
type Stats struct {
	Values  int64 `json:"values"`
	Watches int64 `json:"watches"`
	// Waiting is the number of watches and hanging calls that are waiting now.
	Waiting int64 `json:"waiting"`
	// PeakPerSecond is the largest number of calls that arrived within one second of the clock.
	PeakPerSecond int              `json:"peakPerSecond"`
	ByStatus      map[int]int64    `json:"byStatus"`
	ByReader      map[string]int64 `json:"byReader"`
}

func newStats() Stats {
	return Stats{ByStatus: make(map[int]int64), ByReader: make(map[string]int64)}
}

// Stats returns a copy of the counters.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	copied := p.stats
	copied.ByStatus = maps.Clone(p.stats.ByStatus)
	copied.ByReader = maps.Clone(p.stats.ByReader)
	return copied
}

// ResetStats sets all counters but Waiting to zero.
func (p *Platform) ResetStats() {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := p.stats.Waiting
	p.stats = newStats()
	p.stats.Waiting = waiting
	p.inSecond = 0
}

func (p *Platform) countCall(reader string, watch bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if watch {
		p.stats.Watches++
	} else {
		p.stats.Values++
	}
	p.stats.ByReader[reader]++
	p.stats.Waiting++
	if now := time.Now().Unix(); now != p.second {
		p.second, p.inSecond = now, 0
	}
	p.inSecond++
	p.stats.PeakPerSecond = max(p.stats.PeakPerSecond, p.inSecond)
}

func (p *Platform) countStatus(status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.ByStatus[status]++
	p.stats.Waiting--
}
