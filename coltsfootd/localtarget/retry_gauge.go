package localtarget

import "sync"

// retryGauge keeps the expected number of retries among the running requests.
type retryGauge struct {
	mu              sync.Mutex
	running         int
	expectedRetries float64
}

// begin counts a request that is a retry with the given probability.
func (g *retryGauge) begin(probability float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
	g.expectedRetries += probability
}

func (g *retryGauge) end(probability float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.expectedRetries -= probability
	if g.running == 0 {
		// Prevents rounding errors from accumulating.
		g.expectedRetries = 0
	}
}

func (g *retryGauge) fraction() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == 0 {
		return 0
	}
	return min(1, max(0, g.expectedRetries/float64(g.running)))
}
