package metric

import (
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/route"
)

// LatencyMs holds latency histograms by class and outcome, measured at the node that first received the request.
const LatencyMs Name = "latencyMs"

const (
	maxLatencyMs       = 60_000
	significantFigures = 2
)

// percentiles are the published percentiles of a histogram by their keys.
var percentiles = map[string]float64{"p50": 50, "p90": 90, "p99": 99, "max": 100}

// Latency measures how long requests took, by class and outcome.
type Latency struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewLatency publishes empty histograms.
func NewLatency(metrics *expvar.Map) *Latency {
	l := &Latency{histograms: make(map[string]*hdrhistogram.Histogram)}
	metrics.Set(string(LatencyMs), expvar.Func(l.summary))
	return l
}

// Observe records the latency of a request.
func (l *Latency) Observe(class route.Class, outcome Outcome, latency clock.Millis) {
	key := callKey(class, outcome)
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.histograms[key]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMs, significantFigures)
		l.histograms[key] = h
	}
	// The value is clamped to the histogram's range, so that recording can't fail.
	_ = h.RecordValue(min(max(int64(latency), 1), maxLatencyMs))
}

func (l *Latency) summary() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := make(map[string]map[string]int64, len(l.histograms))
	for key, h := range l.histograms {
		values := map[string]int64{"count": h.TotalCount()}
		for name, percent := range percentiles {
			values[name] = h.ValueAtPercentile(percent)
		}
		result[key] = values
	}
	return result
}
