package directory

import (
	"github.com/go-kit/log/level"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/published"
	"coltsfootusher.example/core/quota"
	"coltsfootusher.example/core/roster"
	"coltsfootusher.example/core/vm"
)

// applyTargets applies a list or its changes and reports whether anything in it was new.
func (d *Directory) applyTargets(delta roster.Delta, entryErrs []error, source string, now clock.Millis) bool {
	for _, entryErr := range entryErrs {
		_ = level.Debug(d.Logger).Log("msg", "published entry ignored", "err", entryErr)
	}
	if !d.noteEpoch(delta.Epoch, source, now) && source == platformSource {
		return false // A late answer. Other nodes may still send what they learned in an earlier epoch.
	}
	base := d.roster.Position()
	changes := d.roster.Apply(delta, now)
	d.targetsKnown = d.targetsKnown || delta.Full
	for _, c := range changes {
		d.logTargetChange(c, source)
	}
	if len(changes) == 0 {
		if d.view.Load() == nil {
			d.updateView()
		}
		return false
	}
	d.updateView()
	toForward := d.roster.DeltaToForward(base, delta)
	toForward.LapseGraceMs = d.roster.LapseGrace(now)
	d.propagate(source, syncMessage{Roster: &toForward})
	return true
}

func (d *Directory) logTargetChange(c roster.Change, source string) {
	if c.VM == nil {
		_ = level.Info(d.Logger).Log("msg", "target is gone from the list", "target", c.Name, "epoch", c.Epoch, "revision", c.Revision,
			"source", source)
		return
	}
	_ = level.Info(d.Logger).Log("msg", "target listed", "target", c.Name, "state", c.VM.State, "service", c.VM.Service,
		"peer", c.VM.PeerAddress, "started", c.VM.StartedMs, "report", c.VM.Sequence, "epoch", c.Epoch, "revision", c.Revision,
		"source", source)
}

// countTargets returns the number of listed targets by their state.
func (d *Directory) countTargets() map[vm.State]int {
	counts := map[vm.State]int{vm.Live: 0, vm.Leaving: 0}
	if v := d.view.Load(); v != nil {
		for _, listed := range v.VMs.VMs {
			counts[listed.State]++
		}
	}
	return counts
}

// View holds the published values as request handling uses them.
type View struct {
	*fleet.Snapshot
	Nodes
	PolicyVersion int64
	KeysRequired  bool
	// AccountsIncomplete is true if an unknown key may belong to an account whose row could not be read.
	AccountsIncomplete bool
	Bounds             published.CallerLimits
	// Ranking chooses the owner of each account's token bucket among all listed nodes.
	Ranking *quota.Ranking
	// Evacuated holds the failure domains to whose targets no request may be sent.
	Evacuated []string
	// cutOff is true if the node's own domain counts as evacuated because the node reaches nobody.
	cutOff bool
}

// snapshot combines the policy in force with the list of targets. It reuses the current snapshot while the policy is unchanged,
// because the list changes far more often.
func (d *Directory) snapshot(vms []vm.VM) *fleet.Snapshot {
	if v := d.view.Load(); v != nil && v.PolicyVersion == d.policy.Version {
		return v.WithVMs(vms)
	}
	return fleet.NewSnapshot(d.policy.Version, d.policy.Routes, d.policy.Accounts, d.policy.Services, vms)
}

// updateView makes the values in force visible to request handling.
func (d *Directory) updateView() {
	if d.policy == nil || !d.targetsKnown || d.awaitsEvacuations(d.Clock.Now()) {
		return
	}
	vms := d.roster.VMs()
	v := &View{
		Snapshot: d.snapshot(vms), Nodes: newNodes(vms, d.FailureDomain),
		PolicyVersion: d.policy.Version, KeysRequired: d.policy.KeysRequired, Bounds: d.policy.Bounds,
		AccountsIncomplete: d.policy.AccountsIncomplete, Evacuated: d.evacuatedDomains(),
	}
	v.Ranking = quota.NewRanking(v.All)
	listed := make(map[string]string, len(v.All))
	for _, other := range vms {
		listed[other.PeerAddress] = other.FailureDomain
	}
	d.Peers.SetListed(listed)
	v.cutOff = d.evacuations != nil && d.evacuations.isolated
	d.noteEvacuations(v)
	d.view.Store(v)
}
