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

// request is one operation of a caller together with what happened to it.
type request struct {
	id         operation.ID
	key        operation.Key
	keyed      bool
	executed   int
	toldNotRun bool
}

// message is a request or a handover on its way; delivery may be late, repeated, reordered or lost.
type message struct {
	node     int
	kind     string
	request  *request
	handover operation.Handover
	// read is set when a paused node has read its clocks and ownership but not yet acted on them.
	read  bool
	boot  uint64
	now   operation.Now
	owned operation.Ownership
}

// started is an operation that Begin handed to the shell of one incarnation.
type started struct {
	node    int
	boot    uint64
	request *request
	sent    bool
}

type node struct {
	table       *operation.Table
	incarnation uint64
	bootMs      clock.Millis
	skewMs      clock.Millis
	leaving     bool
}

// system is several homes that own one seat in turn, with callers that try every node.
type system struct {
	t *rapid.T
	// random draws the steps evenly; the generators of rapid prefer small numbers and would seldom get past the start.
	random   *rand.Rand
	timeMs   clock.Millis
	nodes    [nodes]node
	owner    int
	sinceMs  clock.Millis
	serial   uint64
	requests []*request
	messages []message
	running  []started
	seen     map[string]int
}

func (s *system) draw(n int) int {
	return s.random.IntN(n)
}

func (s *system) boot(i int) {
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

func (s *system) now(i int) operation.Now {
	return operation.Now{MonoMs: s.timeMs - s.nodes[i].bootMs, WallMs: epochMs + s.timeMs + s.nodes[i].skewMs}
}

func (s *system) owned(i int) operation.Ownership {
	return operation.Ownership{SinceMs: s.sinceMs - s.nodes[i].bootMs, OK: s.owner == i}
}

func (s *system) newRequest() {
	s.serial++
	r := &request{keyed: s.draw(2) == 1}
	if r.keyed {
		// The callers' clocks may be wrong by far more than the bound for nodes.
		wallMs := epochMs + s.timeMs + clock.Millis(s.draw(8*maxSkewMs)-4*maxSkewMs)
		binary.BigEndian.PutUint64(r.key[:], uint64(wallMs)<<16|0x7000)
		binary.BigEndian.PutUint64(r.key[8:], 1<<63|s.serial)
	} else {
		home := s.draw(nodes)
		nonce := operation.Nonce{byte(s.serial >> 8), byte(s.serial)}
		id, err := s.nodes[home].table.Issue("account", "voids", "/voids", nonce, s.now(home))
		if err != nil {
			return
		}
		r.id = id
	}
	s.requests = append(s.requests, r)
}

func (s *system) send() {
	if len(s.requests) == 0 {
		return
	}
	recent := min(len(s.requests), 8)
	r := s.requests[len(s.requests)-1-s.draw(recent)]
	kind := []string{"begin", "begin", "begin", "seal", "outcome"}[s.draw(5)]
	s.messages = append(s.messages, message{node: s.route(r), kind: kind, request: r})
}

// route mostly picks the right home, so that the interesting paths are reached often.
func (s *system) route(r *request) int {
	if s.draw(4) == 0 {
		return s.draw(nodes)
	}
	if r.keyed {
		return s.owner
	}
	return int(r.id.Node[0] - '0')
}

func (s *system) deliver() {
	if len(s.messages) == 0 {
		return
	}
	i := len(s.messages) - 1 - s.draw(min(len(s.messages), 30))
	m := s.messages[i]
	if s.draw(4) > 0 {
		s.messages = append(s.messages[:i], s.messages[i+1:]...)
	}
	if m.read && m.boot != s.nodes[m.node].incarnation {
		return
	}
	if m.kind == "handover" {
		_ = s.nodes[m.node].table.Import(m.handover, s.now(m.node))
		return
	}
	if !m.read {
		m.read, m.boot, m.now, m.owned = true, s.nodes[m.node].incarnation, s.now(m.node), s.owned(m.node)
		if s.draw(4) == 0 {
			s.messages = append(s.messages, m)
			return
		}
	}
	s.handle(m)
}

func (s *system) handle(m message) {
	op := operation.Issued(m.request.id)
	if m.request.keyed {
		op = operation.Keyed("account", "voids", m.request.key, m.owned)
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
	if state.Start {
		s.running = append(s.running, started{node: m.node, boot: m.boot, request: m.request})
	}
	s.told(m.request, state.Outcome)
}

// told checks the answer against the journal; the answer may be lost on its way without harm.
func (s *system) told(r *request, outcome call.Outcome) {
	s.seen[string(outcome)]++
	if outcome == call.OutcomeNotRun {
		r.toldNotRun = true
	}
	if outcome == call.Done && r.executed != 1 {
		s.t.Fatalf("told done after %d executions", r.executed)
	}
	s.check(r)
}

func (s *system) check(r *request) {
	if r.executed > 1 {
		s.t.Fatalf("executed %d times: %+v", r.executed, r)
	}
	if r.executed > 0 && r.toldNotRun {
		s.t.Fatalf("executed although the caller was told notRun: %+v", r)
	}
}

// progress lets a target execute, or the home refuse or finish, an operation that was started.
func (s *system) progress() {
	if len(s.running) == 0 {
		return
	}
	i := s.draw(len(s.running))
	run := &s.running[i]
	alive := s.nodes[run.node].incarnation == run.boot
	if !run.sent {
		if alive && s.draw(5) == 0 {
			s.finish(i, call.OutcomeNotRun)
			return
		}
		// A request that the home sent before it crashed is still executed by the target.
		run.sent = true
		run.request.executed++
		s.check(run.request)
		return
	}
	if !alive {
		s.running = append(s.running[:i], s.running[i+1:]...)
		return
	}
	s.finish(i, []call.Outcome{call.Done, call.Done, call.Unknown}[s.draw(3)])
}

func (s *system) finish(i int, outcome call.Outcome) {
	run := s.running[i]
	s.running = append(s.running[:i], s.running[i+1:]...)
	ref := operation.Issued(run.request.id).Ref()
	if run.request.keyed {
		ref = operation.Keyed("account", "voids", run.request.key, operation.Ownership{}).Ref()
	}
	response := operation.Response{Status: 200, Body: []byte("abc")}
	if _, err := s.nodes[run.node].table.Finish(ref, outcome, response, s.now(run.node)); err != nil {
		s.t.Fatalf("finish: %v", err)
	}
	s.told(run.request, outcome)
}

func (s *system) leave() {
	i := s.draw(nodes)
	n := &s.nodes[i]
	if !n.leaving {
		n.leaving = true
		n.table.Leave()
		return
	}
	parts, err := n.table.Export(s.now(i), 1+s.draw(100))
	if err != nil {
		s.t.Fatalf("export: %v", err)
	}
	for _, part := range parts {
		for _, heir := range []int{(i + 1) % nodes, (i + 2) % nodes} {
			s.messages = append(s.messages, message{node: heir, kind: "handover", handover: part})
		}
	}
	if s.draw(3) > 0 {
		s.boot(i)
	}
}

func (s *system) step() {
	switch s.draw(20) {
	case 0:
		s.newRequest()
	case 1, 2, 3, 4, 5:
		s.send()
	case 6, 7, 8, 9, 10, 11:
		s.deliver()
	case 12, 13, 14, 15:
		s.progress()
	case 16:
		s.timeMs += clock.Millis(s.draw(30))
	case 17:
		if s.draw(4) == 0 && len(s.messages) > 0 {
			s.messages = s.messages[1:]
		}
		if s.draw(3) == 0 {
			s.leave()
		}
	case 18:
		if s.draw(6) == 0 {
			s.boot(s.draw(nodes))
		}
	case 19:
		if s.draw(6) == 0 {
			s.owner, s.sinceMs = s.draw(nodes), s.timeMs
		}
		if s.draw(16) == 0 {
			s.timeMs += retentionMs / 2
		}
	}
}

// Guards against an operation that runs twice, or that runs although its caller was told that it did not.
func TestNoDuplicateAndNoFalseNotRun(t *testing.T) {
	seen := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		s := &system{t: rt, random: rand.New(rand.NewPCG(seed, 0)), timeMs: 10_000, seen: seen}
		for i := range s.nodes {
			s.nodes[i].skewMs = clock.Millis(s.draw(maxSkewMs-1) - maxSkewMs/2 + 1)
			s.boot(i)
		}
		s.sinceMs = 0
		for range steps {
			s.step()
		}
	})
	t.Logf("answers: %v", seen)
	for _, outcome := range []call.Outcome{call.Done, call.OutcomeNotRun, call.Unknown, call.Running} {
		if seen[string(outcome)] == 0 {
			t.Errorf("the outcome %q was never seen", outcome)
		}
	}
}
