package metric

import (
	"expvar"
	"net/http"
	"slices"
	"sync"
	"time"

	"coltsfootusher.example/coltsfootd/operator"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/route"
)

// MapName is the name of the map in /debug/vars that holds the metrics of a node.
const MapName = "coltsfootd"

// Name is the name of a metric. Names are stable: a metric is not renamed, and a removed name is not used again.
type Name string

// The metrics. Those with names ending in Ms are in milliseconds; all others are counts.
const (
	Calls                Name = "calls"
	Refusals             Name = "refusals"
	InnerRefusals        Name = "innerRefusals"
	GateRefusals         Name = "gateRefusals"
	AttemptFailures      Name = "attemptFailures"
	DecisionLinesOmitted Name = "decisionLinesOmitted"
	PeerRequestsRejected Name = "peerRequestsRejected"
	PlatformCalls        Name = "platformCalls"
	PlatformErrors       Name = "platformErrors"
	GateRunning          Name = "gateRunning"
	GateWaiting          Name = "gateWaiting"
	GateLimit            Name = "gateLimit"
	GateWaitMs           Name = "gateWaitMs"
	InFlight             Name = "inFlight"
	SectionVersions      Name = "sectionVersions"
	SectionAgesMs        Name = "sectionAgesMs"
	LastContactMs        Name = "lastContactMs"
	Ready                Name = "ready"
	Leaving              Name = "leaving"
	Held                 Name = "held"
	Pauses               Name = "pauses"
	WatcherRank          Name = "watcherRank"
	SectionsNotApplied   Name = "sectionsNotApplied"
	OperationOutcomes    Name = "operationOutcomes"
	OperationEntries     Name = "operationEntries"
	OperationBodyBytes   Name = "operationBodyBytes"
)

// Names returns the sorted names of the metrics in this package. Other packages publish further metrics.
func Names() []Name {
	names := []Name{
		Calls, Refusals, InnerRefusals, GateRefusals, AttemptFailures, DecisionLinesOmitted, PeerRequestsRejected,
		PlatformCalls, PlatformErrors, GateRunning, GateWaiting, GateLimit, GateWaitMs, InFlight,
		SectionVersions, SectionAgesMs, LastContactMs, Ready, Leaving,
		Held, Pauses, WatcherRank, SectionsNotApplied, OperationOutcomes, OperationEntries, OperationBodyBytes,
	}
	slices.Sort(names)
	return names
}

// Outcome is the way in which a caller's call ended.
type Outcome string

// The outcomes of calls.
const (
	// Answered calls received the target's response, whatever its status.
	Answered Outcome = "answered"
	// Refused calls were not run.
	Refused Outcome = "refused"
	// Failed calls may have been run and received no complete response.
	Failed Outcome = "failed"
)

// OutcomeOf returns the outcome of a call with the result.
func OutcomeOf(r call.Result) Outcome {
	switch {
	case r.Reason == "":
		return Answered
	case r.RunStatus == call.NotRun:
		return Refused
	default:
		return Failed
	}
}

// CallCounter counts callers' calls by route class and outcome, and the operation outcomes that callers were told.
type CallCounter struct {
	calls      *expvar.Map
	operations *expvar.Map
}

// NewCallCounter publishes a counter for each class and outcome; calls without a route have the class "none".
func NewCallCounter(metrics *expvar.Map) *CallCounter {
	c := &CallCounter{calls: new(expvar.Map).Init(), operations: new(expvar.Map).Init()}
	for _, class := range []route.Class{route.Lookup, route.NonIdempotent, ""} {
		for _, outcome := range []Outcome{Answered, Refused, Failed} {
			c.calls.Add(callKey(class, outcome), 0)
		}
	}
	for _, outcome := range []call.Outcome{call.OutcomeDone, call.OutcomeNotRun, call.OutcomeUnknown, call.OutcomeRunning} {
		c.operations.Add(string(outcome), 0)
	}
	metrics.Set(string(Calls), c.calls)
	metrics.Set(string(OperationOutcomes), c.operations)
	return c
}

// Count counts one call with its result.
func (c *CallCounter) Count(class route.Class, result call.Result) {
	c.calls.Add(callKey(class, OutcomeOf(result)), 1)
	if result.Outcome != "" {
		c.operations.Add(string(result.Outcome), 1)
	}
}

// PublishOperations publishes the size of the table of non-idempotent operations.
func PublishOperations(metrics *expvar.Map, size func() (entries, bodyBytes int)) {
	metrics.Set(string(OperationEntries), expvar.Func(func() any {
		entries, _ := size()
		return entries
	}))
	metrics.Set(string(OperationBodyBytes), expvar.Func(func() any {
		_, bodyBytes := size()
		return bodyBytes
	}))
}

func callKey(class route.Class, outcome Outcome) string {
	if class == "" {
		class = "none"
	}
	return string(class) + "." + string(outcome)
}

// Publish publishes the metrics that are read from the node's status.
func Publish(metrics *expvar.Map, status func() operator.Status) {
	gauges := map[Name]func(s operator.Status) any{
		GateRunning:        func(s operator.Status) any { return s.Load.Running },
		GateWaiting:        func(s operator.Status) any { return s.Load.Waiting },
		GateLimit:          func(s operator.Status) any { return s.Load.Limit },
		GateWaitMs:         func(s operator.Status) any { return s.Load.WaitMs },
		InFlight:           func(s operator.Status) any { return s.InFlight },
		SectionVersions:    func(s operator.Status) any { return s.Versions },
		SectionAgesMs:      func(s operator.Status) any { return publishedAges(s.AgesMs) },
		LastContactMs:      func(s operator.Status) any { return publishedAges(s.LastContactMs) },
		Ready:              func(s operator.Status) any { return boolToInt(s.Ready) },
		Leaving:            func(s operator.Status) any { return boolToInt(s.Leaving) },
		Held:               func(s operator.Status) any { return boolToInt(s.Held) },
		Pauses:             func(s operator.Status) any { return s.Pauses },
		WatcherRank:        func(s operator.Status) any { return s.WatcherRank },
		SectionsNotApplied: func(s operator.Status) any { return countSectionsNotApplied(s) },
	}
	status = cacheStatus(status)
	for name, gauge := range gauges {
		metrics.Set(string(name), expvar.Func(func() any { return gauge(status()) }))
	}
}

// statusCacheTTL is the time for which a status is reused, so that reading all metrics queries the node once.
const statusCacheTTL = 100 * time.Millisecond

func cacheStatus(status func() operator.Status) func() operator.Status {
	var mu sync.Mutex
	var cached operator.Status
	var readAt time.Time
	return func() operator.Status {
		mu.Lock()
		defer mu.Unlock()
		if readAt.IsZero() || time.Since(readAt) > statusCacheTTL {
			cached = status()
			readAt = time.Now()
		}
		return cached
	}
}

// countSectionsNotApplied counts the sections with a published version that was rejected or conflicts with the one in
// force.
func countSectionsNotApplied(s operator.Status) int {
	count := 0
	for _, section := range s.Sections {
		if section.RejectedVersion != 0 || section.ConflictVersion != 0 {
			count++
		}
	}
	return count
}

// publishedAges replaces clock.Never by -1 and returns an empty map for nil, so that the metric is always a JSON object.
func publishedAges[K comparable](ages map[K]clock.Millis) map[K]clock.Millis {
	result := make(map[K]clock.Millis, len(ages))
	for name, age := range ages {
		if age == clock.Never {
			age = -1
		}
		result[name] = age
	}
	return result
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// countingTransport counts the calls to the platform and those without a usable response.
type countingTransport struct {
	next   http.RoundTripper
	calls  *expvar.Int
	errors *expvar.Int
}

// CountPlatformCalls returns a transport that counts calls to the platform and their errors. Calls that the node itself
// cancelled count as errors too, because a platform that accepts calls and never answers looks the same.
func CountPlatformCalls(metrics *expvar.Map, next http.RoundTripper) http.RoundTripper {
	t := &countingTransport{next: next, calls: new(expvar.Int), errors: new(expvar.Int)}
	metrics.Set(string(PlatformCalls), t.calls)
	metrics.Set(string(PlatformErrors), t.errors)
	return t
}

// RoundTrip sends the request and counts it.
func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.calls.Add(1)
	response, err := t.next.RoundTrip(r)
	if err != nil || response.StatusCode >= http.StatusBadRequest {
		t.errors.Add(1)
	}
	return response, err
}
