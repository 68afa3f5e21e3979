package mesh

import (
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
)

const (
	// initialSlots is the number of slots from the start of the node until the published number is known.
	initialSlots = 16
	// queuePerSlot is the length of the queue per slot. It has room for the short calls of other targets, many of which wait
	// for a few milliseconds; long requests are limited by queueTimeoutMs.
	queuePerSlot = 4
	// queueTimeoutMs limits the wait of a lookup, so that there is time left to retry it at another target.
	queueTimeoutMs clock.Millis = 250
	// lookupShare is the share of a service's capacity that is kept for lookups of callers when calls of other targets
	// could use all of it.
	lookupShare = 0.15
	// slowStartMs is the time in which the load of a target grows after the evacuation of its failure domain.
	slowStartMs clock.Millis = 1000
)

// gateConfig returns the configuration of the gate for a target with the number of slots and a queue of at most maxQueue.
func gateConfig(slots, maxQueue int) gate.Config {
	return gate.Config{
		Slots: slots, QueueLimit: min(slots*queuePerSlot, maxQueue), QueueTimeoutMs: queueTimeoutMs,
		ColdStartMs: slowStartMs, LookupShare: lookupShare, Enabled: true,
	}
}
