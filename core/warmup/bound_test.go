package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/service"
	"coltsfootusher.example/core/vm"
)

// allSlots is a limiter that never limits.
type allSlots struct{}

func (allSlots) Limit() int                             { return 1 << 20 }
func (allSlots) Observe(gate.Sample, int, clock.Millis) {}

// world is a target with the node beside it. Requests are sent in the millisecond in which the gate starts them.
type world struct {
	random    *rand.Rand
	published service.Service
	now       clock.Millis

	// downUntil and coldUntil describe the target, startedMs its lifetime.
	downUntil, coldUntil clock.Millis
	startedMs            int64
	sequence             int64
	wrongTarget          bool

	tracker    *Tracker
	gate       *gate.Gate
	perSecond  float64
	limited    bool
	nextID     uint64
	lastSentAt clock.Millis
	// entries and checks are on their way to the node.
	entries []delivery
	check   *delivery
	running map[clock.Millis][]uint64
	// counted are the times at which requests arrived that count towards the bound.
	counted []clock.Millis
}

type delivery struct {
	at    clock.Millis
	entry vm.VM
	check Check
}

func newWorld(seed uint64, perSecond float64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, seed)), now: start, startedMs: 1,
		published: service.Service{ColdPerSecond: perSecond, WarmupMs: 8000}, running: make(map[clock.Millis][]uint64),
	}
	w.startNode()
	return w
}

// between returns a random time from low up to high.
func (w *world) between(low, high int64) clock.Millis {
	return clock.Millis(low + w.random.Int64N(high-low))
}

func (w *world) startNode() {
	config := gate.Config{Slots: 500, QueueLimit: 2000, QueueTimeoutMs: 250, LookupShare: 0.15, Enabled: true}
	w.gate = gate.New(config, allSlots{}, w.random, w.now)
	w.tracker, w.limited, w.check = New(w.now), false, nil
	clear(w.running)
	w.apply(func() { w.tracker.Publish(w.published, w.now) })
}

// apply changes the tracker and puts its limit into force.
func (w *world) apply(event func()) {
	event()
	perSecond, limited := w.tracker.Limit(w.now)
	switch {
	case limited && (!w.limited || perSecond != w.perSecond):
		w.perSecond, w.limited = perSecond, limited
		w.send(w.gate.SetRateLimit(perSecond, w.now))
	case !limited && w.limited:
		w.limited = false
		w.send(w.gate.RemoveRateLimit(w.now))
	}
	if w.check == nil && w.tracker.CheckDue(w.now) {
		w.gate.ChargeRate(w.now)
		w.check = &delivery{at: w.now + 1 + w.between(0, 300), check: Check{SentAt: w.now}}
		w.arrive()
	}
}

// arrive counts a request that the target gets while it is cold.
func (w *world) arrive() {
	if w.now >= w.downUntil && w.now < w.coldUntil && !w.wrongTarget {
		w.counted = append(w.counted, w.now)
	}
}

func (w *world) send(decisions []gate.Decision) {
	var refund, refused bool
	for _, d := range decisions {
		if !d.Admitted {
			w.tracker.Pressed()
			continue
		}
		w.lastSentAt = w.now
		w.arrive()
		refused = refused || w.now < w.downUntil
		refund = refund || w.wrongTarget
		end := w.now + 5 + w.between(0, 60)
		w.running[end] = append(w.running[end], d.ID)
	}
	if refused {
		w.apply(func() { w.tracker.Refused(w.now) })
	}
	if refund {
		w.gate.RefundRate(w.now)
	}
}

// step advances the world by one millisecond with the given number of arriving requests.
func (w *world) step(arrivals int) {
	w.now++
	if w.random.IntN(1500) == 0 {
		w.sequence++
		entry := vm.VM{Name: "t1", StartedMs: w.startedMs, Sequence: w.sequence, ColdMs: max(0, w.coldUntil-w.now)}
		w.entries = append(w.entries, delivery{at: w.now + w.between(0, 4000), entry: entry})
	}
	for _, e := range w.entries {
		if e.at == w.now {
			w.apply(func() { w.tracker.Listed(e.entry, w.now) })
		}
	}
	if w.check != nil && w.check.at <= w.now {
		w.endCheck()
	}
	for _, id := range w.running[w.now] {
		if w.now >= w.downUntil {
			w.tracker.Answered(w.now-60, w.now)
		}
		w.send(w.gate.Done(id, gate.Sample{LatencyMs: 20}, w.now))
	}
	delete(w.running, w.now)
	w.apply(func() {})
	for range arrivals {
		w.nextID++
		class := route.Lookup
		if w.nextID%3 == 0 {
			class = route.NonIdempotent
		}
		if w.now-w.lastSentAt >= 5000 && w.now > w.lastSentAt {
			began := false
			w.apply(func() { began = w.tracker.Idle(w.now) })
			if began {
				w.send(w.gate.GrantStarts(IdleStarts, w.now))
			}
		}
		w.send(w.gate.Offer(gate.Request{ID: w.nextID, Class: class, Arrival: w.now, Deadline: w.now + 5000}, w.now))
	}
	w.send(w.gate.Tick(w.now))
}

func (w *world) endCheck() {
	c := w.check.check
	w.check = nil
	if w.now < w.downUntil {
		w.apply(func() { w.tracker.Refused(w.now) })
		return
	}
	if w.coldUntil-w.now > w.published.WarmupMs-(w.now-c.SentAt) {
		return // The target that got the check has crashed.
	}
	c.Target, c.Healthy, c.ColdMs = "t1", true, max(0, w.coldUntil-w.now)
	w.apply(func() { w.tracker.Checked(c, w.now) })
}

// crash ends the target's process, which starts again after the given time. Its connections are lost. Without open ones, the node
// does not notice.
func (w *world) crash(down clock.Millis) {
	w.downUntil, w.coldUntil = w.now+down, w.now+down+w.published.WarmupMs
	w.startedMs, w.sequence = int64(w.now), 0
	if w.now-w.lastSentAt < 5000 {
		w.apply(func() { w.tracker.Lost(w.now) })
	}
}

// crashUnnoticed restarts the target while no connection to it is open.
func (w *world) crashUnnoticed() {
	for range 6000 {
		w.step(0)
	}
	w.crash(w.between(0, 200))
	for range 300 {
		w.step(0)
	}
}

// Guards against more requests in any second than a cold target survives, whatever order of crashes, quick and slow restarts,
// restarts of the node, evacuations, answers of another target and late entries leads to it. Load: demand that changes between
// none, some, and up to 50 times the allowance.
func TestColdTargetNeverGetsMoreThanItTolerates(t *testing.T) {
	seed := rand.Uint64()
	for i := range uint64(15) {
		perSecond := []float64{0.3, 1, 5, 20, 200}[i%5]
		t.Run(fmt.Sprintf("seed %d", seed+i), func(t *testing.T) {
			w := newWorld(seed+i, perSecond)
			demand := 0.0
			for range 40_000 {
				switch w.random.IntN(4000) {
				case 0, 1:
					w.crash(w.between(0, 3) * w.between(0, 1500))
				case 2:
					w.startNode()
				case 3:
					w.coldUntil = w.now + w.published.WarmupMs
					w.apply(func() { w.tracker.Returned(w.now) })
				case 4:
					w.wrongTarget = !w.wrongTarget
				case 5:
					w.crashUnnoticed()
					demand = 50 * perSecond
				case 6, 7, 8, 9:
					demand = []float64{0, 0, 1, 3, 50}[w.random.IntN(5)] * perSecond
				}
				arrivals := int(demand / millisPerSecond)
				if w.random.Float64() < demand/millisPerSecond-float64(arrivals) {
					arrivals++
				}
				w.step(arrivals)
			}
			checkWindows(t, w.counted, perSecond*1.5+8)
		})
	}
}

func checkWindows(t *testing.T, times []clock.Millis, allowed float64) {
	t.Helper()
	from := 0
	for i, at := range times {
		for times[from] <= at-millisPerSecond {
			from++
		}
		assert.Assert(t, float64(i-from+1) <= allowed, "%d requests in the second before %d, %v allowed", i-from+1, at, allowed)
	}
}

// Guards against requests that wait for a cold target until their deadline, and against a burst when it turns cold. Load: a
// thousand requests that wait when the target turns cold.
func TestWaitingRequestsAreRefusedWhenTheTargetTurnsCold(t *testing.T) {
	w := newWorld(1, 20)
	w.tracker.Checked(Check{SentAt: w.now, Target: "t1", Healthy: true}, w.now)
	w.apply(func() {})
	admitted, refused := 0, 0
	count := func(decisions []gate.Decision) {
		for _, d := range decisions {
			if d.Admitted {
				admitted++
			} else {
				refused++
			}
		}
	}
	for id := range uint64(1500) {
		count(w.gate.Offer(gate.Request{ID: id + 1, Class: route.Lookup, Arrival: w.now, Deadline: w.now + 5000}, w.now))
	}
	assert.Equal(t, admitted, 500)
	w.tracker.Lost(w.now)
	limit, _ := w.tracker.Limit(w.now)
	count(w.gate.SetRateLimit(limit, w.now))
	assert.Equal(t, admitted, 500)
	assert.Assert(t, refused >= 995, "%d refused", refused)
}
