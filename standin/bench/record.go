package bench

import (
	"maps"
	"slices"
	"sync"
	"time"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/journal"
)

// records collects the root calls of a load; it is safe for concurrent use.
type records struct {
	mu    sync.Mutex
	calls []caller.Ended
	notes []string
}

func (r *records) add(e caller.Ended) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, e)
}

func (r *records) note(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, text)
}

// figures are the results of one run.
type figures struct {
	goodput, offered, capacity float64
	recovery                   time.Duration
	recovered                  bool
	worstAccount               string
	worstAccountRatio          float64
	inRateRefusedRatio         float64
	duplicates, falseNotRun    int
	wrong, omitted             int
	lateP99                    time.Duration
	onceOnly                   bool
	// deepPerCall is the number of executions at the deepest service per root call due during the trigger.
	deepPerCall float64
	// perSecond are the whole answers of each second from the start of the phase before the trigger.
	perSecond []int
	verdicts  map[string]int
	notes     []string

	control, used usage
	idle, loaded  latencies
}

// goodputRatio is the goodput over the trigger divided by the smaller of the offered load and the capacity.
func (f figures) goodputRatio() float64 {
	return f.goodput / min(f.offered, f.capacity)
}

// analysis derives the figures from the calls and from the starts of executions at the deepest service.
type analysis struct {
	calls    []caller.Ended
	marks    marks
	accounts account.Section
	// deepStart is the time of a call's last execution at the deepest service, by token.
	deepStart map[string]time.Time
	// capacityPerSecond and lost give the capacity during the trigger, in root calls.
	capacityPerSecond, lost float64
}

func (r *run) figures() (figures, error) {
	entries, err := r.fleet.Journals()
	if err != nil {
		return figures{}, err
	}
	onceOnly, err := r.isOnceOnly()
	if err != nil {
		return figures{}, err
	}
	a := analysis{
		calls: r.records.calls, marks: r.marks, accounts: r.accounts, deepStart: make(map[string]time.Time),
		capacityPerSecond: r.fleet.File.CapacityPerSecond, lost: r.lostCapacity,
	}
	if r.scenario.slow {
		// Each root call of the profiles needs the deepest service, so nothing else can be served meanwhile.
		a.capacityPerSecond /= slowFactor
	}
	executions := a.readJournal(entries, r.fleet.File.DeepestService)
	f := a.figures()
	f.deepPerCall = float64(executions) / max(1, float64(a.due(r.marks.trigger, r.marks.reversal)))
	f.onceOnly = r.onceOnly
	f.notes = r.records.notes
	comparison := caller.Compare(r.load.Result().Operations, entries, onceOnly)
	f.duplicates, f.falseNotRun = len(comparison.Duplicates), len(comparison.FalseNotRun)
	return f, nil
}

// readJournal notes the starts at the service and returns their number during the trigger.
func (a *analysis) readJournal(entries []journal.Entry, service string) int {
	during := 0
	for _, e := range entries {
		if e.Event != journal.Start || e.Service != service {
			continue
		}
		at := time.UnixMilli(e.AtUnixMs)
		if at.After(a.deepStart[e.Token]) {
			a.deepStart[e.Token] = at
		}
		if !at.Before(a.marks.trigger) && at.Before(a.marks.reversal) {
			during++
		}
	}
	return during
}

func (a *analysis) figures() figures {
	f := figures{verdicts: make(map[string]int)}
	seconds := a.marks.reversal.Sub(a.marks.trigger).Seconds()
	f.capacity = a.capacityPerSecond*seconds - a.lost
	whole := a.wholeByAccount()
	for _, count := range whole {
		f.goodput += float64(count)
	}
	demands := a.demands()
	for _, d := range demands {
		f.offered += d.inRate
	}
	f.worstAccount, f.worstAccountRatio = a.worst(whole, demands, f.capacity)
	f.inRateRefusedRatio = a.inRateRefused()
	f.recovery, f.recovered = a.recovery()
	f.perSecond = a.perSecond()
	f.lateP99 = a.lateP99()
	for _, c := range a.calls {
		f.verdicts[string(c.Verdict)]++
	}
	f.wrong, f.omitted = f.verdicts[string(caller.Wrong)], f.verdicts[string(caller.Omitted)]
	return f
}

func within(at, from, to time.Time) bool {
	return !at.Before(from) && at.Before(to)
}

// due counts the root calls that arrived between the times.
func (a *analysis) due(from, to time.Time) int {
	count := 0
	for _, c := range a.calls {
		if within(c.Arrival, from, to) {
			count++
		}
	}
	return count
}

// ended counts the whole answers that arrived between the times.
func (a *analysis) ended(from, to time.Time) int {
	count := 0
	for _, c := range a.calls {
		if c.Verdict == caller.Complete && within(c.At, from, to) {
			count++
		}
	}
	return count
}

// openCalls is the name under which calls on open routes are counted: they belong to no account.
const openCalls = ""

func accountOf(c caller.Ended) string {
	if c.Route.Open {
		return openCalls
	}
	return c.Account
}

// wholeByAccount counts the goodput over the trigger: root calls that were answered whole and whose execution at the
// deepest service began during the trigger. The end of the call would count work of a slow service only seconds later,
// when the trigger has passed.
func (a *analysis) wholeByAccount() map[string]int {
	whole := make(map[string]int)
	for _, c := range a.calls {
		at, ok := a.deepStart[c.Token]
		if !ok {
			at = c.At
		}
		if c.Verdict == caller.Complete && within(at, a.marks.trigger, a.marks.reversal) {
			whole[accountOf(c)]++
		}
	}
	return whole
}

// demand is the load that an account offers during the trigger.
type demand struct {
	// inRate is the part that its rate and burst cover.
	inRate float64
	inside bool
	weight float64
}

func (a *analysis) demands() map[string]demand {
	demands := make(map[string]demand)
	for _, acct := range a.accounts.Accounts {
		b := newBucket(acct)
		d := demand{weight: weightOf(acct), inside: true}
		for _, at := range a.arrivals(acct.ID) {
			taken := b.take(at.Sub(a.marks.start).Seconds())
			if !within(at, a.marks.trigger, a.marks.reversal) {
				continue
			}
			if taken {
				d.inRate++
			} else {
				d.inside = false
			}
		}
		demands[acct.ID] = d
	}
	open := demand{weight: 1}
	for _, c := range a.calls {
		if c.Route.Open && within(c.Arrival, a.marks.trigger, a.marks.reversal) {
			open.inRate++
		}
	}
	demands[openCalls] = open
	return demands
}

// arrivals returns the sorted arrivals of the account's root calls on routes that need its key.
func (a *analysis) arrivals(id string) []time.Time {
	var at []time.Time
	for _, c := range a.calls {
		if accountOf(c) == id {
			at = append(at, c.Arrival)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// worst returns the account with the least part of what it is due among those that stay inside their rate, or among all
// when none does. An account is due its load inside its rate, or its weighted part of the capacity when that is less.
func (a *analysis) worst(whole map[string]int, demands map[string]demand, capacity float64) (string, float64) {
	shares := make(map[string]share)
	for id, d := range demands {
		shares[id] = share{weight: d.weight, demand: d.inRate}
	}
	due := fairShares(capacity, shares)
	worst, lowest := "", -1.0
	for _, id := range judged(demands) {
		if due[id] == 0 {
			continue
		}
		if ratio := float64(whole[id]) / due[id]; lowest < 0 || ratio < lowest {
			worst, lowest = id, ratio
		}
	}
	return worst, max(0, lowest)
}

// judged returns the accounts inside their rate, or all accounts when none is.
func judged(demands map[string]demand) []string {
	var inside, all []string
	for _, id := range slices.Sorted(maps.Keys(demands)) {
		if id == openCalls {
			continue
		}
		all = append(all, id)
		if demands[id].inside {
			inside = append(inside, id)
		}
	}
	if len(inside) == 0 {
		return all
	}
	return inside
}

// inRateRefused returns the part of the root calls of accounts inside their rate of which an attempt was refused, from
// the phase before the trigger until the end. A refusal counts although a later attempt succeeded.
func (a *analysis) inRateRefused() float64 {
	accounts := judged(a.demands())
	calls, refused := 0, 0
	for _, c := range a.calls {
		if !slices.Contains(accounts, accountOf(c)) || !within(c.Arrival, a.marks.before, a.marks.end) {
			continue
		}
		calls++
		if slices.ContainsFunc(c.Attempts, func(t caller.Attempt) bool { return t.Verdict == caller.Refused }) {
			refused++
		}
	}
	return float64(refused) / float64(max(1, calls))
}

const (
	recoveryWindow = time.Second
	recoveryStep   = 100 * time.Millisecond
	// recoveredShare is the part of the earlier goodput at which the fleet counts as recovered, and relapseShare the part
	// below which it must not fall again. The gap keeps the noise of a window of one second from counting as a relapse.
	recoveredShare = 0.95
	relapseShare   = 0.90
)

// recovery returns the time from the end of the trigger to the first window in which the goodput is recoveredShare of
// that before and after which no window is below relapseShare. Goodput is compared with the arrivals of a window that
// is earlier by the usual latency, so that the noise of the arrivals cancels out.
func (a *analysis) recovery() (time.Duration, bool) {
	lag := a.medianLatency()
	before := a.served(a.marks.before, a.marks.trigger, lag)
	var at []float64
	for from := a.marks.after; !from.Add(recoveryWindow).After(a.marks.end); from = from.Add(recoveryStep) {
		at = append(at, a.served(from, from.Add(recoveryWindow), lag)/before)
	}
	since := -1
	for i, part := range at {
		switch {
		case part < relapseShare:
			since = -1
		case part >= recoveredShare && since < 0:
			since = i
		}
	}
	if since < 0 {
		return a.marks.end.Sub(a.marks.after), false
	}
	return time.Duration(since) * recoveryStep, true
}

// served returns the whole answers per call due.
func (a *analysis) served(from, to time.Time, lag time.Duration) float64 {
	return float64(a.ended(from, to)) / float64(max(1, a.due(from.Add(-lag), to.Add(-lag))))
}

func (a *analysis) medianLatency() time.Duration {
	var took []time.Duration
	for _, c := range a.calls {
		if c.Verdict == caller.Complete && within(c.Arrival, a.marks.before, a.marks.trigger) {
			took = append(took, c.At.Sub(c.Arrival))
		}
	}
	return quantile(took, 0.5)
}

// lateP99 is the time by which the driver sent later than planned.
func (a *analysis) lateP99() time.Duration {
	var late []time.Duration
	for _, c := range a.calls {
		if len(c.Attempts) > 0 && !c.Attempts[0].Sent.IsZero() && c.Route.Kind == caller.Lookup {
			late = append(late, c.Attempts[0].Sent.Sub(c.Arrival))
		}
	}
	return quantile(late, 0.99)
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

func (a *analysis) perSecond() []int {
	var counts []int
	for from := a.marks.before; from.Before(a.marks.end); from = from.Add(time.Second) {
		counts = append(counts, a.ended(from, from.Add(time.Second)))
	}
	return counts
}
