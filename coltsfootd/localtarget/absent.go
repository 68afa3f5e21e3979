package localtarget

import (
	"sync"

	"coltsfootusher.example/core/clock"
)

const (
	// absentTTLMs is the time for which requests to an absent target are refused without asking the local target.
	absentTTLMs clock.Millis = 2000
	// maxAbsent bounds the absent targets that are remembered. Those that follow are asked for at the local target.
	maxAbsent = 256
)

// absentTargets records target ids for which the local target answered that it is another target. Without it, senders with an
// outdated target list would make the local target reject each of their requests.
type absentTargets struct {
	mu          sync.Mutex
	absentUntil map[string]clock.Millis
}

func (a *absentTargets) add(target string, now clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.absentUntil == nil {
		a.absentUntil = make(map[string]clock.Millis)
	}
	for other, until := range a.absentUntil {
		if now >= until {
			delete(a.absentUntil, other)
		}
	}
	if len(a.absentUntil) >= maxAbsent {
		return
	}
	a.absentUntil[target] = now + absentTTLMs
}

func (a *absentTargets) contains(target string, now clock.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now < a.absentUntil[target]
}
