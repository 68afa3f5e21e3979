package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/coltsfootd/body"
	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/entry"
	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/coltsfootd/metric"
	"coltsfootusher.example/coltsfootd/operator"
	"coltsfootusher.example/coltsfootd/passage"
	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/retry"
)

const (
	ownKey   = "own-key-5d1c"
	wrongKey = "wrong-key-77aa"
)

type fakeControl struct{ snapshot *fleet.Snapshot }

func (f fakeControl) Current() *fleet.Snapshot   { return f.snapshot }
func (f fakeControl) Wait(context.Context) error { return nil }

type answeringSender struct{}

func (answeringSender) Send(context.Context, passage.Request) answer.Answer {
	return answer.Answer{Status: http.StatusOK, Header: http.Header{}, Result: call.Result{RunStatus: call.WasRun}}
}

type unlimited struct{}

func (unlimited) Admit(context.Context, account.Account) (bool, clock.Millis) { return true, 0 }

// noOperations refuses every operation ID.
type noOperations struct{}

func (noOperations) Identify(http.Header, call.Call) (string, call.Reason) {
	return "", call.ReasonOperationIDInvalid
}
func (noOperations) Seal(context.Context, call.Call) call.Outcome { return call.OutcomeUnknown }
func (noOperations) Serve(w http.ResponseWriter, _ *http.Request, _ string) {
	answer.Refuse(call.ReasonOperationIDInvalid).Write(w)
}

func loadSnapshot(t *testing.T) *fleet.Snapshot {
	t.Helper()
	s := &fleet.Snapshot{}
	for _, name := range fleet.SectionNames() {
		value, err := os.ReadFile("../../examples/sablons/" + string(name) + ".json")
		assert.NilError(t, err)
		if name == fleet.Accounts {
			value, err = json.Marshal(account.Section{Accounts: []account.Account{
				{ID: "estrie", KeyHashes: []string{account.HashKey(ownKey)}, RatePerSecond: 1, Burst: 1},
			}})
			assert.NilError(t, err)
		}
		s, err = s.WithSection(name, 1, value)
		assert.NilError(t, err)
	}
	return s
}

// Guards against a key that appears in a log line, a recorded decision or a metric, wherever the caller put it in the
// request.
func TestKeysAreNeverLogged(t *testing.T) {
	var logs bytes.Buffer
	metrics := new(expvar.Map).Init()
	recorder := decision.New("riders-a1", logging.New(&logs, "logfmt", "debug", "riders-a1"), metrics, 100, 100)
	control := fakeControl{loadSnapshot(t)}
	handler := entry.New(entry.Config{
		Node: "riders-a1", Clock: clock.NewFake(1_000), Snapshots: control, Confirmation: control, Limiter: unlimited{},
		Operations: noOperations{}, Throttle: retry.NewThrottle(rand.New(rand.NewPCG(1, 1))), Sender: answeringSender{},
		Recorder: recorder, CallCounter: metric.NewCallCounter(metrics), MaxBodyBytes: 1 << 10, BodyBudget: body.NewBudget(0),
	})
	var ids []string
	send := func(path, body string, header ...string) {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
		for i := 0; i < len(header); i += 2 {
			r.Header.Add(header[i], header[i+1])
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		assert.Assert(t, !strings.Contains(w.Body.String()+strings.Join(w.Header().Values("Coltsfoot-Reason"), ""), "key-"))
		ids = append(ids, w.Header().Get(answer.RequestIDHeader))
	}
	send("/riders/1", "", "Authorization", "Bearer "+ownKey)
	send("/riders/1", "", "Authorization", "Bearer "+wrongKey)
	send("/riders/1", "", "Authorization", ownKey)
	send("/riders/1", "", "Authorization", "Bearer "+ownKey, "Authorization", "Bearer "+wrongKey)
	send("/riders/"+ownKey, "", "Authorization", "Bearer "+ownKey)
	send("/riders?key="+ownKey, "", "Authorization", "Bearer "+ownKey)
	send("/riders?access_token="+wrongKey, "")
	send("/riders/1", "with "+ownKey, "Authorization", "Bearer "+ownKey)
	send("/riders/1", "", "Authorization", "Bearer "+ownKey, "User-Agent", ownKey)
	send("/"+ownKey, "")
	send("/signings", "", "Authorization", "Bearer "+ownKey, "Operation-Id", ownKey, "Idempotency-Key", wrongKey)
	send(entry.OperationsPath+"/"+wrongKey, "", "Authorization", "Bearer "+wrongKey)

	output := logs.String() + metrics.String()
	operatorHandler := operator.Handler(func() operator.Status { return operator.Status{} }, recorder)
	for _, id := range ids {
		w := httptest.NewRecorder()
		operatorHandler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/explain?request="+id, nil))
		output += w.Body.String()
	}
	assert.Assert(t, strings.Count(logs.String(), "part=entry") >= len(ids)-1, logs.String())
	for _, key := range []string{ownKey, wrongKey, account.HashKey(ownKey), account.HashKey(wrongKey)} {
		assert.Assert(t, !strings.Contains(output, key), output)
	}
	assert.Assert(t, strings.Contains(metrics.String(), `"keyUnknown": 2`), metrics.String())
	assert.Assert(t, strings.Contains(metrics.String(), `"lookup.answered": 1`), metrics.String())
}
