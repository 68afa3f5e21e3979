package poison

import (
	"cmp"
	"maps"
	"slices"

	"coltsfootusher.example/core/clock"
)

const (
	// refuseAfter is the number of crashes after which a request is refused.
	refuseAfter = 2
	// refuseAfterMixed is the number of crashes after which a request is refused if suspects run among other requests.
	refuseAfterMixed = 3
	// maxCrashes is the number of crashes kept per fingerprint, the latest ones. It exceeds refuseAfter so that crashes
	// from which the request was cleared do not displace those that count.
	maxCrashes = 4
	// defaultTTLMs covers the patience of callers that send a request again.
	defaultTTLMs clock.Millis = 5 * 60 * 1000
	// defaultDeathReportDelayMs covers the time from the first broken connection to the last probe of a target.
	defaultDeathReportDelayMs clock.Millis = 500
	defaultMaxSuspects        int          = 4096
)

// Config holds the limits of a guard; 0 means the default of 5 min, 500 ms and 4096.
type Config struct {
	// TTLMs is the time for which a crash counts.
	TTLMs clock.Millis
	// DeathReportDelayMs is the time between the failure of the first connection to a target and the report of its death. A
	// request that failed counts as in flight for this time.
	DeathReportDelayMs clock.Millis
	// SuspectsMixed is true if suspects run among other requests. A request is refused only after more crashes then, since none of
	// them proves which request caused it.
	SuspectsMixed bool
	// MaxSuspects is the number of fingerprints on record; beyond it those with the oldest crash are dropped.
	MaxSuspects int
}

// Crash is the death of one target as evidence against one fingerprint.
type Crash struct {
	// ID is drawn at random for each death of a target.
	ID uint64 `json:"id"`
	// AtMs is the wall clock of the target's node. All nodes compute the end of the record from it, so that passing a
	// notice on does not prolong it.
	AtMs clock.Millis `json:"atMs"`
	// Proof is true if the request ran as a suspect or was the only one in flight.
	Proof bool `json:"proof"`
	// Cleared is true if the request has completed since.
	Cleared bool `json:"cleared"`
}

// Notice tells peers about one fingerprint.
type Notice struct {
	Fingerprint uint64  `json:"fingerprint"`
	Crashes     []Crash `json:"crashes"`
}

// Decision says what to do with a request.
type Decision string

// The decisions.
const (
	// Run lets the request run like any other.
	Run Decision = "run"
	// RunAsSuspect lets a suspect run; no other suspect runs here until it ends.
	RunAsSuspect Decision = "runAlone"
	// Wait means that another suspect is running here.
	Wait Decision = "wait"
	// Redirect means that the suspect must go to the runner.
	Redirect Decision = "elsewhere"
	// Refuse means that the request has crashed targets and does not run.
	Refuse Decision = "refuse"
)

// Status is what is known of a fingerprint.
type Status int

// The standings.
const (
	Normal Status = iota
	Suspect
	Confirmed
)

type suspect struct {
	crashes []Crash
	// revision is the guard's counter at the last change.
	revision uint64
}

// Ticket identifies a request in flight.
type Ticket uint64

// Outcome says how a request ended.
type Outcome string

// The ends of a request.
const (
	// Completed means that the target answered completely.
	Completed Outcome = "completed"
	// Failed means that the connection broke or the answer was cut short, perhaps because the target died.
	Failed Outcome = "failed"
	// Cancelled means that the request was given up while the target was alive, or was never sent.
	Cancelled Outcome = "cancelled"
)

type inFlightRequest struct {
	fingerprint uint64
	asSuspect   bool
	// failedMs is set for a request that failed.
	failedMs clock.Millis
}

// Guard keeps the requests in flight at one target and the suspects known to its node. It is not safe for concurrent
// use. All times are wall-clock milliseconds since the Unix epoch.
type Guard struct {
	config     Config
	suspects   map[uint64]*suspect
	inFlight   map[Ticket]inFlightRequest
	lastTicket Ticket
	// failed holds the requests that failed within LingerMs, the earliest first.
	failed   []inFlightRequest
	revision uint64
}

// New returns a guard that knows of no suspects.
func New(config Config) *Guard {
	config.TTLMs = cmp.Or(config.TTLMs, defaultTTLMs)
	config.DeathReportDelayMs = cmp.Or(config.DeathReportDelayMs, defaultDeathReportDelayMs)
	config.MaxSuspects = cmp.Or(config.MaxSuspects, defaultMaxSuspects)
	return &Guard{config: config, suspects: make(map[uint64]*suspect), inFlight: make(map[Ticket]inFlightRequest)}
}

// Status returns what is known of the fingerprint; egresses and entries use it to choose the target.
func (g *Guard) Status(fingerprint uint64, now clock.Millis) Status {
	s, ok := g.suspects[fingerprint]
	if !ok {
		return Normal
	}
	return g.statusOf(s, now)
}

// Admit decides on a request for this guard's target; here is true if the target is the runner of its service or the
// home of the operation. After Run and RunAlone the caller must report the end of the ticket.
func (g *Guard) Admit(fingerprint uint64, here bool, now clock.Millis) (Decision, Ticket) {
	standing := g.Status(fingerprint, now)
	switch {
	case standing == Confirmed:
		return Refuse, 0
	case standing == Normal || g.config.SuspectsMixed:
		return Run, g.start(inFlightRequest{fingerprint: fingerprint})
	case !here:
		return Redirect, 0
	case g.isSuspectRunning(now):
		return Wait, 0
	}
	return RunAsSuspect, g.start(inFlightRequest{fingerprint: fingerprint, asSuspect: true})
}

// Done removes a request from those in flight; the ticket of a request whose target has died is ignored. If the target
// has answered completely, a suspect is cleared of the crashes known so far. A condemned request stays condemned: one
// that was admitted earlier may end well although others like it crash targets.
func (g *Guard) Done(ticket Ticket, end Outcome, now clock.Millis) {
	f, ok := g.inFlight[ticket]
	if !ok {
		return
	}
	delete(g.inFlight, ticket)
	switch end {
	case Failed:
		g.pruneFailed(now)
		f.failedMs = now
		g.failed = append(g.failed, f)
	case Completed:
		g.clearCrashes(f.fingerprint, now)
	}
}

// TargetDied makes each request in flight a suspect, removes it, and returns the fingerprints; id must be random.
func (g *Guard) TargetDied(id uint64, now clock.Millis) []uint64 {
	g.pruneFailed(now)
	dead := append(slices.Collect(maps.Values(g.inFlight)), g.failed...)
	fingerprints := make([]uint64, 0, len(dead))
	for _, f := range dead {
		fingerprints = append(fingerprints, f.fingerprint)
		crash := Crash{ID: id, AtMs: now, Proof: f.asSuspect || len(dead) == 1}
		g.merge(Notice{Fingerprint: f.fingerprint, Crashes: []Crash{crash}}, now)
	}
	clear(g.inFlight)
	g.failed = nil
	g.prune(now)
	return fingerprints
}

// Merge takes notices from a peer. Below the cap on suspects, the result does not depend on order or repetition.
func (g *Guard) Merge(notices []Notice, now clock.Millis) {
	for _, notice := range notices {
		g.merge(notice, now)
	}
	g.prune(now)
}

// Notices returns up to limit notices that changed after the revision, the earliest change first, and the revision to
// ask for next. A peer that starts asks for revision 0.
func (g *Guard) Notices(after uint64, limit int, now clock.Millis) ([]Notice, uint64) {
	g.prune(now)
	var changed []uint64
	for fingerprint, s := range g.suspects {
		if s.revision > after {
			changed = append(changed, fingerprint)
		}
	}
	slices.SortFunc(changed, func(a, b uint64) int {
		return cmp.Compare(g.suspects[a].revision, g.suspects[b].revision)
	})
	changed = changed[:min(len(changed), max(limit, 0))]
	notices := make([]Notice, 0, len(changed))
	for _, fingerprint := range changed {
		s := g.suspects[fingerprint]
		notices = append(notices, Notice{Fingerprint: fingerprint, Crashes: slices.Clone(s.crashes)})
		after = s.revision
	}
	return notices, after
}

// Crashes returns the crashes on record for the fingerprint, cleared ones included.
func (g *Guard) Crashes(fingerprint uint64) []Crash {
	s, ok := g.suspects[fingerprint]
	if !ok {
		return nil
	}
	return slices.Clone(s.crashes)
}

// Len returns the number of fingerprints on record, including cleared ones.
func (g *Guard) Len() int {
	return len(g.suspects)
}

func (g *Guard) start(f inFlightRequest) Ticket {
	g.lastTicket++
	g.inFlight[g.lastTicket] = f
	return g.lastTicket
}

// isSuspectRunning is also true for a while after a suspect has failed, until it is known whether the target died.
func (g *Guard) isSuspectRunning(now clock.Millis) bool {
	g.pruneFailed(now)
	for _, f := range g.inFlight {
		if f.asSuspect {
			return true
		}
	}
	return slices.ContainsFunc(g.failed, func(f inFlightRequest) bool { return f.asSuspect })
}

func (g *Guard) pruneFailed(now clock.Millis) {
	kept := slices.IndexFunc(g.failed, func(f inFlightRequest) bool { return f.failedMs+g.config.DeathReportDelayMs > now })
	if kept < 0 {
		kept = len(g.failed)
	}
	g.failed = g.failed[kept:]
}

func (g *Guard) clearCrashes(fingerprint uint64, now clock.Millis) {
	s, ok := g.suspects[fingerprint]
	if !ok || g.statusOf(s, now) != Suspect {
		return
	}
	for i := range s.crashes {
		s.crashes[i].Cleared = true
	}
	g.markChanged(s)
}

func (g *Guard) statusOf(s *suspect, now clock.Millis) Status {
	count, proof := 0, false
	for _, crash := range s.crashes {
		if crash.Cleared || g.isExpired(crash, now) {
			continue
		}
		count++
		proof = proof || crash.Proof
	}
	switch {
	case g.config.SuspectsMixed && count >= refuseAfterMixed, !g.config.SuspectsMixed && count >= refuseAfter && proof:
		return Confirmed
	case count > 0:
		return Suspect
	default:
		return Normal
	}
}

// isExpired also ignores a crash from a clock that is ahead by more than the TTL, which would otherwise count for longer.
func (g *Guard) isExpired(crash Crash, now clock.Millis) bool {
	return crash.AtMs+g.config.TTLMs <= now || crash.AtMs > now+g.config.TTLMs
}

// merge forms the union of the crashes by id, with the flags joined by or, and keeps the latest. A crash that is cut
// off at one node has maxCrashes later ones, so it is cut off everywhere in the end.
func (g *Guard) merge(notice Notice, now clock.Millis) {
	s := &suspect{}
	if known, ok := g.suspects[notice.Fingerprint]; ok {
		s = known
	}
	crashes := slices.Clone(s.crashes)
	for _, crash := range notice.Crashes {
		if g.isExpired(crash, now) {
			continue
		}
		i := slices.IndexFunc(crashes, func(c Crash) bool { return c.ID == crash.ID })
		if i < 0 {
			crashes = append(crashes, crash)
			continue
		}
		crashes[i].Proof = crashes[i].Proof || crash.Proof
		crashes[i].Cleared = crashes[i].Cleared || crash.Cleared
	}
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.AtMs, a.AtMs), cmp.Compare(a.ID, b.ID))
	})
	crashes = crashes[:min(len(crashes), maxCrashes)]
	if slices.Equal(crashes, s.crashes) {
		return
	}
	s.crashes = crashes
	g.suspects[notice.Fingerprint] = s
	g.markChanged(s)
}

func (g *Guard) markChanged(s *suspect) {
	g.revision++
	s.revision = g.revision
}

// prune removes the fingerprints whose crashes have all expired, and those beyond the cap.
func (g *Guard) prune(now clock.Millis) {
	for fingerprint, s := range g.suspects {
		if !slices.ContainsFunc(s.crashes, func(c Crash) bool { return !g.isExpired(c, now) }) {
			delete(g.suspects, fingerprint)
		}
	}
	excess := len(g.suspects) - g.config.MaxSuspects
	if excess <= 0 {
		return
	}
	oldest := make([]uint64, 0, len(g.suspects))
	for fingerprint := range g.suspects {
		oldest = append(oldest, fingerprint)
	}
	slices.SortFunc(oldest, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(g.suspects[a].crashes[0].AtMs, g.suspects[b].crashes[0].AtMs), cmp.Compare(a, b))
	})
	for _, fingerprint := range oldest[:excess] {
		delete(g.suspects, fingerprint)
	}
}
