package gate

import "math"

// account counts the calls of one client account at this gate.
type account struct {
	id               string
	weight           float64
	running, waiting int
}

// account returns the counters of the request's account after updating the weight from the request.
func (g *Gate) account(r Request) *account {
	a := g.accounts[r.Account]
	if a == nil {
		a = &account{id: r.Account}
		g.accounts[r.Account] = a
	}
	a.weight = r.Weight
	if !(r.Weight > 0) || math.IsInf(r.Weight, 1) {
		a.weight = 1
	}
	return a
}

// dropIdleAccount deletes the counters of an account without calls, so that removed accounts don't use memory.
func (g *Gate) dropIdleAccount(a *account) {
	if a.running == 0 && a.waiting == 0 {
		delete(g.accounts, a.id)
	}
}

// loadShare returns the number of calls of the account at this gate divided by its weight.
func (a *account) loadShare() float64 {
	return float64(a.running+a.waiting) / a.weight
}
