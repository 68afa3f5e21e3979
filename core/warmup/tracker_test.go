package warmup

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/service"
	"coltsfootusher.example/core/vm"
)

// published is a service whose cold targets tolerate 20 requests per second for 10 s.
var published = service.Service{ColdPerSecond: 20, WarmupMs: 10_000}

const start clock.Millis = 1_000_000

// warmTracker returns a tracker whose target has answered a health check as warm at the time start.
func warmTracker() *Tracker {
	t := New(start - 20)
	t.Publish(published, start-20)
	t.Listed(entry(1, 0), start-20)
	t.Checked(Check{SentAt: start - 10, Target: "t1", Healthy: true}, start)
	return t
}

func entry(sequence int64, coldMs clock.Millis) vm.VM {
	return vm.VM{Name: "t1", StartedMs: 1000, Sequence: sequence, ColdMs: coldMs}
}

// Guards against full load on a target that may be cold after an event, against a target that stays slowed down after a health
// check has shown that it is warm, and against an end of the warm-up that is too early or too late. Load: none, each event alone.
func TestStateAfterEvents(t *testing.T) {
	check := func(coldMs clock.Millis, target string) func(*Tracker) {
		return func(tr *Tracker) {
			tr.Checked(Check{SentAt: start + 100, Target: target, Healthy: true, ColdMs: coldMs}, start+110)
		}
	}
	for _, c := range []struct {
		name   string
		events []func(*Tracker)
		// coldUntil is the time from start at which the target turns warm; 0 means that it is warm at once, -1 that it stays cold.
		coldUntil clock.Millis
	}{
		{"nothing", nil, 0},
		{"connections lost, warm", []func(*Tracker){lost, check(0, "t1")}, 0},
		{"connections lost, no check answered", []func(*Tracker){lost}, -1},
		{"refused, cold for less than published", []func(*Tracker){refused, check(3000, "t1")}, 3110},
		{"refused, a request answered", []func(*Tracker){refused, answered(start+100, start+200)}, 10_200},
		{"refused, only a request from before answered", []func(*Tracker){refused, answered(start-10, start+200)}, -1},
		{"refused after the check was sent", []func(*Tracker){func(tr *Tracker) { tr.Refused(start + 105) }, check(0, "t1")}, -1},
		{"check answered as unhealthy", []func(*Tracker){refused, func(tr *Tracker) {
			tr.Checked(Check{SentAt: start + 100, Target: "t1"}, start+110)
		}}, 10_110},
		{"listed as cold", []func(*Tracker){listed(entry(2, 4000))}, 4000},
		{"listed as cold just before a check", []func(*Tracker){listed(entry(2, 4000)), lost, check(0, "t1")}, 4000},
		{"listed as cold, the check is of a later target", []func(*Tracker){listed(entry(2, 4000)), lost, check(0, "t2")}, 0},
		{"listed as cold in an earlier lifetime", []func(*Tracker){
			listed(vm.VM{Name: "t1", StartedMs: 500, Sequence: 9, ColdMs: 4000}),
		}, 0},
		{"listed again unchanged", []func(*Tracker){listed(entry(2, 4000)), func(tr *Tracker) {
			tr.Listed(entry(2, 4000), start+3000)
		}}, 4000},
		{"passed on by a node of an older version", []func(*Tracker){listed(entry(2, 4000)), listed(entry(2, 0))}, 4000},
		{"earlier report received late", []func(*Tracker){listed(entry(3, 0)), listed(entry(2, 4000))}, 0},
		{"listed as warm soon after a loss", []func(*Tracker){lost, func(tr *Tracker) { tr.Listed(entry(2, 0), start+2000) }}, -1},
		{"listed as warm long after a loss", []func(*Tracker){lost, func(tr *Tracker) { tr.Listed(entry(2, 0), start+5000) }}, 5000},
		{"restarted with the same id", []func(*Tracker){
			listed(vm.VM{Name: "t1", StartedMs: 2000, Sequence: 1, ColdMs: 9000}), check(8000, "t1"),
		}, 9000},
		{"another target answers", []func(*Tracker){func(tr *Tracker) { tr.Replaced("t1", start+50) }}, -1},
		{"another target answers for a former id", []func(*Tracker){func(tr *Tracker) { tr.Replaced("t0", start+50) }}, 0},
		{"evacuation ended", []func(*Tracker){func(tr *Tracker) { tr.Returned(start) }}, -1},
		{"idle, a request answered", []func(*Tracker){func(tr *Tracker) { tr.Idle(start) }, answered(start, start+10)}, 10_010},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := warmTracker()
			for _, event := range c.events {
				event(tr)
			}
			const end = start + 60_000
			now := start + 200
			if c.coldUntil > 200 {
				now = start + c.coldUntil - 1
				assert.Assert(t, tr.State(now).Cold, "%+v", tr.State(now))
				now++
			}
			if c.coldUntil < 0 {
				now = end
			}
			assert.Equal(t, tr.State(now).Cold, c.coldUntil < 0, "%+v", tr.State(now))
		})
	}
}

func lost(t *Tracker)    { t.Lost(start) }
func refused(t *Tracker) { t.Refused(start) }

func answered(sentAt, now clock.Millis) func(*Tracker) {
	return func(t *Tracker) { t.Answered(sentAt, now) }
}

func listed(v vm.VM) func(*Tracker) {
	return func(t *Tracker) { t.Listed(v, start) }
}

// Guards against a healthy service that is slowed down while all its nodes restart: the first health check must lift the limit
// without a ramp. Load: a node that starts beside a warm target.
func TestNodeThatStartsBesideAWarmTargetLiftsTheLimitAtOnce(t *testing.T) {
	tr := New(start)
	_, limited := tr.Limit(start)
	assert.Assert(t, !limited, "no allowance is published yet")
	tr.Publish(published, start)
	limit, limited := tr.Limit(start)
	assert.Assert(t, limited && limit == 20 && tr.State(start).Reason == ReasonNodeStarted)
	assert.Assert(t, tr.CheckDue(start))
	tr.Checked(Check{SentAt: start, Target: "t1", Healthy: true}, start+3)
	_, limited = tr.Limit(start + 3)
	assert.Assert(t, !limited)
}

// Guards against a load that jumps when the warm-up ends, and against a ramp that never ends. Load: none.
func TestLoadGrowsOverASecondAfterTheWarmup(t *testing.T) {
	for name, event := range map[string]func(*Tracker){
		"cold": func(tr *Tracker) { tr.Listed(entry(2, 1000), start-1000) },
		"returned, warm": func(tr *Tracker) {
			tr.Returned(start - 5)
			tr.Checked(Check{SentAt: start - 5, Target: "t1", Healthy: true}, start)
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr := New(start - 5000)
			tr.Publish(published, start-5000)
			tr.Checked(Check{SentAt: start - 5000, Target: "t1", Healthy: true}, start-5000)
			event(tr)
			last := 0.0
			for now := start; now < start+rampMs; now += rampStepMs {
				limit, limited := tr.Limit(now)
				assert.Assert(t, limited && limit > last && limit <= max(20, 2*last), "%v after %v", limit, last)
				last = limit
			}
			assert.Assert(t, last > 5000, "%v", last)
			_, limited := tr.Limit(start + rampMs)
			assert.Assert(t, !limited)
		})
	}
}

// Guards against health checks in steady state and against more than one per second while the state is in doubt. Load: a target
// that refuses connections for ten seconds.
func TestHealthChecksAreSentOnlyInDoubtAndOncePerSecond(t *testing.T) {
	tr := warmTracker()
	for now := start; now < start+10_000; now += 10 {
		assert.Assert(t, !tr.CheckDue(now))
	}
	checks := 0
	for now := start + 10_000; now < start+20_000; now += 10 {
		tr.Refused(now)
		if tr.CheckDue(now) {
			checks++
		}
	}
	assert.Equal(t, checks, 10)
	tr = warmTracker()
	tr.Idle(start)
	assert.Assert(t, !tr.CheckDue(start+1000), "an idle target without demand")
	assert.Equal(t, tr.LeftMs(start+1000), clock.Millis(0))
	tr.Pressed()
	assert.Assert(t, tr.CheckDue(start+1000))
}

// Guards against other decisions for a service that publishes no allowance, and against an allowance that outlasts its
// publication. Load: every event.
func TestServiceWithoutAllowanceIsNeverLimited(t *testing.T) {
	tr := New(start)
	tr.Publish(service.Service{WarmupMs: 10_000}, start)
	tr.Listed(entry(1, 8000), start)
	tr.Refused(start)
	tr.Lost(start)
	tr.Idle(start)
	tr.Pressed()
	tr.Replaced("t1", start)
	_, limited := tr.Limit(start)
	assert.Assert(t, !limited && !tr.CheckDue(start+5000) && tr.LeftMs(start) == 0)
	tr = warmTracker()
	tr.Lost(start)
	tr.Publish(service.Service{}, start+10)
	_, limited = tr.Limit(start + 10)
	assert.Assert(t, !limited && !tr.CheckDue(start+5000))
}

// Guards against the load of a whole failure domain that comes back in one step at a service without an allowance. Load: none.
func TestReturnIsARampWithoutAnAllowance(t *testing.T) {
	tr := New(start)
	tr.Returned(start)
	limit, limited := tr.Limit(start)
	assert.Assert(t, limited && limit == returnPerSecond)
	_, limited = tr.Limit(start + rampMs)
	assert.Assert(t, !limited)
}
