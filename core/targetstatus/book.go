package targetstatus

import "coltsfootusher.example/core/clock"

// keepUnlistedMs is the time after its last answer for which the status of an unlisted target is kept. Entries that expire while
// the publisher of the list is unreachable come back.
const keepUnlistedMs clock.Millis = 60_000

type entry struct {
	status  Status
	heardAt clock.Millis
}

// Book holds the statuses of other nodes' targets as this node has learned them. It is not safe for concurrent use.
type Book struct {
	entries map[string]entry
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{entries: make(map[string]entry)}
}

// Record stores the status in a reply and reports whether what is known of the target has changed. Replies can overtake each
// other, so a target that leaves goes on leaving.
func (b *Book) Record(l Lifetime, s Status, now clock.Millis) bool {
	previous := b.Get(l)
	s = s.in(l)
	if s.Leaving && s.StartedMs == 0 {
		s.StartedMs = l.StartedMs
	}
	if previous.Leaving && !s.Leaving {
		s.Leaving, s.StartedMs = true, previous.StartedMs
	}
	if s == (Status{}) {
		delete(b.entries, l.Target)
	} else {
		b.entries[l.Target] = entry{status: s, heardAt: now}
	}
	return previous != s
}

// Get returns the status of a target, which is empty if none is known in this lifetime.
func (b *Book) Get(l Lifetime) Status {
	return b.entries[l.Target].status.in(l)
}

// DropUnlisted removes the statuses of targets that are no longer listed.
func (b *Book) DropUnlisted(listed func(target string) bool, now clock.Millis) {
	for target, e := range b.entries {
		if !listed(target) && now-e.heardAt >= keepUnlistedMs {
			delete(b.entries, target)
		}
	}
}
