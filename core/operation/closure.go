package operation

// ClosedIncarnations returns an empty handover for each closed incarnation for which this table answers. Together with the
// records of Export they let a second heir answer for these incarnations as well. A receiver may import them only
// after all parts of this table's own export: without the records it would call operations not run that were.
func (t *Table) ClosedIncarnations(now ClockReading) []HandoverPart {
	t.dropExpired(now.MonotonicMs)
	var closures []HandoverPart
	for from, i := range t.imports {
		if !i.complete() {
			continue
		}
		closures = append(closures, HandoverPart{
			Node: from.node, Incarnation: from.incarnation, Export: i.export + 1, NowMs: t.nowMs + i.clockOffsetMs,
			RetentionMs: i.expiresMs - t.nowMs, Parts: 1,
		})
	}
	return closures
}
