package target

import (
	"context"
	"time"
)

// The reported states of health.
const (
	StatusOK        = "ok"
	StatusColdStart = "coldStart"
	StatusDraining  = "draining"
)

// Report is what the health and load endpoints say.
type Report struct {
	Status      string `json:"status"`
	Running     int64  `json:"running"`
	Waiting     int64  `json:"waiting"`
	Slots       int    `json:"slots"`
	Connections int64  `json:"connections"`
}

// Stats counts what happened at the target since its start.
type Stats struct {
	Report
	Executed int64 `json:"executed"`
	// Shed is the number of requests refused with the header Target-Refused.
	Shed int64 `json:"shed"`
	// WhileDraining is the number of requests that arrived while the target was draining.
	WhileDraining      int64 `json:"whileDraining"`
	RefusedConnections int64 `json:"refusedConnections"`
	PeakConnections    int64 `json:"peakConnections"`
	OmittedEntries     int64 `json:"omittedEntries"`
}

const (
	sampleInterval = 20 * time.Millisecond
	maxReportLag   = time.Minute
)

type sample struct {
	at     time.Time
	report Report
}

// current returns the true state.
func (t *Target) current() Report {
	r := Report{
		Status:      StatusOK,
		Running:     t.running.Load(),
		Waiting:     t.waiting.Load(),
		Slots:       t.settings.Slots,
		Connections: t.openConnections(),
	}
	switch {
	case t.Controls().Draining:
		r.Status = StatusDraining
	case t.cold():
		r.Status = StatusColdStart
	}
	return r
}

// reported returns the state as the endpoints show it: late and misleading if so controlled.
func (t *Target) reported() Report {
	r := t.current()
	c := t.Controls()
	if c.ReportLagMs > 0 {
		r = t.sampleBefore(time.Now().Add(-time.Duration(c.ReportLagMs)*time.Millisecond), r)
	}
	if c.FalseStatus != "" {
		r.Status = c.FalseStatus
	}
	r.Running = int64(float64(r.Running) * c.LoadFactor)
	r.Waiting = int64(float64(r.Waiting) * c.LoadFactor)
	return r
}

// sampleBefore returns the newest sample that is not younger than the time, or else the oldest one.
func (t *Target) sampleBefore(at time.Time, fallback Report) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.samples) == 0 {
		return fallback
	}
	for i := len(t.samples) - 1; i >= 0; i-- {
		if !t.samples[i].at.After(at) {
			return t.samples[i].report
		}
	}
	return t.samples[0].report
}

func (t *Target) recordSamples(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		s := sample{at: time.Now(), report: t.current()}
		t.mu.Lock()
		t.samples = append(t.samples, s)
		if len(t.samples) > int(maxReportLag/sampleInterval) {
			t.samples = t.samples[1:]
		}
		t.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Stats returns the counters.
func (t *Target) Stats() Stats {
	_, omitted := t.journal.Entries()
	s := Stats{
		Report:          t.current(),
		Executed:        t.executions.Load(),
		Shed:            t.shed.Load(),
		WhileDraining:   t.whileDraining.Load(),
		PeakConnections: t.peakConnections.Load(),
		OmittedEntries:  omitted,
	}
	if t.listener != nil {
		s.RefusedConnections = t.listener.refused.Load()
	}
	return s
}
