package operation_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/operation"
)

const (
	retentionMs = 400
	maxSkewMs   = 50
	nodes       = 4
	steps       = 3000
	epochMs     = 1_700_000_000_000
)

// request is one operation of a caller and its history.
type request struct {
	id             operation.ID
	key            operation.IdempotencyKey
	keyed          bool
	executed       int
	answeredNotRun bool
}

// message is a request or a handover in transit. Its delivery may be late, repeated, out of order or lost.
type message struct {
	node     int
	kind     string
	request  *request
	handover operation.HandoverPart
	// read is true if the node has read its clocks and ownership, but was paused before it acted on them.
	read        bool
	incarnation uint64
	now         operation.ClockReading
	owned       operation.SeatOwnership
}

// startedOperation is an operation that an incarnation must run because Begin said so.
type startedOperation struct {
	node        int
	incarnation uint64
	request     *request
	sent        bool
}

type node struct {
	table       *operation.Table
	incarnation uint64
	bootMs      clock.Millis
	skewMs      clock.Millis
	leaving     bool
}

// simulation consists of nodes that own one seat in turn, and callers that try every node.
type simulation struct {
	t *rapid.T
	// random selects the steps with equal probability. The generators of rapid prefer small numbers, so that runs would
	// seldom get past the start.
	random        *rand.Rand
	timeMs        clock.Millis
	nodes         [nodes]node
	owner         int
	sinceMs       clock.Millis
	serial        uint64
	requests      []*request
	messages      []message
	running       []startedOperation
	outcomeCounts map[string]int
}

func (s *simulation) randomInt(n int) int {
	return s.random.IntN(n)
}

func (s *simulation) restartNode(i int) {
	s.serial++
	n := &s.nodes[i]
	*n = node{incarnation: s.serial, bootMs: s.timeMs - 1000, skewMs: n.skewMs}
	n.table = operation.New(operation.Config{
		Node: fmt.Sprint(i), Incarnation: n.incarnation, RetentionMs: retentionMs, MaxClockSkewMs: maxSkewMs,
		MaxEntries: 6, MaxBodyBytes: 8, MaxWaiters: 2,
	})
	if s.owner == i {
		s.sinceMs = s.timeMs
	}
}

func (s *simulation) now(i int) operation.ClockReading {
	return operation.ClockReading{MonotonicMs: s.timeMs - s.nodes[i].bootMs, WallMs: epochMs + s.timeMs + s.nodes[i].skewMs}
}

func (s *simulation) ownership(i int) operation.SeatOwnership {
	return operation.SeatOwnership{SinceMs: s.sinceMs - s.nodes[i].bootMs, Owned: s.owner == i}
}

func (s *simulation) newRequest() {
	s.serial++
	r := &request{keyed: s.randomInt(2) == 1}
	if r.keyed {
		// The clocks of callers may be wrong by far more than the limit for nodes.
		wallMs := epochMs + s.timeMs + clock.Millis(s.randomInt(8*maxSkewMs)-4*maxSkewMs)
		binary.BigEndian.PutUint64(r.key[:], uint64(wallMs)<<16|0x7000)
		binary.BigEndian.PutUint64(r.key[8:], 1<<63|s.serial)
	} else {
		home := s.randomInt(nodes)
		nonce := operation.Nonce{byte(s.serial >> 8), byte(s.serial)}
		id, err := s.nodes[home].table.Issue("account", "voids", "/voids", nonce, s.now(home))
		if err != nil {
			return
		}
		r.id = id
	}
	s.requests = append(s.requests, r)
}

func (s *simulation) send() {
	if len(s.requests) == 0 {
		return
	}
	recent := min(len(s.requests), 8)
	r := s.requests[len(s.requests)-1-s.randomInt(recent)]
	kind := []string{"begin", "begin", "begin", "seal", "outcome"}[s.randomInt(5)]
	s.messages = append(s.messages, message{node: s.pickNode(r), kind: kind, request: r})
}

// pickNode usually returns the node that may run the request, so that the interesting states are reached often.
func (s *simulation) pickNode(r *request) int {
	if s.randomInt(4) == 0 {
		return s.randomInt(nodes)
	}
	if r.keyed {
		return s.owner
	}
	return int(r.id.Node[0] - '0')
}

func (s *simulation) deliver() {
	if len(s.messages) == 0 {
		return
	}
	i := len(s.messages) - 1 - s.randomInt(min(len(s.messages), 30))
	m := s.messages[i]
	if s.randomInt(4) > 0 {
		s.messages = append(s.messages[:i], s.messages[i+1:]...)
	}
	if m.read && m.incarnation != s.nodes[m.node].incarnation {
		return
	}
	if m.kind == "handover" {
		_ = s.nodes[m.node].table.Import(m.handover, s.now(m.node))
		return
	}
	if !m.read {
		m.read, m.incarnation, m.now, m.owned = true, s.nodes[m.node].incarnation, s.now(m.node), s.ownership(m.node)
		if s.randomInt(4) == 0 {
			s.messages = append(s.messages, m)
			return
		}
	}
	s.handle(m)
}

func (s *simulation) handle(m message) {
	op := operation.NewIssued(m.request.id)
	if m.request.keyed {
		op = operation.NewKeyed("account", "voids", m.request.key, m.owned)
	}
	table := s.nodes[m.node].table
	var state operation.State
	switch m.kind {
	case "begin":
		state = table.Begin(op, m.now)
	case "seal":
		state = table.Seal(op, m.now)
	default:
		state = table.Outcome(op, m.now)
	}
	if state.MustRun {
		s.running = append(s.running, startedOperation{node: m.node, incarnation: m.incarnation, request: m.request})
	}
	s.checkAnswer(m.request, state.Outcome)
}

// checkAnswer checks an answer against the executions so far. Whether the answer reaches the caller does not matter.
func (s *simulation) checkAnswer(r *request, outcome call.Outcome) {
	s.outcomeCounts[string(outcome)]++
	if outcome == call.OutcomeNotRun {
		r.answeredNotRun = true
	}
	if outcome == call.OutcomeDone && r.executed != 1 {
		s.t.Fatalf("answered done after %d executions", r.executed)
	}
	s.checkExecutions(r)
}

func (s *simulation) checkExecutions(r *request) {
	if r.executed > 1 {
		s.t.Fatalf("executed %d times: %+v", r.executed, r)
	}
	if r.executed > 0 && r.answeredNotRun {
		s.t.Fatalf("executed although the caller was answered notRun: %+v", r)
	}
}

// advanceRunning lets a started operation be executed by its target, or be refused or finished by its home node.
func (s *simulation) advanceRunning() {
	if len(s.running) == 0 {
		return
	}
	i := s.randomInt(len(s.running))
	run := &s.running[i]
	alive := s.nodes[run.node].incarnation == run.incarnation
	if !run.sent {
		if alive && s.randomInt(5) == 0 {
			s.finish(i, call.OutcomeNotRun)
			return
		}
		// The target also executes a request that the home node sent before it crashed.
		run.sent = true
		run.request.executed++
		s.checkExecutions(run.request)
		return
	}
	if !alive {
		s.running = append(s.running[:i], s.running[i+1:]...)
		return
	}
	s.finish(i, []call.Outcome{call.OutcomeDone, call.OutcomeDone, call.OutcomeUnknown}[s.randomInt(3)])
}

func (s *simulation) finish(i int, outcome call.Outcome) {
	run := s.running[i]
	s.running = append(s.running[:i], s.running[i+1:]...)
	ref := operation.NewIssued(run.request.id).Ref()
	if run.request.keyed {
		ref = operation.NewKeyed("account", "voids", run.request.key, operation.SeatOwnership{}).Ref()
	}
	response := operation.Response{Status: 200, Body: []byte("abc")}
	if _, err := s.nodes[run.node].table.Finish(ref, outcome, response, s.now(run.node)); err != nil {
		s.t.Fatalf("finish: %v", err)
	}
	s.checkAnswer(run.request, outcome)
}

func (s *simulation) leaveOrExport() {
	i := s.randomInt(nodes)
	n := &s.nodes[i]
	if !n.leaving {
		n.leaving = true
		n.table.Leave()
		return
	}
	parts, err := n.table.Export(s.now(i), 1+s.randomInt(100))
	if err != nil {
		s.t.Fatalf("export: %v", err)
	}
	for _, part := range parts {
		for _, successor := range []int{(i + 1) % nodes, (i + 2) % nodes} {
			s.messages = append(s.messages, message{node: successor, kind: "handover", handover: part})
		}
	}
	if s.randomInt(3) > 0 {
		s.restartNode(i)
	}
}

func (s *simulation) step() {
	switch s.randomInt(20) {
	case 0:
		s.newRequest()
	case 1, 2, 3, 4, 5:
		s.send()
	case 6, 7, 8, 9, 10, 11:
		s.deliver()
	case 12, 13, 14, 15:
		s.advanceRunning()
	case 16:
		s.timeMs += clock.Millis(s.randomInt(30))
	case 17:
		if s.randomInt(4) == 0 && len(s.messages) > 0 {
			s.messages = s.messages[1:]
		}
		if s.randomInt(3) == 0 {
			s.leaveOrExport()
		}
	case 18:
		if s.randomInt(6) == 0 {
			s.restartNode(s.randomInt(nodes))
		}
	case 19:
		if s.randomInt(6) == 0 {
			s.owner, s.sinceMs = s.randomInt(nodes), s.timeMs
		}
		if s.randomInt(16) == 0 {
			s.timeMs += retentionMs / 2
		}
	}
}

// Guards against an operation that runs twice, or that runs although its caller was told that it did not and will not.
// The causes are late, repeated and lost messages, crashes, pauses, handovers, and wrong clocks of callers.
func TestOperationRunsAtMostOnceAndNeverAfterNotRun(t *testing.T) {
	outcomeCounts := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		s := &simulation{t: rt, random: rand.New(rand.NewPCG(seed, 0)), timeMs: 10_000, outcomeCounts: outcomeCounts}
		for i := range s.nodes {
			s.nodes[i].skewMs = clock.Millis(s.randomInt(maxSkewMs-1) - maxSkewMs/2 + 1)
			s.restartNode(i)
		}
		s.sinceMs = 0
		for range steps {
			s.step()
		}
	})
	t.Logf("answers: %v", outcomeCounts)
	for _, outcome := range []call.Outcome{call.OutcomeDone, call.OutcomeNotRun, call.OutcomeUnknown, call.OutcomeRunning} {
		if outcomeCounts[string(outcome)] == 0 {
			t.Errorf("the outcome %q was never seen", outcome)
		}
	}
}
