package config

import "coltsfootusher.example/core/clock"

// PauseDetector detects that the process was paused and decides whether requests are held until the node's versions
// are confirmed. Only the control goroutine may use it; after each change, that goroutine publishes the State to the
// goroutines that handle requests.
type PauseDetector struct {
	thresholdMs      clock.Millis
	confirmTimeoutMs clock.Millis
	state            PauseState
	resumedAt        clock.Millis
	count            int64
}

// PauseState is an immutable copy of the detector's state for the goroutines that handle requests.
type PauseState struct {
	// LastTick is the time of the last tick of the control goroutine.
	LastTick clock.Millis
	// HoldUntil is the time from which requests are served even without a confirmation; 0 means that the versions are
	// confirmed and requests are not held.
	HoldUntil clock.Millis
	// ThresholdMs is the longest time between ticks that does not count as a pause.
	ThresholdMs clock.Millis
}

// NewPauseDetector returns a detector for a process that has not been paused yet.
func NewPauseDetector(thresholdMs, confirmTimeoutMs, now clock.Millis) *PauseDetector {
	return &PauseDetector{thresholdMs: thresholdMs, confirmTimeoutMs: confirmTimeoutMs,
		state: PauseState{LastTick: now, ThresholdMs: thresholdMs}}
}

// Tick records that the control goroutine is running. It reports whether a pause has just ended; the caller must then
// have the versions confirmed.
func (p *PauseDetector) Tick(now clock.Millis) bool {
	paused := now-p.state.LastTick > p.thresholdMs
	p.state.LastTick = max(now, p.state.LastTick)
	if paused {
		p.count++
		p.resumedAt = now
		p.state.HoldUntil = now + p.confirmTimeoutMs
	} else if now >= p.state.HoldUntil {
		p.state.HoldUntil = 0
	}
	return paused
}

// ConfirmVersions records an answer of a peer or the platform to a request that was sent at sentAt. The caller must
// have applied the updates in the answer. An answer to a request that was sent before the pause ended is ignored,
// because it may lack the changes of that time.
func (p *PauseDetector) ConfirmVersions(sentAt clock.Millis) {
	if sentAt >= p.resumedAt {
		p.state.HoldUntil = 0
	}
}

// Count returns the number of pauses so far.
func (p *PauseDetector) Count() int64 {
	return p.count
}

// State returns the state to publish to the goroutines that handle requests.
func (p *PauseDetector) State() PauseState {
	return p.state
}

// HoldsRequests reports whether requests must wait. They also wait if a pause has ended but the next tick, which starts
// the bounded wait for a confirmation, has not run yet.
func (s PauseState) HoldsRequests(now clock.Millis) bool {
	return now-s.LastTick > s.ThresholdMs || now < s.HoldUntil
}
