package bench

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/preset"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/launch"
)

// Error is the class of errors of the benchmark.
var Error = errs.Class("bench")

// Options say what to measure.
type Options struct {
	Profile   string
	Scenario  string
	Seed      uint64
	Bin       string
	ConfigDir string
	// Baseline runs the fleet with the policy off as well.
	Baseline bool
	Out      io.Writer
}

// The phases of a run.
const (
	readyTimeout = 20 * time.Second
	// controlTime is without any traffic, so that the processor time of the nodes is that of control alone.
	controlTime = 1300 * time.Millisecond
	// idleTime is without load but with probes. The targets' cold start lasts as long as both together.
	idleTime    = 1300 * time.Millisecond
	warmTime    = 2 * time.Second
	beforeTime  = 5 * time.Second
	triggerTime = 10 * time.Second
	afterTime   = 8 * time.Second
	// settleTime is what calls get beyond their timeout before the fleet is stopped under them.
	settleTime = time.Second
	// maxLoadTime is a bound only; the load is stopped when the phases are over, however long a trigger has taken.
	maxLoadTime = 2 * time.Minute
)

const (
	baselinePreset = "baseline"
	// maxInFlight keeps the driver's sockets, about seven for each root call with the links, below 20,000.
	maxInFlight = 2500
	maxCalls    = 200_000
	probeID     = "bench-probe"
	probeKey    = "bench-probe-key"
	// probeRate is far above the rate of the probes, so that no limit acts on them.
	probeRate = 10_000
)

// Run measures the scenario and prints the figures; the last line is the verdict on the run with the policy on.
func Run(ctx context.Context, o Options) error {
	sc, err := newScenario(o.Scenario)
	if err != nil {
		return err
	}
	report := newReport(o)
	figures, err := measure(ctx, o, sc, "")
	if err != nil {
		return err
	}
	report.print("", figures)
	if o.Baseline {
		baseline, err := measure(ctx, o, sc, baselinePreset)
		if err != nil {
			return err
		}
		report.print("baseline.", baseline)
	}
	return report.verdict(sc, figures)
}

// run is one run of a scenario with one preset.
type run struct {
	options  Options
	scenario scenario
	fleet    *launch.Fleet
	accounts account.Section
	load     *caller.Load
	records  records
	probes   *prober
	marks    marks
	onceOnly bool
	// lostCapacity is the number of root calls that targets of the deepest service could not serve while they were
	// replaced or cold.
	lostCapacity float64
}

// marks are the times at which the phases of the load began; sending ends at end.
type marks struct {
	start, before, trigger, after, end time.Time
	// reversal is the time at which the reversal of a fault began; the trigger has ended when it is complete, at after.
	reversal time.Time
}

func measure(ctx context.Context, o Options, sc scenario, presetName string) (figures, error) {
	work, err := os.MkdirTemp("", "coltsfootusher-bench-")
	if err != nil {
		return figures{}, Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(work) }()
	profile := filepath.Join(o.ConfigDir, o.Profile)
	accounts, values, err := publishedValues(profile, presetName)
	if err != nil {
		return figures{}, err
	}
	f, err := launch.Start(ctx, launch.Options{Bin: o.Bin, Profile: profile, Work: work, Seed: o.Seed, Values: values})
	if err != nil {
		return figures{}, err
	}
	defer f.Stop()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.AwaitReady(ready); err != nil {
		return figures{}, err
	}
	r := &run{options: o, scenario: sc, fleet: f, accounts: accounts}
	return r.measure(ctx)
}

// publishedValues returns the accounts of the profile, and the values that differ from the profile's files: the
// accounts with that of the probes, and the presets if another one is to be in force.
func publishedValues(profile, presetName string) (account.Section, map[fleet.SectionName]json.RawMessage, error) {
	data, err := os.ReadFile(filepath.Join(profile, string(fleet.Accounts)+".json"))
	if err != nil {
		return account.Section{}, nil, Error.Wrap(err)
	}
	accounts, err := account.Decode(data)
	if err != nil {
		return account.Section{}, nil, err
	}
	withProbe := account.Section{Accounts: append([]account.Account{{
		ID: probeID, KeyHashes: []string{account.HashKey(probeKey)}, RatePerSecond: probeRate, Burst: probeRate, Weight: 1,
	}}, accounts.Accounts...)}
	values := make(map[fleet.SectionName]json.RawMessage)
	if values[fleet.Accounts], err = json.Marshal(withProbe); err != nil {
		return account.Section{}, nil, Error.Wrap(err)
	}
	if presetName == "" {
		return accounts, values, nil
	}
	data, err = os.ReadFile(filepath.Join(profile, string(fleet.Presets)+".json"))
	if err != nil {
		return account.Section{}, nil, Error.Wrap(err)
	}
	presets, err := preset.Decode(data)
	if err != nil {
		return account.Section{}, nil, err
	}
	presets.Active = presetName
	values[fleet.Presets], err = json.Marshal(presets)
	return accounts, values, Error.Wrap(err)
}

func (r *run) measure(ctx context.Context) (figures, error) {
	control, err := r.watchProcesses(ctx, controlTime)
	if err != nil {
		return figures{}, err
	}
	if r.probes, err = newProber(r.fleet); err != nil {
		return figures{}, err
	}
	probing, stopProbes := context.WithCancel(ctx)
	defer stopProbes()
	r.probes.start(probing)
	if err := sleep(ctx, idleTime); err != nil {
		return figures{}, err
	}
	idle := r.probes.take()
	r.onceOnly = r.servesOnceOnly(ctx)
	settings, err := r.settings()
	if err != nil {
		return figures{}, err
	}
	if r.load, err = caller.New(settings); err != nil {
		return figures{}, err
	}
	r.load.OnEnd(r.records.add)
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.load.Run(sending)
	}()
	used, err := r.phases(ctx)
	if err != nil {
		return figures{}, err
	}
	stopSending()
	loaded := r.probes.take()
	stopProbes()
	r.settle(done)
	result, err := r.figures()
	result.control, result.used, result.idle, result.loaded = control, used, idle, loaded
	return result, err
}

// phases lets the phases pass and returns the use of the processes from before the trigger until the end.
func (r *run) phases(ctx context.Context) (usage, error) {
	r.marks.start = time.Now()
	if err := sleep(ctx, warmTime); err != nil {
		return usage{}, err
	}
	r.marks.before = time.Now()
	_ = r.probes.take()
	watch := startUsage(r.fleet)
	if err := sleep(ctx, beforeTime); err != nil {
		return usage{}, err
	}
	r.marks.trigger = time.Now()
	if err := r.scenario.trigger(ctx, r); err != nil {
		return usage{}, err
	}
	r.marks.after = time.Now()
	if r.marks.reversal.IsZero() {
		r.marks.reversal = r.marks.after
	}
	used := watch.stop()
	if err := sleep(ctx, afterTime); err != nil {
		return usage{}, err
	}
	r.marks.end = time.Now()
	return used, nil
}

// settle waits for the calls under way. Callers that still retry after their timeout, as they do when the fleet does not
// recover, are ended by stopping the fleet.
func (r *run) settle(done <-chan struct{}) {
	limit := time.Duration(r.fleet.File.Load.TimeoutMs)*time.Millisecond + settleTime
	select {
	case <-done:
	case <-time.After(limit):
	}
	r.fleet.Stop()
	<-done
}

func (r *run) watchProcesses(ctx context.Context, d time.Duration) (usage, error) {
	watch := startUsage(r.fleet)
	err := sleep(ctx, d)
	return watch.stop(), err
}

func (r *run) settings() (caller.Settings, error) {
	file := r.fleet.File
	s := caller.Settings{
		Entries: r.fleet.Entries(), DurationMs: maxLoadTime.Milliseconds(), MaxCalls: maxCalls, MaxInFlight: maxInFlight,
		TimeoutMs: file.Load.TimeoutMs, Retries: file.Load.Retries, Seed: r.options.Seed, ClientDelayMs: file.ClientDelayMs,
	}
	for _, route := range file.Load.Routes {
		if route.Kind == caller.Lookup || r.onceOnly {
			s.Routes = append(s.Routes, route)
		}
	}
	for _, k := range r.fleet.Keys.Keys {
		a, ok := findAccount(r.accounts, k.Account)
		if !ok {
			return caller.Settings{}, Error.New("the account %q of a key is not published", k.Account)
		}
		s.Accounts = append(s.Accounts, caller.Account{
			ID: a.ID, Key: k.Key, RatePerSecond: a.RatePerSecond * baseLoad,
		})
	}
	// All traffic of the second account enters at one node, as that must not lower what the account gets.
	if len(s.Accounts) > 1 {
		s.Accounts[1].Entry = s.Entries[0]
	}
	return s, nil
}

func findAccount(section account.Section, id string) (account.Account, bool) {
	for _, a := range section.Accounts {
		if a.ID == id {
			return a, true
		}
	}
	return account.Account{}, false
}

// servesOnceOnly asks an entry for an operation id. While nodes refuse all once-only operations the load has lookups
// only, so that the demand on the deepest service is the same.
func (r *run) servesOnceOnly(ctx context.Context) bool {
	for _, candidate := range r.fleet.File.Load.Routes {
		if candidate.Kind == caller.Issued {
			return r.probes.issues(ctx, r.fleet.VMs[0].Entry, candidate.Path)
		}
	}
	return false
}

// isOnceOnly tells which paths lead to once-only operations.
func (r *run) isOnceOnly() (func(path string) bool, error) {
	published, ok := r.fleet.Platform.Current(string(fleet.Routes))
	if !ok {
		return nil, Error.New("no routes are published")
	}
	snapshot, err := (&fleet.Snapshot{}).WithSection(fleet.Routes, published.Version, published.Value)
	if err != nil {
		return nil, err
	}
	return func(path string) bool {
		found, ok := snapshot.Route(path)
		return ok && found.Class == route.NonIdempotent
	}, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}
