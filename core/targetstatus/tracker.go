package targetstatus

// Tracker holds the status of the target that serves at one address, as the only node that sends requests there knows it. It is
// not safe for concurrent use.
type Tracker struct {
	target string
	status Status
	// startedMs is the latest start time known of the target. The list may lack a target that still answers.
	startedMs int64
}

// Observe applies the report of an answer of the target. It returns the status and whether another one was in force before, of
// this target or of the one that answered last.
func (t *Tracker) Observe(l Lifetime, r Report) (s Status, changed bool) {
	before, known := t.status, t.Status(l)
	if t.target != l.Target {
		t.startedMs = 0
	}
	t.startedMs = max(t.startedMs, l.StartedMs)
	l.StartedMs = t.startedMs
	t.target, t.status = l.Target, r.appliedTo(known, l)
	return t.status, t.status != before
}

// Adopt takes the status that another node has learned. Unless the target leaves, it counts only if this node has no answer of a
// target itself: that is at least as new, because all answers of the target pass through this node. Adopt reports whether the
// status was taken.
func (t *Tracker) Adopt(l Lifetime, learned Status) bool {
	learned = learned.in(l)
	switch known := t.Status(l); {
	case t.target == "" && learned != Status{}:
		t.target, t.status, t.startedMs = l.Target, learned, learned.StartedMs
		return true
	case t.target == l.Target && learned.Leaving && !known.Leaving:
		known.Leaving, known.StartedMs = true, learned.StartedMs
		t.status, t.startedMs = known, max(t.startedMs, learned.StartedMs)
		return true
	default:
		return false
	}
}

// Status returns the status of the target, which is empty if another target answered last, or in an earlier lifetime.
func (t *Tracker) Status(l Lifetime) Status {
	if t.target != l.Target {
		return Status{}
	}
	return t.status.in(l)
}

// Forget drops the status of a target that no longer serves at the address, and reports whether there was one.
func (t *Tracker) Forget(target string) bool {
	if t.target != target {
		return false
	}
	*t = Tracker{}
	return true
}
