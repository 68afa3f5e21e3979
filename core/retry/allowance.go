package retry

import "sync"

// Allowance is the number of retries that a request in flight at a node, together with its inner calls, may still make.
// It is safe for concurrent use by the inner calls of the request.
type Allowance struct {
	mu sync.Mutex
	// left is the number of retries that can be spent or delegated; delegated is the number passed to inner calls that have
	// not returned yet.
	left, delegated int
}

// NewAllowance returns an allowance of n retries; a negative n counts as 0.
func NewAllowance(n int) *Allowance {
	return &Allowance{left: max(0, n)}
}

// TakeAll removes all remaining retries and returns their number, to delegate them to an inner call.
// A concurrent sibling call gets none until that inner call returns.
func (a *Allowance) TakeAll() int {
	return a.TakeAllExcept(0)
}

// TakeAllExcept is like TakeAll but keeps up to kept retries at this node.
// Delegated retries are lost when the response of the inner call is lost, so a retry after such a loss needs kept >= 1.
func (a *Allowance) TakeAllExcept(kept int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := max(0, a.left-max(0, kept))
	a.left -= taken
	a.delegated += taken
	return taken
}

// Return adds back the unused retries that a response reports. The number is limited to what is delegated,
// so that a wrong response cannot create retries.
func (a *Allowance) Return(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	returned := min(max(0, n), a.delegated)
	a.delegated -= returned
	a.left += returned
}

// TrySpend uses one retry for this node and reports whether one was left.
func (a *Allowance) TrySpend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}
