package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/preset"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/journal"
	"coltsfootusher.example/standin/launch"
	"coltsfootusher.example/standin/platform"
)

// Error is the class of errors of the demo.
var Error = errs.Class("demo")

const (
	loadTime       = 12 * time.Second
	withdrawAt     = 4 * time.Second
	switchAt       = 7 * time.Second
	readyTimeout   = 20 * time.Second
	effectTimeout  = 10 * time.Second
	probeEvery     = 20 * time.Millisecond
	loadShare      = 0.4
	maxInFlight    = 5000
	maxCalls       = 200_000
	switchToPreset = "peak"

	// All processes share one clock, so idempotency keys need not wait long after the start.
	clockSkewMs  = 100
	seatFenceMs  = 1000
	seatMarginMs = 200
)

// Options say what to run.
type Options struct {
	Profile   string
	Bin       string
	ConfigDir string
	Seed      uint64
	Out       io.Writer
}

// Run runs the demo and returns an error unless every answer was checked and found right.
func Run(ctx context.Context, o Options) error {
	work, err := os.MkdirTemp("", "coltsfootusher-demo-")
	if err != nil {
		return Error.Wrap(err)
	}
	f, err := launch.Start(ctx, launch.Options{
		Bin: o.Bin, Profile: filepath.Join(o.ConfigDir, o.Profile), Work: work, Seed: o.Seed,
		NodeSettings: map[string]any{"maxClockSkewMs": clockSkewMs, "seatFenceMs": seatFenceMs, "seatFenceMarginMs": seatMarginMs},
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	say(o.Out, "fleet: %d VMs in %d failure domains, logs in %s\n", len(f.VMs), len(f.File.FailureDomains), work)
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.AwaitReady(ready); err != nil {
		return err
	}
	r := &run{fleet: f, out: o.Out}
	if err := r.load(ctx, o.Seed); err != nil {
		return err
	}
	if err := r.check(); err != nil {
		return err
	}
	return Error.Wrap(os.RemoveAll(work))
}

type run struct {
	fleet     *launch.Fleet
	out       io.Writer
	withdrawn string
	keyAfter  time.Duration
	presetIn  time.Duration
	result    *caller.Result
}

func say(out io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(out, format, values...)
}

// load sends calls of all accounts and makes the operators' two changes meanwhile.
func (r *run) load(ctx context.Context, seed uint64) error {
	accounts, err := r.accounts()
	if err != nil {
		return err
	}
	l, err := caller.New(r.settings(accounts, seed))
	if err != nil {
		return err
	}
	changed := make(chan error, 1)
	go func() { changed <- r.change(ctx, accounts) }()
	r.result = l.Run(ctx)
	return <-changed
}

func (r *run) settings(accounts account.Section, seed uint64) caller.Settings {
	file := r.fleet.File
	s := caller.Settings{
		Entries: r.fleet.Entries(), Routes: file.Load.Routes, DurationMs: loadTime.Milliseconds(), MaxCalls: maxCalls,
		MaxInFlight: maxInFlight, TimeoutMs: file.Load.TimeoutMs, Retries: file.Load.Retries, Seed: seed,
		ClientDelayMs: file.ClientDelayMs,
	}
	for _, k := range r.fleet.Keys.Keys {
		index := slices.IndexFunc(accounts.Accounts, func(a account.Account) bool { return a.ID == k.Account })
		if index >= 0 {
			rate := accounts.Accounts[index].RatePerSecond * loadShare
			s.Accounts = append(s.Accounts, caller.Account{ID: k.Account, Key: k.Key, RatePerSecond: rate})
		}
	}
	return s
}

func (r *run) accounts() (account.Section, error) {
	published, ok := r.fleet.Platform.Current(string(fleet.Accounts))
	if !ok {
		return account.Section{}, Error.New("no accounts are published")
	}
	return account.Decode(published.Value)
}

// change withdraws the key of the last account and later switches the preset, and measures when each is in force.
func (r *run) change(ctx context.Context, accounts account.Section) error {
	time.Sleep(withdrawAt)
	key := r.fleet.Keys.Keys[len(r.fleet.Keys.Keys)-1]
	r.withdrawn = key.Account
	if err := r.withdraw(ctx, accounts, key.Account, key.Key); err != nil {
		return err
	}
	time.Sleep(switchAt - withdrawAt - r.keyAfter)
	return r.switchPreset(ctx)
}

func (r *run) withdraw(ctx context.Context, accounts account.Section, id, key string) error {
	for i := range accounts.Accounts {
		if accounts.Accounts[i].ID == id {
			accounts.Accounts[i].KeyHashes = nil
		}
	}
	value, err := json.Marshal(accounts)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := r.fleet.Platform.Publish(string(fleet.Accounts), value, platform.AnyVersion); err != nil {
		return err
	}
	start := time.Now()
	for _, entry := range r.fleet.Entries() {
		if err := awaitRefusal(ctx, entry, key); err != nil {
			return err
		}
	}
	r.keyAfter = time.Since(start)
	return nil
}

// awaitRefusal asks for an operation id over a kept-alive connection until the key is refused.
func awaitRefusal(ctx context.Context, entry, key string) error {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	limit := time.Now().Add(effectTimeout)
	for time.Now().Before(limit) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/.coltsfoot/operations/none", nil)
		if err != nil {
			return Error.Wrap(err)
		}
		request.Header.Set(caller.KeyHeader, "Bearer "+key)
		response, err := client.Do(request)
		if err != nil {
			return Error.Wrap(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusUnauthorized {
			return nil
		}
		time.Sleep(probeEvery)
	}
	return Error.New("entry %s still accepts a withdrawn key after %s", entry, effectTimeout)
}

func (r *run) switchPreset(ctx context.Context) error {
	published, ok := r.fleet.Platform.Current(string(fleet.Presets))
	if !ok {
		return Error.New("no presets are published")
	}
	section, err := preset.Decode(published.Value)
	if err != nil {
		return err
	}
	section.Active = switchToPreset
	value, err := json.Marshal(section)
	if err != nil {
		return Error.Wrap(err)
	}
	start := time.Now()
	if _, err := r.fleet.Platform.Publish(string(fleet.Presets), value, platform.AnyVersion); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, effectTimeout)
	defer cancel()
	if err := r.fleet.AwaitPreset(ctx, switchToPreset); err != nil {
		return err
	}
	r.presetIn = time.Since(start)
	return nil
}

// check prints the summary and compares what callers were told with what the targets executed.
func (r *run) check() error {
	entries, err := r.fleet.Journals()
	if err != nil {
		return err
	}
	routes, err := r.routes()
	if err != nil {
		return err
	}
	comparison := caller.Compare(r.result.Operations, entries, func(path string) bool {
		found, ok := routes.Route(path)
		return ok && found.Class == route.NonIdempotent
	})
	r.print(comparison)
	total := r.result.Total
	var failures errs.Group
	if wrong := total.ByVerdict[caller.Wrong]; wrong > 0 {
		failures.Add(Error.New("%d answers were not the whole answer to their request: %v", wrong, r.result.Mistakes))
	}
	if !comparison.OK() {
		failures.Add(Error.New("the journals contradict what callers were told: %+v", comparison))
	}
	if total.ByVerdict[caller.Complete] == 0 {
		failures.Add(Error.New("no call was answered"))
	}
	if leaked := r.leakedKeys(entries); leaked > 0 {
		failures.Add(Error.New("%d requests showed a key to a target", leaked))
	}
	return failures.Err()
}

func (r *run) routes() (*fleet.Snapshot, error) {
	published, ok := r.fleet.Platform.Current(string(fleet.Routes))
	if !ok {
		return nil, Error.New("no routes are published")
	}
	return (&fleet.Snapshot{}).WithSection(fleet.Routes, published.Version, published.Value)
}

func (r *run) leakedKeys(entries []journal.Entry) int {
	leaked := 0
	for _, e := range entries {
		for _, k := range r.fleet.Keys.Keys {
			if e.Contains(k.Key) {
				leaked++
			}
		}
	}
	return leaked
}
