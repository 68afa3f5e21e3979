package mesh

import (
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
)

const (
	// queuePart is the part of the slots that may wait: a longer queue makes callers wait for a refusal.
	queuePart = 2
	minQueue  = 8
	// queueTimeoutMs bounds the wait of a lookup, so that it can still be tried elsewhere.
	queueTimeoutMs clock.Millis = 250
)

// gateConfig returns the policy of a gate in front of a target with the number of slots.
func gateConfig(slots int) gate.Config {
	return gate.Config{
		Slots: slots, QueueLimit: max(minQueue, slots/queuePart), QueueTimeoutMs: queueTimeoutMs, Enabled: true,
	}
}
