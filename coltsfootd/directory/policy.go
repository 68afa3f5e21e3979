package directory

import (
	"github.com/go-kit/log/level"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/published"
)

// reportUnreadablePolicy logs once that the newest policy can't be read. The policy in force is used only until its lease ends,
// because the new one may revoke keys.
func (d *Directory) reportUnreadablePolicy(err error) {
	if d.unreadable.Swap(true) {
		return
	}
	_ = level.Error(d.Logger).Log("msg", "published policy can't be read, the previous one stays in force until its lease ends",
		"err", err, "confirmationAgeMs", int64(d.Age()))
}

// applyPolicy puts the policy into force if it is newer than the current one, and reports whether it is.
func (d *Directory) applyPolicy(p published.Policy, source string) bool {
	if d.policy != nil && p.Version <= d.policy.Version {
		return false
	}
	previous := int64(0)
	if d.policy != nil {
		previous = d.policy.Version
	}
	d.policy = &p
	d.unreadable.Store(false)
	d.unusableRows.Store(int64(len(p.Problems)))
	_ = level.Info(d.Logger).Log("msg", "policy in force", "version", p.Version, "before", previous, "source", source,
		"routes", len(p.Routes), "accounts", len(p.Accounts), "problems", len(p.Problems))
	for _, problem := range p.Problems {
		_ = level.Error(d.Logger).Log("msg", "published row can't be used", "version", p.Version, "section", problem.Section,
			"row", problem.Row, "err", problem.Err)
	}
	if source != platformSource {
		// Send a sync request at once, in case this node waits for a confirmation: the node that has the policy can confirm it.
		d.syncAttempts, d.syncAfter = 0, 0
	}
	d.updateView()
	d.propagate(source, syncMessage{Policy: &p})
	return true
}

// policyVersion returns the version of the policy in force, or 0 if there is none.
func (d *Directory) policyVersion() int64 {
	if d.policy == nil {
		return 0
	}
	return d.policy.Version
}

// confirm extends the lease if the version is the one in force.
func (d *Directory) confirm(version int64, at clock.Millis, source string) {
	if version != d.policyVersion() {
		_ = level.Warn(d.Logger).Log("msg", "confirmation of another policy version ignored", "version", version, "source", source)
		return
	}
	if d.lease.Confirm(version, at) {
		d.confirmedAt.Store(int64(at))
		d.roster.MarkPublisherReachable(at)
	}
}
