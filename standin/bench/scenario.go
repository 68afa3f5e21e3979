package bench

import (
	"context"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/standin/launch"
	"coltsfootusher.example/standin/platform"
	"coltsfootusher.example/standin/target"
)

// The scenarios.
const (
	Steady    = "steady"
	Surge     = "surge"
	SlowDeep  = "slowdeep"
	Noisy     = "noisy"
	Partition = "partition"
	Drain     = "drain"
	Pair      = "pair"
)

const (
	// baseLoad is the load before and after the trigger, as a part of the accounts' rates, which sum up to the capacity.
	baseLoad    = 0.7
	surgeFactor = 2.5
	slowFactor  = 10
	// noisyFactor is the multiple of its rate that the noisy account sends.
	noisyFactor = 8
	// drainStep is the time between the replacements of two VMs.
	drainStep = 1500 * time.Millisecond
	// noticeTime is the time between the publication that a VM leaves and the signal to its node.
	noticeTime = 300 * time.Millisecond
)

// scenario is what happens to the fleet between the phases before and after.
type scenario struct {
	name string
	// trigger returns when the trigger has ended.
	trigger func(ctx context.Context, r *run) error
	// slow is true when the deepest service's targets are slow during the trigger.
	slow bool
}

var scenarios = map[string]scenario{
	Steady: {trigger: hold},
	Surge:  {trigger: surgeTrigger},
	SlowDeep: {slow: true, trigger: func(ctx context.Context, r *run) error {
		return r.during(ctx, r.slowDown, r.speedUp)
	}},
	Noisy: {trigger: noisyTrigger},
	Partition: {trigger: func(ctx context.Context, r *run) error {
		return r.during(ctx, r.cut, r.heal)
	}},
	Drain: {trigger: drainTrigger},
	Pair: {slow: true, trigger: func(ctx context.Context, r *run) error {
		return r.during(ctx, func(ctx context.Context) error {
			return errs.Combine(r.cut(ctx), r.slowDown(ctx))
		}, func(ctx context.Context) error {
			return errs.Combine(r.heal(ctx), r.speedUp(ctx))
		})
	}},
}

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	return slices.Sorted(maps.Keys(scenarios))
}

func newScenario(name string) (scenario, error) {
	sc, ok := scenarios[name]
	if !ok {
		return scenario{}, Error.New("unknown scenario %q", name)
	}
	sc.name = name
	return sc, nil
}

// length is the planned time of the trigger.
func (s scenario) length(r *run) time.Duration {
	if s.name == Drain {
		return time.Duration(len(r.fleet.VMs)) * drainStep
	}
	return triggerTime
}

func hold(ctx context.Context, _ *run) error {
	return sleep(ctx, triggerTime)
}

// during begins a fault, waits for the time of the trigger and ends the fault. Goodput counts while the fault acts on
// all targets, as calls that run fast would exceed the capacity; the recovery counts from the end of the reversal.
func (r *run) during(ctx context.Context, begin, end func(ctx context.Context) error) error {
	if err := begin(ctx); err != nil {
		return err
	}
	r.marks.trigger = time.Now()
	err := sleep(ctx, triggerTime)
	r.marks.reversal = time.Now()
	return errs.Combine(err, end(ctx))
}

func surgeTrigger(ctx context.Context, r *run) error {
	if err := r.load.SetFactor("", surgeFactor); err != nil {
		return err
	}
	return errs.Combine(sleep(ctx, triggerTime), r.load.SetFactor("", 1))
}

// noisyAccount is the first account of the profile, one of the large ones.
func (r *run) noisyAccount() string {
	return r.accounts.Accounts[0].ID
}

func noisyTrigger(ctx context.Context, r *run) error {
	if err := r.load.SetFactor(r.noisyAccount(), noisyFactor/baseLoad); err != nil {
		return err
	}
	return errs.Combine(sleep(ctx, triggerTime), r.load.SetFactor(r.noisyAccount(), 1))
}

func (r *run) slowDown(ctx context.Context) error { return r.setSlowFactor(ctx, slowFactor) }

func (r *run) speedUp(ctx context.Context) error { return r.setSlowFactor(ctx, 1) }

func (r *run) setSlowFactor(ctx context.Context, factor float64) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var failures errs.Group
	for _, v := range r.fleet.VMs {
		if v.Service != r.fleet.File.DeepestService {
			continue
		}
		group.Go(func() {
			err := v.SetControls(ctx, func(c *target.Controls) { c.SlowFactor = factor })
			mu.Lock()
			defer mu.Unlock()
			failures.Add(err)
		})
	}
	group.Wait()
	return failures.Err()
}

// cut separates the last failure domain from the others and from the platform; callers still reach all domains.
func (r *run) cut(context.Context) error {
	domains := r.fleet.File.FailureDomains
	last := domains[len(domains)-1]
	for _, other := range append([]string{launch.PlatformDomain}, domains[:len(domains)-1]...) {
		r.fleet.Network.CutBoth(last, other)
	}
	return nil
}

func (r *run) heal(context.Context) error {
	r.fleet.Network.Heal()
	return nil
}

// drainTrigger replaces each VM in turn, one every drainStep. VMs of one service are not replaced one after the other.
func drainTrigger(ctx context.Context, r *run) error {
	limit := time.Now().Add(r.scenario.length(r))
	for i, v := range r.drainOrder() {
		if err := r.replace(ctx, v); err != nil {
			return err
		}
		if err := sleep(ctx, time.Until(limit.Add(-time.Duration(len(r.fleet.VMs)-1-i)*drainStep))); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) drainOrder() []*launch.VM {
	byService := make(map[string][]*launch.VM)
	for _, v := range r.fleet.VMs {
		byService[v.Service] = append(byService[v.Service], v)
	}
	var order []*launch.VM
	for round := 0; len(order) < len(r.fleet.VMs); round++ {
		for _, svc := range r.fleet.File.Services {
			if round < len(byService[svc.Name]) {
				order = append(order, byService[svc.Name][round])
			}
		}
	}
	return order
}

// loseCapacity counts what a target of the deepest service could not serve while it was away and cold.
func (r *run) loseCapacity(v *launch.VM, away time.Duration) {
	svc, ok := r.fleet.File.Service(v.Service)
	if !ok || v.Service != r.fleet.File.DeepestService {
		return
	}
	cold := float64(svc.ColdStartMs) / 1000 * (1 - 1/max(1, svc.ColdFactor))
	targets := 0
	for _, other := range r.fleet.VMs {
		if other.Service == v.Service {
			targets++
		}
	}
	r.lostCapacity += r.fleet.File.CapacityPerSecond / float64(targets) * (away.Seconds() + cold)
}

// replace publishes that the VM leaves, stops its node and its target, and starts both again.
func (r *run) replace(ctx context.Context, v *launch.VM) error {
	begin := time.Now()
	defer func() { r.loseCapacity(v, time.Since(begin)) }()
	if err := r.publishVMs(map[string]vm.State{v.Name: vm.Leaving}); err != nil {
		return err
	}
	if err := r.load.SetEntries(slices.DeleteFunc(r.fleet.Entries(), func(e string) bool { return e == v.Entry })); err != nil {
		return err
	}
	if err := sleep(ctx, noticeTime); err != nil {
		return err
	}
	if err := v.Shutdown(); err != nil {
		r.records.note("node " + v.Name + " did not stop cleanly: " + err.Error())
	}
	// The node has finished all requests, so nothing is lost when the target ends.
	if err := v.TargetProcess.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-v.TargetProcess.Done()
	if err := errs.Combine(r.fleet.StartTarget(ctx, v), r.fleet.StartNode(ctx, v)); err != nil {
		return err
	}
	return errs.Combine(r.publishVMs(nil), r.load.SetEntries(r.fleet.Entries()))
}

func (r *run) publishVMs(states map[string]vm.State) error {
	_, err := r.fleet.Platform.Publish(string(fleet.VMs), r.fleet.VMList(states), platform.AnyVersion)
	return err
}
