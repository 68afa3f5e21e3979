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

// Record stores the status of a target and reports whether it has changed.
func (b *Book) Record(target string, s Status, now clock.Millis) bool {
	previous := b.Get(target)
	if s == (Status{}) {
		delete(b.entries, target)
	} else {
		b.entries[target] = entry{status: s, heardAt: now}
	}
	return previous != s
}

// Get returns the status of a target, which is empty if none is known.
func (b *Book) Get(target string) Status {
	return b.entries[target].status
}

// DropUnlisted removes the statuses of targets that are no longer listed.
func (b *Book) DropUnlisted(listed func(target string) bool, now clock.Millis) {
	for target, e := range b.entries {
		if !listed(target) && now-e.heardAt >= keepUnlistedMs {
			delete(b.entries, target)
		}
	}
}
