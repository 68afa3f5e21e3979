package directory

import (
	"github.com/go-kit/log/level"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/published"
)

const (
	// unknownEpoch is the epoch before the platform's first answer.
	unknownEpoch = -1
	// maxEpochStep limits the restores that a node can have missed, so that one malformed epoch doesn't make it reject all others.
	maxEpochStep = 1000
)

// logFirstRead logs the first policy that this node reads in an epoch, which can be older than the one in force.
func (d *Directory) logFirstRead(p published.Policy) {
	if d.policyReadEpoch == p.Epoch {
		return
	}
	d.policyReadEpoch = p.Epoch
	_ = level.Info(d.Logger).Log("msg", "first policy read in this epoch", "epoch", p.Epoch, "version", p.Version,
		"inForce", d.policyVersion(), "confirmationAgeMs", int64(d.Age()))
}

// noteEpoch records the epoch of an answer of the platform or of a list from another node, and reports whether it is the current
// one. An earlier epoch means that the answer was written before the platform was restored, so that nothing in it is certain.
func (d *Directory) noteEpoch(epoch int64, source string, now clock.Millis) bool {
	if d.epoch == unknownEpoch {
		d.epoch = epoch
		return true
	}
	if epoch <= d.epoch || epoch > d.epoch+maxEpochStep {
		return epoch == d.epoch
	}
	d.epoch = epoch
	if !d.Fresh() {
		d.askPeersFirst(now)
	}
	known := d.roster.Position()
	_ = level.Warn(d.Logger).Log("msg", "platform was restored from a copy, its list is read again", "epoch", epoch,
		"knownEpoch", known.Epoch, "knownRevision", known.Revision, "source", source)
	if source == platformSource {
		d.roster.MarkPublisherRestored(now)
	}
	d.listTargetsAfter = min(d.listTargetsAfter, now)
	return true
}

// askPeersFirst makes this node hear from another one before it reads the platform, or reads it again.
func (d *Directory) askPeersFirst(now clock.Millis) {
	d.heardFromPeer, d.askPeersUntil = false, now+peersFirstMs
}
