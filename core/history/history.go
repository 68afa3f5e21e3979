package history

import "cmp"

// Position is a point in the history of the publisher's store. The zero value lies before every other one.
//
// A restore loses the latest changes and gives out their revisions a second time, so a revision means nothing without its epoch.
type Position struct {
	// Epoch counts the restores; it is 0 if the publisher doesn't count them.
	Epoch int64 `json:"epoch,omitempty"`
	// Revision counts the changes within the epoch. It goes on from the revision of the copy.
	Revision int64 `json:"revision,omitempty"`
}

// Compare returns a negative number if p lies before other, a positive one if it lies after it, and otherwise 0.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, other.Epoch), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether p lies before other.
func (p Position) Before(other Position) bool {
	return p.Compare(other) < 0
}

// Valid reports whether p can come from a publisher.
func (p Position) Valid() bool {
	return p.Epoch >= 0 && p.Revision >= 0
}

// Latest returns the later of two positions.
func Latest(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}
