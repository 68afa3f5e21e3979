package mesh_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/meshsetting"
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
		s.OperatorPort, s.CostPlacement = netip.MustParseAddrPort(freeAddress(t)).Port(), mode
	}
}

// operatorGet returns the answer of the operator address of a node.
func (f *fleet) operatorGet(t *testing.T, node int, path string, v any) {
	t.Helper()
	address := netip.AddrPortFrom(f.nodes[node].settings.PeerAddrPort().Addr(), f.nodes[node].settings.OperatorPort)
	response, err := f.client.Get("http://" + address.String() + path)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, json.NewDecoder(response.Body).Decode(v))
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
