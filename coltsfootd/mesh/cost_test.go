package mesh_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/looptest"
	"coltsfootusher.example/coltsfootd/meshsetting"
	"coltsfootusher.example/coltsfootd/preview"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/workcost"
)

func readLoad(h http.Header) *call.Load {
	percent, err := strconv.Atoi(h.Get("Slowness"))
	if err != nil {
		return nil
	}
	return &call.Load{SlownessPercent: percent}
}

func withOperatorPort(t *testing.T, mode workcost.Mode) func(*meshsetting.Settings) {
	return func(s *meshsetting.Settings) {
		s.OperatorPort, s.CostPlacement = netip.MustParseAddrPort(looptest.FreeAddress(t)).Port(), mode
	}
}

// operatorGet decodes the answer of the operator address of a node.
func (f *fleet) operatorGet(t *testing.T, node int, path string, v any) {
	t.Helper()
	f.operatorGetWith(t, node, path, nil, v)
}

func (f *fleet) operatorGetWith(t *testing.T, node int, path string, header http.Header, v any) {
	t.Helper()
	address := netip.AddrPortFrom(f.nodes[node].settings.PeerAddrPort().Addr(), f.nodes[node].settings.OperatorPort)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address.String()+path, nil)
	assert.NilError(t, err)
	r.Header = header
	response, err := f.client.Do(r)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, json.NewDecoder(response.Body).Decode(v))
}

func (f *fleet) operatorPreview(t *testing.T, node int, path, key string, a *preview.Answer) {
	t.Helper()
	*a = preview.Answer{}
	f.operatorGetWith(t, node, preview.Path+"?path="+url.QueryEscape(path), http.Header{preview.KeyHeader: {key}}, a)
}

// costOfLastChoice returns the facts of the choice of a target for the last request.
func (f *fleet) costOfLastChoice(t *testing.T, node int) *decision.Cost {
	t.Helper()
	var decisions []decision.Decision
	f.operatorGet(t, node, fmt.Sprintf("/explain?request=%d", requestNumber.Load()), &decisions)
	var cost *decision.Cost
	for _, d := range decisions {
		if d.Part == decision.PartPassage {
			cost = d.Cost
		}
	}
	return cost
}

func (f *fleet) metric(node int, name string) string {
	return f.nodes[node].metrics.Get(name).String()
}

// Load: a slow and a normal target that report their slowness. Guards against reports that don't reach the choice of a target,
// and against placement by cost for a service whose targets don't report.
func TestReportedSlownessMovesRequests(t *testing.T) {
	f := newFleetWith(t, withOperatorPort(t, workcost.Auto), "voids", "voids", "riders")
	f.sendFor(t, 100*time.Millisecond)
	assert.Equal(t, f.metric(2, "costPlacementServices"), "[]")
	f.targets[0].slowness.Store(400)
	f.targets[1].slowness.Store(100)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		first, second := f.targets[0].runs.Load(), f.targets[1].runs.Load()
		f.sendFor(t, 300*time.Millisecond)
		slow, normal := f.targets[0].runs.Load()-first, f.targets[1].runs.Load()-second
		if f.metric(2, "costPlacementServices") != `["voids"]` || normal < 2*slow {
			return poll.Continue("the slow target got %d requests, the normal one %d", slow, normal)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	f.send(t, 2, http.MethodGet, "/voidlist/1", "secret", "")
	cost := f.costOfLastChoice(t, 2)
	assert.Assert(t, cost != nil && cost.SlownessPercent > 0 && cost.AgeMs >= 0, "%+v", cost)
}

// Load: targets that report their slowness, where an operator has turned the part off. Guards against a setting without effect.
func TestCostPlacementCanBeTurnedOff(t *testing.T) {
	f := newFleetWith(t, withOperatorPort(t, workcost.Off), "voids", "riders")
	f.targets[0].slowness.Store(200)
	f.sendFor(t, 200*time.Millisecond)
	f.send(t, 1, http.MethodGet, "/voidlist/1", "secret", "")
	assert.Assert(t, f.costOfLastChoice(t, 1) == nil)
	assert.Equal(t, f.metric(1, "costPlacementServices"), "[]")
	assert.Equal(t, f.metric(0, "targetCost"), `{"on":false,"slownessPercent":0,"outstandingMs":0,"keys":0}`)
}

// Load: single previews between requests. Guards against a preview that sends a request, changes the state of the node, or
// decides otherwise than the node does, and against an answer without the reason of a refusal.
func TestPreviewTellsTheDecisionAndSendsNothing(t *testing.T) {
	f := newFleetWith(t, withOperatorPort(t, workcost.Auto), "voids", "voids", "riders")
	f.targets[0].slowness.Store(400)
	f.targets[1].slowness.Store(100)
	f.sendFor(t, 300*time.Millisecond)
	runs := f.targets[0].runs.Load() + f.targets[1].runs.Load()
	keys := f.metric(2, "costPlacementKeys")
	var a preview.Answer
	// The last report of the normal target can say that it is full, so that the slow one is better until the report gets old.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.operatorPreview(t, 2, "/voidlist/1", "secret", &a)
		if len(a.Services) == 1 && a.Services[0].Candidates[1].Share > a.Services[0].Candidates[0].Share {
			return poll.Success()
		}
		return poll.Continue("%+v", a)
	}, poll.WithTimeout(30*time.Second))
	for range 20 {
		f.operatorPreview(t, 2, "/voidlist/1", "secret", &a)
	}
	assert.Equal(t, f.targets[0].runs.Load()+f.targets[1].runs.Load(), runs)
	assert.Equal(t, f.metric(2, "costPlacementKeys"), keys)
	assert.Equal(t, a.Reason, call.Reason(""))
	assert.Equal(t, a.Account, "a1")
	service := a.Services[0]
	assert.Assert(t, service.Service == "voids" && service.ByCost && service.CostMs > 0, "%+v", service)
	assert.Assert(t, service.Candidates[1].Share > service.Candidates[0].Share, "%+v", service)
	f.operatorPreview(t, 2, "/voidlist/1", "wrong", &a)
	assert.Assert(t, a.Reason != "" && len(a.Services) == 0, "%+v", a)
	f.operatorPreview(t, 2, "/unknown", "secret", &a)
	assert.Equal(t, a.Reason, call.ReasonRouteUnknown)
}
