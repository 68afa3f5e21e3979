package config

import "coltsfootusher.example/core/clock"

// PauseDetector detects that the process was paused and says whether requests are to be held. It is used by the
// control goroutine, which publishes its View to the traffic goroutines after each change.
type PauseDetector struct {
	thresholdMs      clock.Millis
	confirmTimeoutMs clock.Millis
	view             PauseState
	resumedAt        clock.Millis
	count            int64
}

// PauseState is an immutable copy of the pause state that traffic goroutines evaluate.
type PauseState struct {
	// LastTick is the time of the last tick of the control goroutine.
	LastTick clock.Millis
	// HoldUntil is the time at which requests are served without a confirmation; 0 means that versions are confirmed.
	HoldUntil clock.Millis
	// ThresholdMs is the longest gap between ticks that does not count as a pause.
	ThresholdMs clock.Millis
}

// NewPauseDetector returns the state of a process that was not paused until now.
func NewPauseDetector(thresholdMs, confirmTimeoutMs, now clock.Millis) *PauseDetector {
	return &PauseDetector{thresholdMs: thresholdMs, confirmTimeoutMs: confirmTimeoutMs,
		view: PauseState{LastTick: now, ThresholdMs: thresholdMs}}
}

// Tick records that the control goroutine runs; it reports whether a pause ended, after which versions
// are to be confirmed.
func (p *PauseDetector) Tick(now clock.Millis) bool {
	paused := now-p.view.LastTick > p.thresholdMs
	p.view.LastTick = max(now, p.view.LastTick)
	if paused {
		p.count++
		p.resumedAt = now
		p.view.HoldUntil = now + p.confirmTimeoutMs
	} else if now >= p.view.HoldUntil {
		p.view.HoldUntil = 0
	}
	return paused
}

// ConfirmVersions records an answer of a peer or the platform to a request that was sent at sentAt, after its updates
// were applied. An answer to a request from before the pause confirms nothing.
func (p *PauseDetector) ConfirmVersions(sentAt clock.Millis) {
	if sentAt >= p.resumedAt {
		p.view.HoldUntil = 0
	}
}

// Count returns the number of pauses so far.
func (p *PauseDetector) Count() int64 {
	return p.count
}

// State returns the state for the traffic goroutines.
func (p *PauseDetector) State() PauseState {
	return p.view
}

// HoldsRequests reports whether a request is to wait. It also holds a request that is handled after a pause but before
// the next tick; that tick then starts the bounded wait for a confirmation.
func (v PauseState) HoldsRequests(now clock.Millis) bool {
	return now-v.LastTick > v.ThresholdMs || now < v.HoldUntil
}
