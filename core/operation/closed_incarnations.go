package operation

// ClosedIncarnations returns an empty handover for each closed incarnation for which this table answers. Together with
// the records of Export, these handovers let a second successor answer for the incarnations as well. A receiver may import
// them only after all parts of this table's own export: without the records, it would report operations as not run that
// were run.
func (t *Table) ClosedIncarnations(now ClockReading) []HandoverPart {
	t.dropExpired(now.MonotonicMs)
	var handovers []HandoverPart
	for key, state := range t.imports {
		if !state.complete() {
			continue
		}
		handovers = append(handovers, HandoverPart{
			Node: key.node, Incarnation: key.incarnation, Export: state.export + 1, NowMs: t.nowMs + state.clockOffsetMs,
			RetentionMs: state.expiresMs - t.nowMs, Parts: 1,
		})
	}
	return handovers
}
