package localtarget

import (
	"sync"

	"coltsfootusher.example/core/clock"
)

// absentMs is the time for which a target that was not at the address is not asked for again.
const absentMs clock.Millis = 2000

// absentTargets remembers the targets in whose place another one answered, so that senders with an old list don't make
// the present target reject one request after the other.
type absentTargets struct {
	mu    sync.Mutex
	until map[string]clock.Millis
}

func (a *absentTargets) add(target string, now clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = make(map[string]clock.Millis)
	}
	for other, until := range a.until {
		if now >= until {
			delete(a.until, other)
		}
	}
	a.until[target] = now + absentMs
}

func (a *absentTargets) contains(target string, now clock.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now < a.until[target]
}
