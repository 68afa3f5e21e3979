package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
)

// deadlineCheckInterval is how often the deadlines of waiting calls are checked.
const deadlineCheckInterval = 5 * time.Millisecond

// Admission makes a gate safe for concurrent use and delivers its decisions to the requests that wait for them.
type Admission struct {
	clock clock.Clock

	mu      sync.Mutex
	gate    *gate.Gate
	waiting map[uint64]chan gate.Decision
	nextID  uint64
	// callQueued wakes Run when a call starts to wait, so that no ticker runs while the queue is empty.
	callQueued chan struct{}
}

// NewAdmission returns admission control by the gate g.
func NewAdmission(g *gate.Gate, c clock.Clock) *Admission {
	return &Admission{clock: c, gate: g, waiting: make(map[uint64]chan gate.Decision), callQueued: make(chan struct{}, 1)}
}

// Run refuses waiting calls whose time has passed, until ctx ends.
func (a *Admission) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.callQueued:
			a.expireWaiting(ctx)
		}
	}
}

// expireWaiting refuses calls whose time has passed until no call waits or ctx ends.
func (a *Admission) expireWaiting(ctx context.Context) {
	ticker := time.NewTicker(deadlineCheckInterval)
	defer ticker.Stop()
	for a.anyWaiting() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.Update(func(g *gate.Gate, now clock.Millis) []gate.Decision { return g.Tick(now) })
		}
	}
}

func (a *Admission) anyWaiting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting) > 0
}

// Update changes the gate and delivers the decisions that result from the change.
func (a *Admission) Update(change func(g *gate.Gate, now clock.Millis) []gate.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(change(a.gate, a.clock.Now()))
}

// Admit waits until the gate admits or refuses the request, its deadline passes or ctx ends.
func (a *Admission) Admit(ctx context.Context, r gate.Request) gate.Decision {
	a.mu.Lock()
	a.nextID++
	r.ID = a.nextID
	now := a.clock.Now()
	decisions := a.gate.Offer(r, now)
	a.deliver(decisions)
	if i := slices.IndexFunc(decisions, func(d gate.Decision) bool { return d.ID == r.ID }); i >= 0 {
		a.mu.Unlock()
		return decisions[i]
	}
	decided := make(chan gate.Decision, 1)
	a.waiting[r.ID] = decided
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, (r.Deadline - now).Duration())
	defer cancel()
	return a.wait(ctx, r.ID, decided)
}

// wait waits for the decision about a request in the queue.
func (a *Admission) wait(ctx context.Context, id uint64, decided chan gate.Decision) gate.Decision {
	select {
	case a.callQueued <- struct{}{}:
	default:
	}
	select {
	case d := <-decided:
		d.Waited = true
		return d
	case <-ctx.Done():
		d := a.cancel(id, decided)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.Reason = call.ReasonDeadlineExceeded
		}
		return d
	}
}

// cancel removes a waiting request from the queue. If the gate has admitted it meanwhile, its slot is released.
func (a *Admission) cancel(id uint64, decided chan gate.Decision) gate.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	select {
	case d := <-decided:
		if d.Admitted {
			a.deliver(a.gate.Done(id, gate.Sample{Cancelled: true}, now))
		}
	default:
		delete(a.waiting, id)
		a.deliver(a.gate.Cancel(id, now))
	}
	return gate.Decision{ID: id, Reason: call.ReasonCallerGone}
}

// Done releases the slot of an admitted request that has ended.
func (a *Admission) Done(id uint64, s gate.Sample) {
	a.Update(func(g *gate.Gate, now clock.Millis) []gate.Decision { return g.Done(id, s, now) })
}

// Load returns the current load of the gate.
func (a *Admission) Load() call.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Load(a.clock.Now())
}

// WaitingTargets returns the ids of the targets for which requests wait.
func (a *Admission) WaitingTargets() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.WaitingTargets()
}

func (a *Admission) deliver(decisions []gate.Decision) {
	for _, d := range decisions {
		if decided, ok := a.waiting[d.ID]; ok {
			delete(a.waiting, d.ID)
			decided <- d
		}
	}
}
