package integration

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/limit"
	"coltsfootusher.example/core/seat"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/standin/journal"
	"coltsfootusher.example/standin/launch"
	"coltsfootusher.example/standin/link"
)

const (
	limitSeed = 11
	// limitLeaseMs and limitFenceMs are shorter than the defaults, so that faults can last longer than these times within a test.
	limitLeaseMs, limitFenceMs, limitFenceMarginMs = 1000, 2500, 500
	limitLoadTime                                  = 6 * time.Second
)

// limitCall is a root call. Times are Unix times in microseconds.
type limitCall struct {
	account, token, entry, reason string
	sent, ended                   int64
	status                        int
	// started is the time when the first target started to execute the call, 0 if there is none.
	started int64
}

// tokenTakenBy returns the time by which the call must have taken a token, if it is certain that it did.
func (c limitCall) tokenTakenBy() (by int64, ok bool) {
	switch {
	case c.started > 0 && (c.ended == 0 || c.started < c.ended):
		return c.started, true
	case c.status == http.StatusOK:
		return c.ended, true
	}
	return 0, false
}

// limitSender is an open-loop load of one account, in calls per second.
type limitSender struct {
	account account.Account
	key     string
	rate    float64
	entries []string
}

// startLimitFleet starts the fleet of Sablons and waits until its seats are full.
func startLimitFleet(t *testing.T) *launch.Fleet {
	t.Helper()
	f := launchFleet(t, launch.Options{Profile: sablonsProfile, Seed: limitSeed, NodeSettings: map[string]any{
		"leaseMs": limitLeaseMs, "seatFenceMs": limitFenceMs, "seatFenceMarginMs": limitFenceMarginMs,
	}})
	awaitFullSeats(t, f)
	return f
}

func nodeMetric(t *testing.T, v *launch.VM, name string) float64 {
	t.Helper()
	vars, err := v.Vars(t.Context())
	if err != nil {
		return 0
	}
	var value float64
	if raw, ok := vars[name]; ok {
		assert.NilError(t, json.Unmarshal(raw, &value))
	}
	return value
}

func totalMetric(t *testing.T, f *launch.Fleet, name string) float64 {
	t.Helper()
	var total float64
	for _, v := range f.VMs {
		total += nodeMetric(t, v, name)
	}
	return total
}

// awaitFullSeats waits until the seats of the fleet hold 98 % of the bursts of all accounts.
func awaitFullSeats(t *testing.T, f *launch.Fleet) {
	t.Helper()
	var want float64
	for _, a := range publishedAccounts(t, f).Accounts {
		want += a.Burst
	}
	for deadline := time.Now().Add(40 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		got := totalMetric(t, f, "limitTokensAvailable")
		if got >= 0.98*want {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "the seats hold %.1f tokens of %.1f", got, want)
	}
}

// seatOwners returns the nodes that own seats of the account.
func seatOwners(t *testing.T, f *launch.Fleet, id string) []string {
	t.Helper()
	services, err := (&fleet.Snapshot{}).WithSection(fleet.Services, 1, publishedValue(t, f, fleet.Services))
	assert.NilError(t, err)
	lists := make(map[string]seat.List)
	for _, d := range services.Services.FailureDomains {
		var names []string
		for _, v := range f.VMs {
			if v.FailureDomain == d {
				names = append(names, v.Name)
			}
		}
		lists[d] = seat.NewList(1, names)
	}
	a := newLimitSender(t, f, id, 1, nil).account
	l := limit.Limit{RatePerSecond: a.RatePerSecond, Burst: a.Burst}
	var owners []string
	for _, o := range limit.Owners(id, "", "", lists, l.Seats(len(lists), services.Services.SeatsPerDomain)) {
		owners = append(owners, o.Node)
	}
	return owners
}

func publishedValue(t *testing.T, f *launch.Fleet, name fleet.SectionName) json.RawMessage {
	t.Helper()
	v, ok := f.Platform.Current(string(name))
	assert.Assert(t, ok)
	return v.Value
}

// awaitPauseNoticed waits until the node has detected its pause and discarded the confirmations of its seats.
func awaitPauseNoticed(t *testing.T, v *launch.VM) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); nodeMetric(t, v, "limitPauses") == 0; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%s did not detect its pause", v.Name)
	}
}

func newLimitSender(t *testing.T, f *launch.Fleet, id string, factor float64, entries []string) limitSender {
	t.Helper()
	for _, a := range publishedAccounts(t, f).Accounts {
		if a.ID == id {
			return limitSender{account: a, key: demoKeyOf(t, f, id), rate: factor * a.RatePerSecond, entries: entries}
		}
	}
	t.Fatalf("no account %q", id)
	return limitSender{}
}

// runLimitLoad sends the loads for the duration, runs faults at the same time, and returns the calls in the order of sending.
func runLimitLoad(
	t *testing.T, f *launch.Fleet, name string, seed uint64, d time.Duration, senders []limitSender, faults func(),
) []limitCall {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}, Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var history []limitCall
	var group sync.WaitGroup
	end := time.Now().Add(d)
	for i, s := range senders {
		group.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			next := time.Now()
			for n := 0; ; n++ {
				next = next.Add(time.Duration(r.ExpFloat64() / s.rate * float64(time.Second)))
				if next.After(end) {
					return
				}
				time.Sleep(time.Until(next))
				entry := s.entries[r.IntN(len(s.entries))]
				token := fmt.Sprintf("%s-%d-%d", name, i, n)
				group.Go(func() {
					c := sendLimitCall(client, entry, s, token)
					mu.Lock()
					defer mu.Unlock()
					history = append(history, c)
				})
			}
		})
	}
	faults()
	group.Wait()
	entries, err := f.Journals()
	assert.NilError(t, err)
	started := make(map[string]int64)
	for _, e := range entries {
		at := e.AtUnixMs * 1000
		if first, known := started[e.Token]; e.Event == journal.Start && (!known || at < first) {
			started[e.Token] = at
		}
	}
	for i := range history {
		history[i].started = started[history[i].token]
	}
	slices.SortFunc(history, func(a, b limitCall) int { return cmp.Compare(a.sent, b.sent) })
	return history
}

func sendLimitCall(client *http.Client, entry string, s limitSender, token string) limitCall {
	c := limitCall{account: s.account.ID, token: token, entry: entry}
	request, err := http.NewRequest(http.MethodGet, "http://"+entry+"/trails/1?token="+token, nil)
	if err != nil {
		return c
	}
	request.Header.Set("Authorization", "Bearer "+s.key)
	c.sent = time.Now().UnixMicro()
	response, err := client.Do(request)
	if err != nil {
		c.reason = connectionErrorKind(err)
		return c
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	c.ended = time.Now().UnixMicro()
	c.status, c.reason = response.StatusCode, response.Header.Get("Coltsfoot-Reason")
	return c
}

// connectionErrorKind classifies an error of the caller's connection.
func connectionErrorKind(err error) string {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	default:
		return "broken"
	}
}

// logOutcomes logs the outcomes of the calls by VM and by second, so that a failure shows whether it is limited to some nodes
// or to some time.
func logOutcomes(t *testing.T, f *launch.Fleet, history []limitCall) {
	t.Helper()
	nodes, seconds := make(map[string]map[string]int), make(map[string]map[string]int)
	count := func(by map[string]map[string]int, key, outcome string) {
		if by[key] == nil {
			by[key] = make(map[string]int)
		}
		by[key][outcome]++
	}
	for _, c := range history {
		outcome := strings.TrimSpace(fmt.Sprint(c.status, " ", c.reason))
		count(nodes, c.entry, outcome)
		count(seconds, fmt.Sprintf("%3d s", (c.sent-history[0].sent)/1e6), outcome)
	}
	for _, v := range f.VMs {
		t.Logf("%s (pauses %.0f): %v", v.Name, nodeMetric(t, v, "limitPauses"), nodes[v.Entry])
	}
	for _, second := range slices.Sorted(maps.Keys(seconds)) {
		t.Logf("%s: %v", second, seconds[second])
	}
}

// checkEveryWindow checks for every time window that the calls that were sent and admitted in it are at most
// burst + rate x window. The only tolerance is 1 ms, the resolution of the times in the journals.
func checkEveryWindow(t *testing.T, history []limitCall, a account.Account) {
	t.Helper()
	const resolution = 1000
	type admission struct{ sent, by int64 }
	var admissions []admission
	for _, c := range history {
		if by, ok := c.tokenTakenBy(); ok && c.account == a.ID {
			admissions = append(admissions, admission{c.sent, max(by, c.sent)})
		}
	}
	slices.SortFunc(admissions, func(x, y admission) int { return cmp.Compare(x.by, y.by) })
	worstExcess, worstWindow := -a.Burst, ""
	for _, first := range admissions {
		inside := 0
		for _, s := range admissions {
			if s.sent < first.sent {
				continue
			}
			inside++
			window := float64(s.by-first.sent+resolution) / 1e6
			if excess := float64(inside) - a.Burst - a.RatePerSecond*window; excess > worstExcess {
				worstExcess, worstWindow = excess, fmt.Sprintf("%d calls in %.3f s", inside, window)
			}
		}
	}
	t.Logf("%s: admitted=%d closest window: %s, %.1f above burst + rate x window", a.ID, len(admissions), worstWindow, worstExcess)
	assert.Assert(t, len(admissions) > 0)
	assert.Assert(t, worstExcess <= 0, "%s: %s, which is %.1f too many", a.ID, worstWindow, worstExcess)
}

// countRefusalsWithinRate counts the refused calls that a single token bucket would have admitted.
func countRefusalsWithinRate(t *testing.T, history []limitCall, a account.Account) (refused, sent int) {
	t.Helper()
	tokens, lastSent := a.Burst, int64(0)
	reasons := map[string]int{}
	for _, c := range history {
		if c.account != a.ID {
			continue
		}
		if lastSent > 0 {
			tokens = min(a.Burst, tokens+a.RatePerSecond*float64(c.sent-lastSent)/1e6)
		}
		lastSent = c.sent
		sent++
		reasons[strings.TrimSpace(fmt.Sprint(c.status, " ", c.reason))]++
		if tokens < 1 {
			continue
		}
		tokens--
		if c.status == http.StatusTooManyRequests {
			refused++
		}
	}
	t.Logf("%s: sent=%d inRateRefused=%d (%.3f%%) outcomes=%v", a.ID, sent, refused, 100*float64(refused)/float64(sent), reasons)
	return refused, sent
}

// Guards against a time window in which an account gets more than its rate and burst over the whole fleet, during each fault
// and during two at once (R6).
func TestLimitHoldsInEveryWindow(t *testing.T) {
	t.Parallel()
	t.Logf("seed=%d", limitSeed)
	f := startLimitFleet(t)
	issuers := seatOwners(t, f, "estrie")
	cut := func(oneWay bool) {
		for _, other := range []string{"a", "b"} {
			if oneWay {
				f.Network.Cut(link.Direction{From: "c", To: other})
			} else {
				f.Network.CutBoth("c", other)
			}
		}
	}
	stop := func(names ...string) {
		for _, name := range names {
			assert.NilError(t, f.VM(name).Node.Signal(syscall.SIGSTOP))
		}
	}
	resume := func(names ...string) {
		for _, name := range names {
			assert.NilError(t, f.VM(name).Node.Signal(syscall.SIGCONT))
		}
	}
	pause := func(d time.Duration) { time.Sleep(d) }
	// restartIssuers kills and restarts all nodes that own seats of the account whose load exceeds its rate.
	restartIssuers := func() {
		var group sync.WaitGroup
		for _, name := range issuers {
			group.Go(func() {
				f.VM(name).Node.Kill()
				if err := f.StartNode(t.Context(), f.VM(name)); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
	}
	// changeVMList removes an issuer of the account from the VM list, marks another one as leaving, lists the first one again,
	// and then lists both as live.
	changeVMList := func() {
		removed, leaving := issuers[0], issuers[len(issuers)-1]
		for _, states := range []map[string]vm.State{
			{removed: ""}, {removed: "", leaving: vm.Leaving}, {leaving: vm.Leaving}, nil,
		} {
			publish(t, f, fleet.VMs, f.VMList(states))
			pause(limitLoadTime / 6)
		}
	}
	const longPause = (limitLeaseMs + limitFenceMs) * time.Millisecond / 2
	cases := []struct {
		name     string
		oneEntry bool
		faults   func()
	}{
		{"even", false, func() {}},
		{"oneEntry", true, func() {}},
		{"cutBothWays", false, func() { pause(time.Second); cut(false); pause(3 * time.Second); f.Network.Heal() }},
		{"cutOneWay", false, func() { pause(time.Second); cut(true); pause(3 * time.Second); f.Network.Heal() }},
		{"pause", false, func() {
			pause(time.Second)
			stop(issuers[:3]...)
			pause(longPause)
			resume(issuers[:3]...)
			// A node that did not detect the pause would use seats that have moved to other owners.
			for _, name := range issuers[:3] {
				awaitPauseNoticed(t, f.VM(name))
			}
		}},
		{"killAndRestart", false, func() {
			pause(time.Second)
			restartIssuers()
			pause(500 * time.Millisecond)
			restartIssuers()
		}},
		{"listChange", false, func() { pause(time.Second); changeVMList() }},
		{"pauseAndListChange", false, func() {
			stop(issuers[0], issuers[len(issuers)-1])
			changeVMList()
			resume(issuers[0], issuers[len(issuers)-1])
		}},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			publish(t, f, fleet.VMs, f.VMList(nil))
			awaitFullSeats(t, f)
			entries := f.Entries()
			if c.oneEntry {
				entries = entries[:1]
			}
			senders := []limitSender{
				newLimitSender(t, f, "estrie", 8, entries), newLimitSender(t, f, "tremblant", 0.9, entries),
			}
			seed := uint64(limitSeed + i)
			history := runLimitLoad(t, f, c.name, seed, limitLoadTime, senders, c.faults)
			t.Logf("seed=%d pauses=%.0f exhausted=%.0f", seed, totalMetric(t, f, "limitPauses"), totalMetric(t, f, "limitExhausted"))
			for _, s := range senders {
				checkEveryWindow(t, history, s.account)
				countRefusalsWithinRate(t, history, s.account)
			}
		})
	}
}

// Guards against refusing calls of an account that is within its rate, with calls spread over all entries and with all calls
// of an account at one entry.
func TestCallsInsideTheRateAreAdmitted(t *testing.T) {
	f := startLimitFleet(t)
	for i, oneEntry := range []bool{false, true} {
		t.Run(fmt.Sprintf("oneEntry=%v", oneEntry), func(t *testing.T) {
			awaitFullSeats(t, f)
			var senders []limitSender
			for n, a := range publishedAccounts(t, f).Accounts {
				entries := f.Entries()
				if oneEntry {
					entries = entries[n : n+1]
				}
				senders = append(senders, newLimitSender(t, f, a.ID, 0.9, entries))
			}
			before := totalLimitMetrics(t, f)
			seed := uint64(limitSeed + 100 + i)
			const load = 10 * time.Second
			history := runLimitLoad(t, f, t.Name(), seed, load, senders, func() {})
			t.Logf("seed=%d", seed)
			refused, sent := 0, 0
			for _, s := range senders {
				checkEveryWindow(t, history, s.account)
				r, n := countRefusalsWithinRate(t, history, s.account)
				refused, sent = refused+r, sent+n
			}
			after := totalLimitMetrics(t, f)
			for _, name := range slices.Sorted(maps.Keys(after)) {
				t.Logf("%s: %.1f per node and second", name, (after[name]-before[name])/load.Seconds()/float64(len(f.VMs)))
			}
			waits := after["limitWaits"] - before["limitWaits"]
			t.Logf("waits=%.0f of %d calls, mean wait=%.2f ms", waits, sent, (after["limitWaitMs"]-before["limitWaitMs"])/max(1, waits))
			if float64(refused) > 0.001*float64(sent) {
				logOutcomes(t, f, history)
			}
			assert.Assert(t, float64(refused) <= 0.001*float64(sent), "refused=%d sent=%d", refused, sent)
		})
	}
}

func totalLimitMetrics(t *testing.T, f *launch.Fleet) map[string]float64 {
	t.Helper()
	cost := make(map[string]float64)
	for _, name := range []string{
		"controlBytesIn", "controlBytesOut", "limitDraws", "limitReturns", "limitReports", "limitReleases", "limitWaits",
		"limitWaitMs", "limitTokensDrawn", "limitTokensMinted", "limitExhausted", "limitPauses",
	} {
		cost[name] = totalMetric(t, f, name)
	}
	return cost
}
