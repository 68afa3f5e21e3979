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
	// refuseAfterMixed is the number of crashes after which a request is refused if suspects run together with other requests.
	refuseAfterMixed = 3
	// maxCrashes is the number of crashes kept per fingerprint; the latest ones are kept. It exceeds refuseAfter so that
	// crashes of which the request was cleared do not displace those that count.
	maxCrashes = 4
	// defaultTTLMs is long enough to cover callers that keep retrying a request.
	defaultTTLMs clock.Millis = 5 * 60 * 1000
	// defaultDeathReportDelayMs is long enough to cover the time from the first broken connection to the last health probe
	// of a target.
	defaultDeathReportDelayMs clock.Millis = 500
	defaultMaxSuspects        int          = 4096
)

// Config holds the parameters of a guard. For TTLMs, DeathReportDelayMs and MaxSuspects, 0 means the default, which is
// 5 min, 500 ms and 4096.
type Config struct {
	// TTLMs is the time after which a crash expires.
	TTLMs clock.Millis
	// DeathReportDelayMs is the maximum time between the failure of the first connection to a target and the report of its
	// death. A failed request still counts as in flight for this time.
	DeathReportDelayMs clock.Millis
	// SuspectsMixed is true if suspects run together with other requests. A request is then refused only after more crashes,
	// since no crash proves which request caused it.
	SuspectsMixed bool
	// MaxSuspects is the maximum number of fingerprints on record. Beyond it, those with the oldest crash are removed.
	MaxSuspects int
}

// Crash records the death of a target while a request with a certain fingerprint was in flight there.
type Crash struct {
	// ID is a random number for each death of a target.
	ID uint64 `json:"id"`
	// AtMs is the wall-clock time of the target's node. All nodes compute the expiry from it, so that forwarding a notice
	// does not extend it.
	AtMs clock.Millis `json:"atMs"`
	// Proof is true if the request ran as a suspect or was the only one in flight.
	Proof bool `json:"proof"`
	// Cleared is true if a request with the fingerprint has completed since.
	Cleared bool `json:"cleared"`
}

// Notice is the message about one fingerprint that nodes exchange.
type Notice struct {
	Fingerprint uint64  `json:"fingerprint"`
	Crashes     []Crash `json:"crashes"`
}

// Decision is the result of Admit for a request.
type Decision string

// The decisions.
const (
	// Run means that the request runs without restrictions.
	Run Decision = "run"
	// RunAsSuspect means that the suspect runs here, and no other suspect runs here until it finishes.
	RunAsSuspect Decision = "runAlone"
	// Wait means that the suspect must wait because another one is running here.
	Wait Decision = "wait"
	// Redirect means that the suspect must be sent to the suspect target of its service.
	Redirect Decision = "elsewhere"
	// Refuse means that the request is refused because it is confirmed to crash targets.
	Refuse Decision = "refuse"
)

// Status tells whether requests with a fingerprint are known to crash targets.
type Status int

// The statuses of a fingerprint.
const (
	// Normal means that no crash counts against the fingerprint.
	Normal Status = iota
	// Suspect means that a crash counts against the fingerprint, but not enough of them to refuse its requests.
	Suspect
	// Confirmed means that the requests with the fingerprint are refused.
	Confirmed
)

// suspect holds the crashes on record for a fingerprint.
type suspect struct {
	crashes []Crash
	// revision is the revision of the guard at the last change.
	revision uint64
}

// Ticket identifies a request in flight.
type Ticket uint64

// Outcome tells how a request finished.
type Outcome string

// The outcomes of a request.
const (
	// Completed means that the target returned a complete response.
	Completed Outcome = "completed"
	// Failed means that the connection broke or the response was truncated, possibly because the target died.
	Failed Outcome = "failed"
	// Cancelled means that the request was cancelled while the target was alive, or was never sent.
	Cancelled Outcome = "cancelled"
)

type inFlightRequest struct {
	fingerprint uint64
	asSuspect   bool
	// failedMs is the time of the failure; it is set for failed requests only.
	failedMs clock.Millis
}

// Guard keeps track of the requests in flight at one target and of the suspects known to its node, and decides which requests
// may run. It is not safe for concurrent use. All times are wall-clock milliseconds since the Unix epoch.
type Guard struct {
	config     Config
	suspects   map[uint64]*suspect
	inFlight   map[Ticket]inFlightRequest
	lastTicket Ticket
	// failed holds the requests that failed within the last DeathReportDelayMs, the earliest first.
	failed   []inFlightRequest
	revision uint64
}

// New returns a guard without suspects.
func New(config Config) *Guard {
	config.TTLMs = cmp.Or(config.TTLMs, defaultTTLMs)
	config.DeathReportDelayMs = cmp.Or(config.DeathReportDelayMs, defaultDeathReportDelayMs)
	config.MaxSuspects = cmp.Or(config.MaxSuspects, defaultMaxSuspects)
	return &Guard{config: config, suspects: make(map[uint64]*suspect), inFlight: make(map[Ticket]inFlightRequest)}
}

// Status returns the status of the fingerprint. Egresses and entries use it to choose the target.
func (g *Guard) Status(fingerprint uint64, now clock.Millis) Status {
	s, ok := g.suspects[fingerprint]
	if !ok {
		return Normal
	}
	return g.statusOf(s, now)
}

// Admit decides on a request for this guard's target; runsSuspects is true if the target is the suspect target of its service
// or the home target of the operation. After Run and RunAsSuspect the caller must call Done with the ticket.
func (g *Guard) Admit(fingerprint uint64, runsSuspects bool, now clock.Millis) (Decision, Ticket) {
	status := g.Status(fingerprint, now)
	switch {
	case status == Confirmed:
		return Refuse, 0
	case status == Normal || g.config.SuspectsMixed:
		return Run, g.start(inFlightRequest{fingerprint: fingerprint})
	case !runsSuspects:
		return Redirect, 0
	case g.isSuspectRunning(now):
		return Wait, 0
	}
	return RunAsSuspect, g.start(inFlightRequest{fingerprint: fingerprint, asSuspect: true})
}

// Done removes a request from those in flight; the ticket of a request whose target has died is ignored. If the request
// completed, its fingerprint is cleared of the crashes known so far if it is a suspect. A confirmed fingerprint stays
// confirmed: a request that was admitted earlier may complete although others like it crash targets.
func (g *Guard) Done(ticket Ticket, outcome Outcome, now clock.Millis) {
	request, ok := g.inFlight[ticket]
	if !ok {
		return
	}
	delete(g.inFlight, ticket)
	switch outcome {
	case Failed:
		g.pruneFailed(now)
		request.failedMs = now
		g.failed = append(g.failed, request)
	case Completed:
		g.clearCrashes(request.fingerprint, now)
	}
}

// TargetDied records a crash with a random id for each request in flight, removes the requests and returns their fingerprints.
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

// Merge adds notices from a peer. Up to MaxSuspects suspects, the result does not depend on their order or repetition.
func (g *Guard) Merge(notices []Notice, now clock.Millis) {
	for _, notice := range notices {
		g.merge(notice, now)
	}
	g.prune(now)
}

// Notices returns up to limit notices that changed after the given revision, the earliest change first, and the revision to
// pass to the next call. A peer that has just started passes 0.
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

// Crashes returns the crashes on record for the fingerprint, including cleared ones.
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

func (g *Guard) start(request inFlightRequest) Ticket {
	g.lastTicket++
	g.inFlight[g.lastTicket] = request
	return g.lastTicket
}

// isSuspectRunning reports whether a suspect is running. This includes suspects that failed within the last
// DeathReportDelayMs, because it is not known yet whether the target died.
func (g *Guard) isSuspectRunning(now clock.Millis) bool {
	g.pruneFailed(now)
	for _, f := range g.inFlight {
		if f.asSuspect {
			return true
		}
	}
	return slices.ContainsFunc(g.failed, func(f inFlightRequest) bool { return f.asSuspect })
}

// pruneFailed removes the failed requests that are older than DeathReportDelayMs.
func (g *Guard) pruneFailed(now clock.Millis) {
	firstKept := slices.IndexFunc(g.failed, func(f inFlightRequest) bool { return f.failedMs+g.config.DeathReportDelayMs > now })
	if firstKept < 0 {
		firstKept = len(g.failed)
	}
	g.failed = g.failed[firstKept:]
}

// clearCrashes marks the crashes of a suspect as cleared.
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
	count, proven := 0, false
	for _, crash := range s.crashes {
		if crash.Cleared || g.isExpired(crash, now) {
			continue
		}
		count++
		proven = proven || crash.Proof
	}
	switch {
	case g.config.SuspectsMixed && count >= refuseAfterMixed, !g.config.SuspectsMixed && count >= refuseAfter && proven:
		return Confirmed
	case count > 0:
		return Suspect
	default:
		return Normal
	}
}

// isExpired reports whether the crash no longer counts. A crash with a time more than the TTL in the future, from a clock that
// is ahead, does not count either, because it would otherwise count for too long.
func (g *Guard) isExpired(crash Crash, now clock.Millis) bool {
	return crash.AtMs+g.config.TTLMs <= now || crash.AtMs > now+g.config.TTLMs
}

// merge forms the union of the crashes by ID, combines their flags with a logical or, and keeps the maxCrashes latest ones.
// A crash that is dropped at one node has maxCrashes later ones, so all nodes drop it eventually.
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

// prune removes the fingerprints whose crashes have all expired, and those with the oldest crash beyond MaxSuspects.
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
