package target

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"coltsfootusher.example/standin/journal"
	"coltsfootusher.example/standin/server"
)

// crashStatus is the exit status of a process that a marked request crashed.
const crashStatus = 3

// Target is one server of a service.
type Target struct {
	settings Settings
	journal  *journal.Journal
	client   *http.Client
	slots    chan struct{}
	started  time.Time
	exit     func(int)
	listener *limitedListener
	servers  []*server.Server
	stop     context.CancelFunc

	running, waiting, executions, shed, whileDraining, peakConnections atomic.Int64

	mu       sync.Mutex
	random   *rand.Rand
	controls Controls
	samples  []sample
	earlier  *rendered
}

// New returns a target that has not started; exit is called by requests marked "crash", nil means os.Exit.
func New(s Settings, exit func(int)) (*Target, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	j, err := journal.New(s.JournalFile)
	if err != nil {
		return nil, err
	}
	if exit == nil {
		exit = os.Exit
	}
	return &Target{
		settings: s,
		journal:  j,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Slots}},
		slots:    make(chan struct{}, s.Slots),
		started:  time.Now(),
		exit:     exit,
		random:   rand.New(rand.NewPCG(s.Seed, 0)),
		controls: Controls{SlowFactor: 1, LoadFactor: 1, Shed: s.Shed},
	}, nil
}

// Start opens the listeners and begins the cold start.
func (t *Target) Start(ctx context.Context) error {
	listener, err := server.Listen(ctx, t.settings.ListenAddress)
	if err != nil {
		return err
	}
	t.listener = &limitedListener{
		Listener:    listener,
		limit:       int64(t.settings.Connections),
		connectTime: time.Duration(t.settings.ConnectMs * float64(time.Millisecond)),
	}
	t.started = time.Now()
	sampling, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t.stop = cancel
	go t.recordSamples(sampling)
	t.servers = append(t.servers, server.Start(t.listener, t.Handler()))
	if t.settings.AdminAddress == "" {
		return nil
	}
	admin, err := server.Listen(ctx, t.settings.AdminAddress)
	if err != nil {
		return errs.Combine(err, t.Stop(ctx))
	}
	t.servers = append(t.servers, server.Start(admin, t.Handler()))
	return nil
}

// Address returns the address of the main listener of a started target.
func (t *Target) Address() string {
	return t.servers[0].Address()
}

// Stop finishes the running requests, at most until ctx ends, and closes the journal.
func (t *Target) Stop(ctx context.Context) error {
	t.stop()
	var group errs.Group
	for _, s := range t.servers {
		group.Add(s.Stop(ctx))
	}
	t.client.CloseIdleConnections()
	group.Add(t.journal.Close())
	return group.Err()
}

// Controls returns the properties in force.
func (t *Target) Controls() Controls {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.controls
}

// SetControls replaces the properties in force.
func (t *Target) SetControls(c Controls) error {
	if err := c.Validate(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.controls = c
	return nil
}

// Journal returns the record of executions.
func (t *Target) Journal() *journal.Journal {
	return t.journal
}

func (t *Target) cold() bool {
	return time.Since(t.started) < time.Duration(t.settings.ColdStartMs)*time.Millisecond
}

func (t *Target) openConnections() int64 {
	if t.listener == nil {
		return 0
	}
	open := t.listener.open.Load()
	for peak := t.peakConnections.Load(); open > peak; peak = t.peakConnections.Load() {
		if t.peakConnections.CompareAndSwap(peak, open) {
			break
		}
	}
	return open
}

// serviceTime draws the time that one request occupies its slot without its inner calls.
func (t *Target) serviceTime() time.Duration {
	cold := t.cold()
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := t.settings.ServiceTime.MeanMs
	if t.settings.ServiceTime.Kind == Exponential {
		ms *= t.random.ExpFloat64()
	}
	ms *= t.controls.SlowFactor
	if cold && t.settings.ColdFactor > 0 {
		ms *= t.settings.ColdFactor
	}
	return time.Duration(ms * float64(time.Millisecond))
}
