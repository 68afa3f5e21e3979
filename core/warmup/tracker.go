package warmup

import (
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/service"
	"coltsfootusher.example/core/vm"
)

const (
	// writeIntervalMs is the interval in which a target writes its entry, with a margin. A health check outweighs an older entry.
	writeIntervalMs clock.Millis = 1500
	// listDelayMs bounds the age of an entry when it is received. A later entry was written after the event in question.
	listDelayMs clock.Millis = 5000
	// checkIntervalMs is the shortest time between two health checks.
	checkIntervalMs clock.Millis = 1000
	// rampMs is the time in which the load grows after the warm-up; it doubles every rampStepMs, which makes a factor of 1,024.
	rampMs     clock.Millis = 1000
	rampStepMs clock.Millis = 100
	// returnPerSecond is the rate at which the ramp after an evacuation begins if the service publishes none.
	returnPerSecond = 10
	// IdleStarts is the number of requests that a target gets ahead of the allowance after it was idle, so that a few requests
	// cause neither waits nor a health check. With them, the burst of the gate and a health check, the target still gets less
	// than 8 requests above the allowance in a second.
	IdleStarts = 4
	// assumedColdMs is the remaining time that is reported for a target whose state is in doubt. It is short, because a health
	// check ends most doubts within milliseconds.
	assumedColdMs clock.Millis = 200
)

// Reason tells why a target counts as cold.
type Reason string

// The reasons.
const (
	ReasonNodeStarted Reason = "nodeStarted"
	ReasonLost        Reason = "connectionsLost"
	ReasonRefused     Reason = "connectionRefused"
	ReasonReplaced    Reason = "anotherTarget"
	ReasonReturned    Reason = "evacuationEnded"
	ReasonIdle        Reason = "idle"
	ReasonListed      Reason = "listed"
	ReasonChecked     Reason = "healthCheck"
)

// State is the state of a target.
type State struct {
	Cold bool `json:"cold"`
	// Ramping is true while the load grows after the warm-up.
	Ramping bool `json:"ramping,omitempty"`
	// Assumed is true if the state is in doubt, so that the target counts as cold.
	Assumed bool   `json:"assumed,omitempty"`
	Reason  Reason `json:"reason,omitempty"`
	// ForMs is the time for which the target has been cold or warm.
	ForMs clock.Millis `json:"forMs"`
	// LeftMs is the time for which the target stays cold as far as is known.
	LeftMs clock.Millis `json:"leftMs,omitempty"`
}

// Check is the result of a health check that the target answered.
type Check struct {
	// SentAt is the time at which the check was sent.
	SentAt clock.Millis
	Target string
	// Healthy is false if the target answered that it does not serve, or with a warm-up time that can't be read.
	Healthy bool
	// ColdMs is the time for which the target stays cold; 0 if it is warm.
	ColdMs clock.Millis
}

// Tracker holds the state of the target beside this node. It is not safe for concurrent use.
type Tracker struct {
	perSecond float64
	warmupMs  clock.Millis
	entry     vm.VM
	// answering is the id of the target that answered the latest health check.
	answering string

	// doubt is the reason for which the state is unknown since doubtSince, or "". It ends warmupMs after answeredAt, the time of
	// the first answer to a request that was sent since then; 0 means that there is none.
	doubt                  Reason
	doubtSince, answeredAt clock.Millis
	// checkedUntil and listedUntil are the ends of the warm-up by the latest health check and the latest entry.
	checkedUntil, listedUntil, listedAt clock.Millis

	lastCheckAt clock.Millis
	checkNeeded bool

	cold, confirmed, returned bool
	reason                    Reason
	since                     clock.Millis
	// rampFrom is the start of the ramp; 0 means that there is none.
	rampFrom clock.Millis
}

// New returns a tracker for a service that publishes no allowance yet.
func New(now clock.Millis) *Tracker {
	return &Tracker{since: now, lastCheckAt: now - checkIntervalMs}
}

// Publish sets what the service publishes. When it begins to publish an allowance, the state is not known.
func (t *Tracker) Publish(s service.Service, now clock.Millis) {
	began := t.perSecond <= 0 && s.ColdPerSecond > 0
	t.perSecond, t.warmupMs = max(0, s.ColdPerSecond), s.WarmupMs
	switch {
	case began:
		t.doubtState(ReasonNodeStarted, now)
	case t.perSecond == 0:
		t.doubt, t.checkNeeded = "", false
	}
	t.Advance(now)
}

// On reports whether the service publishes an allowance.
func (t *Tracker) On() bool {
	return t.perSecond > 0
}

// Listed applies the target's entry in the list. An entry that has not changed is ignored, because its time counts from receipt.
func (t *Tracker) Listed(v vm.VM, now clock.Millis) {
	if v == t.entry || t.outdated(v) {
		return
	}
	if t.entry.Name != "" && (v.Name != t.entry.Name || v.StartedMs != t.entry.StartedMs) {
		// The entry of a new lifetime can be older than its latest change, so a check confirms what it says.
		t.checkNeeded = t.On()
	}
	t.entry, t.listedAt = v, now
	t.listedUntil = now + v.ColdMs
	if t.doubt != "" && v.ColdMs == 0 && now-t.doubtSince >= listDelayMs {
		t.doubt, t.checkNeeded = "", false
	}
	t.Advance(now)
}

// outdated reports whether the entry is from an earlier lifetime or report than what is known, or was passed on by a node of an
// older version, which leaves out the warm-up time.
func (t *Tracker) outdated(v vm.VM) bool {
	if v.Name == t.entry.Name {
		sameReport := v.Sequence != 0 && v.Report() == t.entry.Report()
		return v.ReportedBefore(t.entry) || sameReport && v.ColdMs < t.entry.ColdMs
	}
	return v.StartedMs != 0 && v.StartedMs < t.entry.StartedMs
}

// Checked applies the answer to a health check. An answer to a check that was sent before the latest doubt arose is ignored.
func (t *Tracker) Checked(c Check, now clock.Millis) {
	if !t.On() || c.SentAt < t.doubtSince {
		return
	}
	if !c.Healthy && c.ColdMs == 0 {
		t.Answered(c.SentAt, now)
		return
	}
	t.answering, t.doubt, t.checkNeeded = c.Target, "", false
	t.checkedUntil = now + c.ColdMs
	earlierLifetime := c.Target != "" && c.Target != t.entry.Name
	if earlierLifetime || now-t.listedAt > writeIntervalMs {
		t.listedUntil = 0
	}
	t.Advance(now)
}

// Answered records that the target has answered a request sent at the given time. A target whose state is in doubt was started
// before its first answer, so the warm-up time counts from there at the latest.
func (t *Tracker) Answered(sentAt, now clock.Millis) {
	if t.doubt != "" && t.answeredAt == 0 && sentAt >= t.doubtSince {
		t.answeredAt = now
	}
	t.Advance(now)
}

// Refused records that the target refuses connections.
func (t *Tracker) Refused(now clock.Millis) {
	t.doubtState(ReasonRefused, now)
}

// Lost records that all connections to the target were lost.
func (t *Tracker) Lost(now clock.Millis) {
	t.doubtState(ReasonLost, now)
}

// Replaced records that another target than the given one answers at the address.
func (t *Tracker) Replaced(target string, now clock.Millis) {
	if target == t.answering || t.answering == "" && target == t.entry.Name {
		t.answering = ""
		t.doubtState(ReasonReplaced, now)
	}
}

// Idle records that a request is about to be sent after a time in which a restart of the target could not be noticed. The target
// gets no more than the allowance, which costs an idle target nothing; a health check is needed once there is demand for more.
// It reports whether the target was warm. What is known of a cold target holds on; it can have restarted since.
func (t *Tracker) Idle(now clock.Millis) bool {
	if !t.On() {
		return false
	}
	wasWarm, checkNeeded, checkedUntil := !t.cold, t.checkNeeded, t.checkedUntil
	reason := ReasonIdle
	if t.doubt != "" {
		reason = t.doubt
	}
	t.doubtState(reason, now)
	t.checkNeeded, t.checkedUntil = checkNeeded, checkedUntil
	return wasWarm
}

// Pressed records that a request was delayed or refused because of the limit.
func (t *Tracker) Pressed() {
	t.checkNeeded = t.checkNeeded || t.doubt == ReasonIdle
}

// Returned records that the target's failure domain was given back after an evacuation. Its load grows over rampMs, even if the
// service publishes no allowance.
func (t *Tracker) Returned(now clock.Millis) {
	t.returned = true
	t.doubtState(ReasonReturned, now)
	if !t.On() {
		t.rampFrom, t.since, t.returned = now, now, false
	}
}

// doubtState makes the target count as cold until its state is known.
func (t *Tracker) doubtState(r Reason, now clock.Millis) {
	if !t.On() {
		return
	}
	t.doubt, t.doubtSince, t.answeredAt, t.checkedUntil, t.checkNeeded = r, now, 0, 0, true
	t.Advance(now)
}

// CheckDue reports whether a health check must be sent now, which counts as sent then.
func (t *Tracker) CheckDue(now clock.Millis) bool {
	if !t.checkNeeded || now-t.lastCheckAt < checkIntervalMs {
		return false
	}
	t.lastCheckAt = now
	return true
}

// Advance moves the state to the time now.
func (t *Tracker) Advance(now clock.Millis) {
	if t.doubt != "" && t.answeredAt != 0 && now >= t.answeredAt+t.warmupMs {
		t.doubt, t.checkNeeded = "", false
	}
	if t.rampFrom != 0 && now-t.rampFrom >= rampMs {
		t.rampFrom = 0
	}
	reason := t.coldReason(now)
	if cold := reason != ""; cold != t.cold {
		if !cold && t.On() && (t.confirmed || t.returned || now-t.since >= rampMs) {
			t.rampFrom = now
		}
		if cold {
			t.rampFrom = 0
		} else {
			t.returned = false
		}
		t.cold, t.confirmed, t.since = cold, false, now
	}
	t.reason = reason
	t.confirmed = t.confirmed || reason == ReasonListed || reason == ReasonChecked
}

func (t *Tracker) coldReason(now clock.Millis) Reason {
	switch {
	case !t.On():
		return ""
	case t.doubt != "":
		return t.doubt
	case now < t.checkedUntil:
		return ReasonChecked
	case now < t.listedUntil:
		return ReasonListed
	default:
		return ""
	}
}

// Limit returns the number of requests per second that the target may get, and false if there is no limit.
func (t *Tracker) Limit(now clock.Millis) (perSecond float64, limited bool) {
	t.Advance(now)
	switch {
	case t.cold:
		return t.perSecond, true
	case t.rampFrom != 0:
		base := t.perSecond
		if !t.On() {
			base = returnPerSecond
		}
		return base * float64(uint64(1)<<((now-t.rampFrom)/rampStepMs)), true
	default:
		return 0, false
	}
}

// LeftMs returns the time for which the target stays cold as far as is known; 0 if it is warm.
func (t *Tracker) LeftMs(now clock.Millis) clock.Millis {
	t.Advance(now)
	if !t.cold || t.doubt == ReasonIdle && !t.checkNeeded {
		return 0
	}
	left := max(t.checkedUntil, t.listedUntil) - now
	if t.doubt != "" {
		left = max(left, assumedColdMs)
		if t.answeredAt != 0 {
			left = max(left, t.answeredAt+t.warmupMs-now)
		}
	}
	return left
}

// State returns the state of the target.
func (t *Tracker) State(now clock.Millis) State {
	left := t.LeftMs(now)
	return State{
		Cold: t.cold, Ramping: t.rampFrom != 0, Assumed: t.doubt != "", Reason: t.reason, ForMs: now - t.since, LeftMs: left,
	}
}
