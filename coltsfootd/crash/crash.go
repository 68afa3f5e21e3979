package crash

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/probe"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/poison"
)

const (
	// maxCompleted bounds the recently answered requests that are remembered as harmless.
	maxCompleted = 4096
	// maxNoticeBytes bounds a notice; each request in flight takes about twenty bytes.
	maxNoticeBytes = 256 << 10
)

// probeDelays are the delays before each probe of a target after a broken connection. The kernel may close the
// connections of a dying process before its listener.
var probeDelays = []time.Duration{0, 10 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond}

// NoticePath is the path at which notices of other nodes are received.
const NoticePath = "/coltsfoot/crash"

// Notice lists the requests that were in flight when a target died.
type Notice struct {
	// Crash is a random id of the death of the target.
	Crash        uint64       `json:"crash,string"`
	AtMs         clock.Millis `json:"atMs"`
	Fingerprints []uint64     `json:"fingerprints"`
}

// Config holds the settings and dependencies of a Guard.
type Config struct {
	TargetAddress string
	// StopPlanned reports whether the target is being stopped on purpose, so that its end is not a crash.
	StopPlanned func() bool
	// SendNotice sends a notice to the other nodes of the service without blocking.
	SendNotice func(Notice)
	Logger     log.Logger
}

// Guard tracks the requests in flight at the local target, and what is known about requests that crash targets. It is
// safe for concurrent use.
type Guard struct {
	Config

	mu       sync.Mutex
	suspects *poison.Guard
	probing  bool
	// completed holds the fingerprints of recently answered requests, completionOrder the same ones, oldest first.
	completed       map[uint64]bool
	completionOrder []uint64
}

// New returns a guard without recorded crashes.
func New(c Config) *Guard {
	return &Guard{Config: c, completed: make(map[uint64]bool), suspects: poison.New(poison.Config{SuspectsMixed: true})}
}

// Enter reports whether the request may go to the target, and records that it does. After success the caller must call
// Leave.
func (g *Guard) Enter(fingerprint uint64) (poison.Ticket, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decision, ticket := g.suspects.Admit(fingerprint, true, clock.WallNow())
	return ticket, decision == poison.Run
}

// Leave records the end of a request. After a broken connection the target is probed.
func (g *Guard) Leave(ticket poison.Ticket, fingerprint uint64, end poison.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspects.Done(ticket, end, clock.WallNow())
	switch end {
	case poison.Completed:
		g.rememberCompleted(fingerprint)
	case poison.Failed:
		if !g.probing {
			g.probing = true
			go g.probeTarget()
		}
	}
}

func (g *Guard) rememberCompleted(fingerprint uint64) {
	if g.completed[fingerprint] {
		return
	}
	g.completed[fingerprint] = true
	g.completionOrder = append(g.completionOrder, fingerprint)
	if len(g.completionOrder) > maxCompleted {
		delete(g.completed, g.completionOrder[0])
		g.completionOrder = g.completionOrder[1:]
	}
}

// probeTarget finds out whether the target has died.
func (g *Guard) probeTarget() {
	died := false
	for _, delay := range probeDelays {
		time.Sleep(delay)
		if died = probe.Dial(g.TargetAddress) == probe.Refused; died {
			break
		}
	}
	g.mu.Lock()
	g.probing = false
	g.mu.Unlock()
	if died && !g.StopPlanned() {
		g.targetDied()
	}
}

func (g *Guard) targetDied() {
	notice := Notice{Crash: rand.Uint64(), AtMs: clock.WallNow()}
	g.mu.Lock()
	for _, fingerprint := range g.suspects.TargetDied(notice.Crash, notice.AtMs) {
		if g.completed[fingerprint] {
			g.clearCrash(fingerprint, notice)
			continue
		}
		notice.Fingerprints = append(notice.Fingerprints, fingerprint)
	}
	g.mu.Unlock()
	_ = level.Warn(g.Logger).Log("msg", "target died with requests in flight", "target", g.TargetAddress,
		"suspects", len(notice.Fingerprints))
	if len(notice.Fingerprints) > 0 {
		g.SendNotice(notice)
	}
}

// clearCrash records that the request did not cause the crash, because it has been answered before.
func (g *Guard) clearCrash(fingerprint uint64, n Notice) {
	g.suspects.Merge([]poison.Notice{{
		Fingerprint: fingerprint, Crashes: []poison.Crash{{ID: n.Crash, AtMs: n.AtMs, Cleared: true}},
	}}, clock.WallNow())
}

// AddNotice records the crash that a notice of another node reports.
func (g *Guard) AddNotice(n Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notices := make([]poison.Notice, 0, len(n.Fingerprints))
	for _, fingerprint := range n.Fingerprints {
		if !g.completed[fingerprint] {
			notices = append(notices, poison.Notice{
				Fingerprint: fingerprint, Crashes: []poison.Crash{{ID: n.Crash, AtMs: n.AtMs}},
			})
		}
	}
	g.suspects.Merge(notices, clock.WallNow())
}

// ServeNotice handles a notice sent by another node.
func (g *Guard) ServeNotice(w http.ResponseWriter, r *http.Request) {
	var n Notice
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxNoticeBytes)).Decode(&n); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.AddNotice(n)
	_ = level.Info(g.Logger).Log("msg", "peer reports a crash of its target", "suspects", len(n.Fingerprints))
	w.WriteHeader(http.StatusOK)
}
