package config

import "coltsfootusher.example/core/clock"

// Pause detects that the process was paused and says whether requests are to be held. It is used by the
// control goroutine, which publishes its View to the traffic goroutines after each change.
type Pause struct {
	thresholdMs      clock.Millis
	confirmTimeoutMs clock.Millis
	view             View
	resumedAt        clock.Millis
	count            int64
}

// View is an immutable copy of the pause state that traffic goroutines evaluate.
type View struct {
	// LastTick is the time of the last tick of the control goroutine.
	LastTick clock.Millis
	// HoldUntil is the time at which requests are served without a confirmation; 0 means that versions are confirmed.
	HoldUntil clock.Millis
	// ThresholdMs is the longest gap between ticks that does not count as a pause.
	ThresholdMs clock.Millis
}

// NewPause returns the state of a process that was not paused until now.
func NewPause(thresholdMs, confirmTimeoutMs, now clock.Millis) *Pause {
	return &Pause{thresholdMs: thresholdMs, confirmTimeoutMs: confirmTimeoutMs,
		view: View{LastTick: now, ThresholdMs: thresholdMs}}
}

// Tick records that the control goroutine runs; it reports whether a pause ended, after which versions
// are to be confirmed.
func (p *Pause) Tick(now clock.Millis) bool {
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

// Confirm records an answer of a peer or the platform to a request that was sent at sentAt, after its updates
// were applied. An answer to a request from before the pause confirms nothing.
func (p *Pause) Confirm(sentAt clock.Millis) {
	if sentAt >= p.resumedAt {
		p.view.HoldUntil = 0
	}
}

// Count returns the number of pauses so far.
func (p *Pause) Count() int64 {
	return p.count
}

// View returns the state for the traffic goroutines.
func (p *Pause) View() View {
	return p.view
}

// Held reports whether a request is to wait. It also holds a request that is handled after a pause but before
// the next tick; that tick then starts the bounded wait for a confirmation.
func (v View) Held(now clock.Millis) bool {
	return now-v.LastTick > v.ThresholdMs || now < v.HoldUntil
}
