package directory

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/core/clock"
)

const (
	vouchTimeout = 400 * time.Millisecond
	// vouchIntervalMs is how often a node speaks for its target while the list lacks it.
	vouchIntervalMs clock.Millis = 600
)

// vouch asks the local target whether it serves, if its entry has vanished, and tells the other nodes. A machine that is
// cut off from the platform can still serve those that reach it.
func (d *Directory) vouch(ctx context.Context, now clock.Millis) {
	if d.vouching || now < d.vouchAfter {
		return
	}
	own, unlisted := d.roster.UnlistedVM(d.TargetAddress)
	if !unlisted {
		return
	}
	d.vouching, d.vouchAfter = true, now+vouchIntervalMs
	go func() {
		ctx, cancel := context.WithTimeout(ctx, vouchTimeout)
		defer cancel()
		serves := d.Target.Serves(ctx, own.Name)
		d.enqueue(func(now clock.Millis) { d.finishVouch(own.Name, serves, now) })
	}()
}

func (d *Directory) finishVouch(target string, serves bool, now clock.Millis) {
	d.vouching = false
	_ = level.Info(d.Logger).Log("msg", "own target is not listed", "target", target, "serves", serves)
	if !serves || !d.roster.ConfirmServing(target, now) {
		return
	}
	m := d.ownState(now)
	m.VouchedTarget = target
	d.announce(SyncPath, m)
}

func (d *Directory) acceptVouch(target, source string, now clock.Millis) {
	kept := d.roster.ConfirmServing(target, now)
	_ = level.Debug(d.Logger).Log("msg", "peer vouches for its target", "target", target, "peer", source, "kept", kept)
}
