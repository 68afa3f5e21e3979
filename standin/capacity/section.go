package capacity

import (
	"encoding/json"
	"math"
	"time"

	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
)

var fromPlatform = config.Source{Name: config.Platform}

// accounts measures the section of accounts. 6,000 accounts with one key each are close to the 1 MB that the
// configuration service holds.
func (r *run) accounts() error {
	return r.section(fleet.Accounts, "Account", r.sizes(1000, 3000, 6000), accountsValue)
}

func (r *run) vms() error {
	return r.section(fleet.VMs, "VM", r.sizes(targetCount/5, targetCount/2, targetCount), vmsValue)
}

// section measures one change of one item: bytes, and the processor time at the sender and at a receiver.
func (r *run) section(name fleet.SectionName, item string, sizes []int, value func(count, generation int) json.RawMessage) error {
	for _, size := range sizes {
		base, target := value(size, 1), value(size, 2)
		store := config.New()
		store.Apply(name, 1, base, fromPlatform, 0)
		store.Apply(name, 2, target, fromPlatform, 0)
		updates := store.UpdatesFor([]config.SectionVersion{{Name: name, Version: 1}})
		if len(updates) != 1 || updates[0].BaseVersion != 1 {
			return Error.New("section %s of %d: expected one difference", name, size)
		}
		if got := applied(name, base, updates); got.Outcome != config.Applied {
			return Error.New("section %s of %d: %s: %v", name, size, got.Outcome, got.Err)
		}
		part := string(name)
		r.record(part, size, "valueBytes", float64(len(target)))
		r.record(part, size, "differenceBytes", float64(len(updates[0].Value)))
		r.record(part, size, "differenceCpuMicros", r.cpuMicros(func() { _, _ = config.Diff(base, target) }))
		r.record(part, size, "decodeCpuMicros", r.cpuMicros(func() { config.New().Apply(name, 1, base, fromPlatform, 0) }))
		r.record(part, size, "applyDifferenceCpuMicros", r.applyMicros(name, base, updates))
		r.record(part, size, "storeBytes", retainedBytes(func() any {
			s := config.New()
			s.Apply(name, 1, value(size, 1), fromPlatform, 0)
			s.Apply(name, 2, value(size, 2), fromPlatform, 0)
			return s
		}))
	}
	for _, metric := range []string{
		"valueBytes", "differenceCpuMicros", "decodeCpuMicros", "applyDifferenceCpuMicros", "storeBytes",
	} {
		r.slope(string(name), metric, item)
	}
	return nil
}

// applyMicros returns the processor time of applying the difference alone, from its bytes to a new snapshot.
func (r *run) applyMicros(name fleet.SectionName, base json.RawMessage, updates []config.Update) float64 {
	lowest := math.Inf(1)
	for range rounds {
		var used time.Duration
		count := 0
		for ; used < r.minCPU && r.ctx.Err() == nil; count++ {
			s := config.New()
			s.Apply(name, 1, base, fromPlatform, 0)
			before := processorTime()
			s.ApplyUpdates(updates, fromPlatform, 0)
			used += processorTime() - before
		}
		lowest = min(lowest, float64(used.Microseconds())/float64(max(1, count)))
	}
	return lowest
}

// applied applies a whole value and then a difference to an empty store.
func applied(name fleet.SectionName, base json.RawMessage, updates []config.Update) config.ApplyResult {
	s := config.New()
	s.Apply(name, 1, base, fromPlatform, 0)
	return s.ApplyUpdates(updates, fromPlatform, 0)[0]
}
