package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Load is one run of a load; it is used once.
type Load struct {
	settings Settings
	client   *http.Client
	start    time.Time
	due      atomic.Int64
	inFlight chan struct{}
	calls    sync.WaitGroup
	onEnd    func(Ended)

	mu      sync.Mutex
	factors map[string]float64
	entries []string
	result  *Result
}

// New returns a load that has not started.
func New(s Settings) (*Load, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Load{
		settings: s,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: s.MaxInFlight,
			DisableCompression:  true,
		}},
		inFlight: make(chan struct{}, s.MaxInFlight),
		factors:  make(map[string]float64),
		entries:  s.Entries,
		result:   newResult(s.Accounts),
	}, nil
}

// OnEnd sets the function that is called at the end of each root call, by several goroutines. It must be set before Run.
func (l *Load) OnEnd(observe func(Ended)) {
	l.onEnd = observe
}

// SetFactor multiplies the account's rate from its next arrival on; an empty account means all accounts. Both
// factors apply together.
func (l *Load) SetFactor(account string, factor float64) error {
	if !(factor > 0) {
		return Error.New("factor must be greater than 0, got %v", factor)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.factors[account] = factor
	return nil
}

// SetEntries replaces the addresses of the entries.
func (l *Load) SetEntries(entries []string) error {
	if len(entries) == 0 {
		return Error.New("entries must not be empty")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append([]string{}, entries...)
	return nil
}

// Run sends until the duration or the number of calls is reached or ctx ends, waits for the calls under way, each
// of which is bounded by its timeout, and returns the result.
func (l *Load) Run(ctx context.Context) *Result {
	l.start = time.Now()
	sending, cancel := context.WithTimeout(ctx, time.Duration(l.settings.DurationMs)*time.Millisecond)
	defer cancel()
	var accounts sync.WaitGroup
	for i, account := range l.settings.Accounts {
		accounts.Go(func() { l.sendFor(sending, context.WithoutCancel(ctx), i, account) })
	}
	accounts.Wait()
	l.calls.Wait()
	l.client.CloseIdleConnections()
	return l.Result()
}

// Result returns a copy of what was recorded so far; histograms are complete only after Run has returned.
func (l *Load) Result() *Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := *l.result
	copied.Total = l.result.Total.clone()
	copied.Accounts = make(map[string]Counts, len(l.result.Accounts))
	for id, counts := range l.result.Accounts {
		copied.Accounts[id] = counts.clone()
	}
	copied.Mistakes = append([]string{}, l.result.Mistakes...)
	copied.Operations = append([]Operation{}, l.result.Operations...)
	return &copied
}

// sendFor is the arrival process of one account. Arrivals follow the planned times, however late answers are.
func (l *Load) sendFor(sending, calls context.Context, index int, account Account) {
	random := rand.New(rand.NewPCG(l.settings.Seed, uint64(index)))
	next := l.start
	for number := 0; ; number++ {
		gap := random.ExpFloat64() / (account.RatePerSecond * l.factor(account.ID))
		next = next.Add(time.Duration(gap * float64(time.Second)))
		if !wait(sending, time.Until(next)) || l.due.Add(1) > l.settings.MaxCalls {
			return
		}
		c := &rootCall{
			load:    l,
			account: account,
			route:   l.pick(random),
			token:   fmt.Sprintf("%d-%s-%d", l.settings.Seed, account.ID, number),
			arrival: next,
			first:   random.IntN(1 << 30),
		}
		l.countDue(c)
		select {
		case l.inFlight <- struct{}{}:
			l.calls.Go(func() {
				defer func() { <-l.inFlight }()
				c.run(calls)
			})
		default:
			l.countEnd(c, []Attempt{{Verdict: Omitted}}, 0)
		}
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Load) factor(account string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	product := 1.0
	for _, id := range []string{"", account} {
		if factor, ok := l.factors[id]; ok {
			product *= factor
		}
	}
	return product
}

func (l *Load) pick(random *rand.Rand) Route {
	var sum float64
	for _, r := range l.settings.Routes {
		sum += r.Weight
	}
	point := random.Float64() * sum
	for _, r := range l.settings.Routes {
		if point -= r.Weight; point < 0 {
			return r
		}
	}
	return l.settings.Routes[len(l.settings.Routes)-1]
}

// entry returns the address for an attempt; successive attempts go to different entries. The first attempt goes to
// the account's own entry if it has one.
func (l *Load) entry(c *rootCall, attempt int) string {
	if attempt == 0 && c.account.Entry != "" {
		return c.account.Entry
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[(c.first+attempt)%len(l.entries)]
}

func (l *Load) countDue(c *rootCall) {
	since := max(c.arrival.Sub(l.start), 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Total.countDue(since)
	counts := l.result.Accounts[c.account.ID]
	counts.countDue(since)
	l.result.Accounts[c.account.ID] = counts
}

// countEnd records the end of a root call; sent is the number of attempts that left the caller.
func (l *Load) countEnd(c *rootCall, attempts []Attempt, sent int) {
	now := time.Now()
	last := attempts[len(attempts)-1]
	if l.onEnd != nil {
		l.onEnd(Ended{
			Account: c.account.ID, Route: c.route, Token: c.token, Arrival: c.arrival, At: now, Verdict: last.Verdict,
			Attempts: attempts,
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Total.countEnd(last, sent, now.Sub(l.start))
	counts := l.result.Accounts[c.account.ID]
	counts.countEnd(last, sent, now.Sub(l.start))
	l.result.Accounts[c.account.ID] = counts
	if last.Verdict == Complete {
		// A value outside the histogram's range is a call of more than ten minutes, which the timeout excludes.
		_ = l.result.Latencies[c.route.Kind].RecordValue(now.Sub(c.arrival).Microseconds() - c.issueTime.Microseconds())
	}
	if c.route.Kind != Lookup && sent > 0 {
		l.result.Operations = append(l.result.Operations, Operation{
			ID: c.id, Kind: c.route.Kind, Account: c.account.ID, Path: c.route.Path, Token: c.token, Attempts: attempts,
		})
	}
}

func (l *Load) noteMistake(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.result.Mistakes) < maxMistakes {
		l.result.Mistakes = append(l.result.Mistakes, text)
	}
}
