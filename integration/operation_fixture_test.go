package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/journal"
	"coltsfootusher.example/standin/launch"
	"coltsfootusher.example/standin/target"
)

const (
	conditionTimeout      = time.Minute
	conditionPollInterval = 10 * time.Millisecond
	// lateTargetMs, the delay of a late target, is longer than the timeouts of the calls that ask for it.
	lateTargetMs = 400
)

// startOperationFleet starts the fleet of Sablons with a short wait before seats move, so that nodes accept idempotency keys
// soon after their start.
func startOperationFleet(t *testing.T, seed uint64) *launch.Fleet {
	t.Helper()
	t.Logf("seed %d", seed)
	f, err := launch.Start(t.Context(), launch.Options{
		Bin: programDir(t), Profile: filepath.Join("..", "examples", "sablons"), Work: t.TempDir(), Seed: seed, LateMs: lateTargetMs,
		NodeSettings: map[string]any{"seatFenceMs": 1000, "seatFenceMarginMs": 200, "maxClockSkewMs": 200},
	})
	assert.NilError(t, err)
	t.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	assert.NilError(t, f.AwaitReady(ctx))
	return f
}

func awaitCondition(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); !condition(); time.Sleep(conditionPollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", conditionTimeout, description)
		}
	}
}

// timedAttempt is one attempt of an operation as seen by its caller.
type timedAttempt struct {
	caller.Attempt
	sent, received time.Time
}

// trackedOperation is a non-idempotent operation with all its attempts.
type trackedOperation struct {
	id, path, token string
	kind            caller.Kind
	key             string
	// faultQuery is appended to the query to request a fault from the target.
	faultQuery string

	mu       sync.Mutex
	attempts []timedAttempt
}

func (o *trackedOperation) hasFinalOutcome() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.attempts {
		if r.Outcome == string(call.OutcomeDone) || r.Outcome == string(call.OutcomeNotRun) {
			return true
		}
	}
	return false
}

// operationClient sends requests as the client accounts do and records the operations.
type operationClient struct {
	fleet       *launch.Fleet
	client      *http.Client
	tokenPrefix string

	mu         sync.Mutex
	operations []*trackedOperation
}

func newOperationClient(f *launch.Fleet, prefix string) *operationClient {
	return &operationClient{fleet: f, tokenPrefix: prefix, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// newOperation returns an operation, or nil if its id could not be issued.
func (c *operationClient) newOperation(random *rand.Rand, kind caller.Kind, path string) *trackedOperation {
	keys := c.fleet.Keys.Keys
	o := &trackedOperation{kind: kind, path: path, key: keys[random.IntN(len(keys))].Key}
	if kind == caller.OwnKey {
		o.id = uuid.Must(uuid.NewV7()).String()
	} else if o.id = c.issueID(c.randomEntry(random), o.key, path); o.id == "" {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o.token = fmt.Sprintf("%s-%d", c.tokenPrefix, len(c.operations))
	c.operations = append(c.operations, o)
	return o
}

func (c *operationClient) randomEntry(random *rand.Rand) string {
	return c.fleet.VMs[random.IntN(len(c.fleet.VMs))].Entry
}

func (c *operationClient) issueID(entry, key, path string) string {
	path = caller.IssuePath + "?route=" + url.QueryEscape(path)
	status, _, body, err := c.doRequest(entry, key, http.MethodPost, path, nil, nil, time.Second)
	var issued struct{ ID string }
	if err != nil || status != http.StatusCreated || json.Unmarshal(body, &issued) != nil {
		return ""
	}
	return issued.ID
}

// sendAttempt sends the operation to the entry once and records the attempt.
func (c *operationClient) sendAttempt(o *trackedOperation, entry string, timeout time.Duration) timedAttempt {
	header := map[string]string{target.OperationIDHeader: o.id}
	if o.kind == caller.OwnKey {
		header = map[string]string{caller.IdempotencyKeyHeader: o.id}
	}
	r := timedAttempt{Attempt: caller.Attempt{Entry: entry, Verdict: caller.TimedOut}, sent: time.Now()}
	body := []byte("request " + o.token)
	path := o.path + "?" + target.TokenParameter + "=" + o.token + o.faultQuery
	status, responseHeader, data, err := c.doRequest(entry, o.key, http.MethodPost, path, body, header, timeout)
	r.received = time.Now()
	if err == nil {
		r.Status, r.Reason, r.Outcome = status, responseHeader.Get(target.ReasonHeader), responseHeader.Get(caller.OutcomeHeader)
		r.Verdict = caller.Refused
		if status == http.StatusOK {
			r.Verdict = caller.Wrong
			if a, err := target.ParseAnswer(data); err == nil && a.Verify(http.MethodPost, path, o.token, body) == nil {
				r.Verdict = caller.Complete
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts = append(o.attempts, r)
	return r
}

func (c *operationClient) doRequest(
	entry, key, method, path string, body []byte, header map[string]string, timeout time.Duration,
) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	request.GetBody = nil
	request.Header.Set(caller.KeyHeader, "Bearer "+key)
	request.Header.Set(target.TimeoutHeader, fmt.Sprint(timeout.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, data, err
}

// historyEvent is an event of one operation: an execution began, or a caller received an outcome.
type historyEvent struct {
	operation string
	execution bool
	outcome   call.Outcome
}

type operationState struct{ executed, sealed bool }

// operationModel requires that an operation executes at most once, that "done" is answered only after it executed, and that
// "notRun" is answered only if it never executes.
var operationModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byOperation := make(map[string][]porcupine.Operation)
		for _, o := range history {
			name := o.Input.(historyEvent).operation
			byOperation[name] = append(byOperation[name], o)
		}
		parts := make([][]porcupine.Operation, 0, len(byOperation))
		for _, part := range byOperation {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return operationState{} },
	Step: func(state, input, _ any) (bool, any) {
		now, event := state.(operationState), input.(historyEvent)
		switch {
		case event.execution:
			return !now.executed && !now.sealed, operationState{executed: true}
		case event.outcome == call.OutcomeDone:
			return now.executed, now
		case event.outcome == call.OutcomeNotRun:
			return !now.executed, operationState{sealed: true}
		default:
			return true, now
		}
	},
}

// checkHistory compares the outcomes that callers received with the journals of the targets, both directly and with
// operationModel, and returns the number of operations by last outcome and that of executions.
func (c *operationClient) checkHistory(t *testing.T) map[string]int {
	t.Helper()
	entries, err := c.fleet.Journals()
	assert.NilError(t, err)
	var history []porcupine.Operation
	add := func(s historyEvent, from, to time.Time) {
		history = append(history, porcupine.Operation{
			ClientId: len(history), Input: s, Call: from.UnixNano(), Return: to.UnixNano(),
		})
	}
	var operations []caller.Operation
	outcomeCounts := make(map[string]int)
	for _, o := range c.operations {
		record := caller.Operation{ID: o.id, Kind: o.kind, Path: o.path, Token: o.token}
		lastOutcome := "nothing"
		for _, r := range o.attempts {
			record.Attempts = append(record.Attempts, r.Attempt)
			assert.Check(t, r.Verdict != caller.Wrong, "operation %s: the answer is incomplete or belongs to another request", o.token)
			if r.Outcome != "" {
				add(historyEvent{operation: o.path + " " + o.token, outcome: call.Outcome(r.Outcome)}, r.sent, r.received)
				lastOutcome = r.Outcome
			}
		}
		outcomeCounts[lastOutcome]++
		operations = append(operations, record)
	}
	for _, e := range entries {
		if e.Event == journal.Start && isNonIdempotent(e.Path) {
			at := time.UnixMilli(e.AtUnixMs)
			add(historyEvent{operation: e.Path + " " + e.Token, execution: true}, at, at.Add(time.Millisecond))
			outcomeCounts["executed"]++
		}
	}
	comparison := caller.Compare(operations, entries, isNonIdempotent)
	t.Logf("%d operations, last outcomes %v, %+v", len(operations), outcomeCounts, comparison)
	assert.Check(t, comparison.OK(), "the journals contradict the outcomes that callers received")
	result, info := porcupine.CheckOperationsVerbose(operationModel, history, time.Minute)
	if !assert.Check(t, result == porcupine.Ok, "the history of operations is %s", result) {
		_ = porcupine.VisualizePath(operationModel, info, filepath.Join(os.TempDir(), "coltsfootusher-history.html"))
	}
	return outcomeCounts
}

func isNonIdempotent(path string) bool { return path == "/signings" || path == "/voids" }
