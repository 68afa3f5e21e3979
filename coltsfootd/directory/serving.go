package directory

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/core/clock"
)

const (
	// servingCheckTimeout and platformCheckTimeout are shorter than roster.UnlistedGraceMs, so that the confirmation reaches the
	// other nodes in time.
	servingCheckTimeout  = 400 * time.Millisecond
	platformCheckTimeout = 250 * time.Millisecond
	// servingCheckIntervalMs is how often a node confirms that its target serves while the list lacks it.
	servingCheckIntervalMs clock.Millis = 600
)

// checkServing checks whether the local target still serves if its entry has vanished from the list, and tells the other nodes. A
// machine that is cut off from the platform can still serve the nodes that reach it. If the platform answers this node, the
// target is gone whatever its health answers say: some targets leave without a word, and a false health answer must not keep
// them in use.
func (d *Directory) checkServing(ctx context.Context, now clock.Millis) {
	if d.checkingServing || now < d.checkServingAfter {
		return
	}
	own, unlisted := d.roster.UnlistedVM(d.TargetAddress)
	if !unlisted {
		return
	}
	d.checkingServing, d.checkServingAfter = true, now+servingCheckIntervalMs
	go func() {
		ctx, cancel := context.WithTimeout(ctx, servingCheckTimeout)
		defer cancel()
		serves := !d.platformAnswers(ctx, own.Name) && d.Target.Serves(ctx, own.Name)
		d.enqueue(func(now clock.Millis) { d.finishServingCheck(own.Name, serves, now) })
	}()
}

// platformAnswers reports whether the platform answers a read of the target's entry.
func (d *Directory) platformAnswers(ctx context.Context, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, platformCheckTimeout)
	defer cancel()
	d.calls.entries.Add(1)
	_, err := d.Platform.Listed(ctx, target)
	return err == nil
}

func (d *Directory) finishServingCheck(target string, serves bool, now clock.Millis) {
	d.checkingServing = false
	_ = level.Info(d.Logger).Log("msg", "own target is not listed", "target", target, "serves", serves)
	if !serves || !d.roster.ConfirmServing(target, now) {
		return
	}
	m := d.ownState(now)
	m.ServingTarget = target
	d.announce(SyncPath, m)
}

func (d *Directory) confirmServing(target, source string, now clock.Millis) {
	kept := d.roster.ConfirmServing(target, now)
	_ = level.Debug(d.Logger).Log("msg", "peer confirms that its target serves", "target", target, "peer", source, "kept", kept)
}
