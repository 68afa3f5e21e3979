package forward

import (
	"sync"

	"coltsfootusher.example/core/balance"
)

// candidateLists keeps lists of candidates for reuse, because one is needed for each choice. There are as many as there were
// choices at the same time.
type candidateLists struct {
	mu   sync.Mutex
	free [][]balance.Candidate
}

func (l *candidateLists) take() []balance.Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.free) == 0 {
		return nil
	}
	last := len(l.free) - 1
	list := l.free[last]
	l.free = l.free[:last]
	return list[:0]
}

func (l *candidateLists) put(list []balance.Candidate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free = append(l.free, list)
}
