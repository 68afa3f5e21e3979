package localtarget

import (
	"sync"

	"coltsfootusher.example/core/clock"
)

// absentTTLMs is the time for which a target that was not at the address is not asked for again.
const absentTTLMs clock.Millis = 2000

// absentTargets remembers the targets in whose place another one answered, so that senders with an old list don't make
// the present target reject one request after the other.
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
	a.absentUntil[target] = now + absentTTLMs
}

func (a *absentTargets) contains(target string, now clock.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now < a.absentUntil[target]
}
