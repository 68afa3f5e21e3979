package roster

import (
	"slices"

	"coltsfootusher.example/core/history"
)

// maxGaps is the number of gaps that are kept apart; older ones are joined.
const maxGaps = 16

// gap is a part of the publisher's history of which a roster knows only the result. It may have missed entries that were added
// and removed between the two positions, or that the publisher has lost in a restore.
type gap struct {
	from, to history.Position
}

// gaps are the gaps in what a roster knows, the oldest first. A peer whose position lies inside one may have such an entry, and
// needs the whole list.
type gaps []gap

func (g *gaps) add(from, to history.Position) {
	if !from.Before(to) {
		return
	}
	*g = append(*g, gap{from: from, to: to})
	if len(*g) > maxGaps {
		(*g)[1].from = (*g)[0].from
		*g = slices.Delete(*g, 0, 1)
	}
}

// contain reports whether the position lies inside a gap.
func (g gaps) contain(p history.Position) bool {
	return slices.ContainsFunc(g, func(gap gap) bool { return gap.from.Before(p) && p.Before(gap.to) })
}

// after reports whether a gap ends after the position.
func (g gaps) after(p history.Position) bool {
	return slices.ContainsFunc(g, func(gap gap) bool { return p.Before(gap.to) })
}
