package targetstatus

// Tracker holds the status of the target that serves at one address, as the only node that sends requests there knows it. It is
// not safe for concurrent use.
type Tracker struct {
	target string
	status Status
}

// Observe applies the report of an answer of the target. It returns the status and whether another one was in force before, of
// this target or of the one that answered last.
func (t *Tracker) Observe(target string, r Report) (s Status, changed bool) {
	before := t.status
	t.target, t.status = target, r.appliedTo(t.Status(target))
	return t.status, t.status != before
}

// Adopt takes the status that another node has learned, unless this node has an answer of a target itself: that is at least as
// new, because all answers of the target pass through this node. It reports whether the status was taken.
func (t *Tracker) Adopt(target string, s Status) bool {
	if t.target != "" || s == (Status{}) {
		return false
	}
	t.target, t.status = target, s
	return true
}

// Status returns the status of the target, which is empty if another target answered last.
func (t *Tracker) Status(target string) Status {
	if t.target != target {
		return Status{}
	}
	return t.status
}

// Forget drops the status of a target that no longer serves at the address, and reports whether there was one.
func (t *Tracker) Forget(target string) bool {
	if t.target != target {
		return false
	}
	*t = Tracker{}
	return true
}
