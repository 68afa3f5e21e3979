package retry

import "sync"

// Allowance is the number of retries that one request in flight at one node, and the calls below it, may still make.
// It is safe for concurrent use by the inner calls of the request.
type Allowance struct {
	mu sync.Mutex
	// left can still be spent or delegated away; delegated is with inner calls that have not answered.
	left, delegated int
}

// NewAllowance returns an allowance of n retries; a negative n counts as 0.
func NewAllowance(n int) *Allowance {
	return &Allowance{left: max(0, n)}
}

// TakeAll removes and returns everything that is left, for an inner call to carry.
// A concurrent sibling carries 0 until the inner call answers.
func (a *Allowance) TakeAll() int {
	return a.TakeAllExcept(0)
}

// TakeAllExcept is TakeAll except that up to kept retries stay here.
// An inner call whose response is lost keeps what it carried, so a retry after such a loss needs kept >= 1.
func (a *Allowance) TakeAllExcept(kept int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := max(0, a.left-max(0, kept))
	a.left -= taken
	a.delegated += taken
	return taken
}

// Return returns the unused part of an allowance that came back with a response.
// More than is carried by inner calls is cut off, so that a wrong response cannot create retries.
func (a *Allowance) Return(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	returned := min(max(0, n), a.delegated)
	a.delegated -= returned
	a.left += returned
}

// TrySpend uses one retry at this node and reports whether one was left.
func (a *Allowance) TrySpend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}
