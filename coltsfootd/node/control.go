package node

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/coltsfootd/control"
	"coltsfootusher.example/coltsfootd/drain"
	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/coltsfootd/metric"
	"coltsfootusher.example/coltsfootd/operator"
	"coltsfootusher.example/coltsfootd/peerclient"
	"coltsfootusher.example/coltsfootd/platform"
	"coltsfootusher.example/coltsfootd/socket"
	"coltsfootusher.example/coltsfootd/transport"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/peer/auth"
)

const (
	platformIdleConns = 8
	controlIdleConns  = 4
	statusTimeout     = time.Second
)

// buildControl creates the control loop and its clients of the platform and of peers.
func (n *Node) buildControl(signer *auth.Signer, metrics *expvar.Map) error {
	s := n.settings
	bootstrap, err := s.BootstrapAddresses()
	if err != nil {
		return err
	}
	n.trafficMeter = transport.NewMeter(metrics)
	n.peerClient = peerclient.New(signer, transport.NewMetered(s.SourceAddress(), 0, controlIdleConns, n.trafficMeter))
	n.control = control.New(control.Config{
		Node: s.NodeName, FailureDomain: s.FailureDomain, PeerAddress: s.PeerAddress, Incarnation: n.incarnation,
		BootstrapPeers: bootstrap, WatchWaitMs: s.WatchWaitMs, StartupTimeoutMs: s.StartupTimeoutMs,
		PauseThresholdMs: s.PauseThresholdMs, ConfirmTimeoutMs: s.ConfirmTimeoutMs, Clock: n.clock,
		Platform: platform.New(s.PlatformAddress, s.NodeName,
			metric.CountPlatformCalls(metrics, transport.NewMetered(s.SourceAddress(), 0, platformIdleConns, n.trafficMeter))),
		Dialer: n.peerClient, Logger: logging.WithPart(n.logger, "control"),
	})
	return nil
}

// newDrainServer returns a server that, on shutdown, ends idle connections with a refusal that says "not run".
func newDrainServer(name string, srv *http.Server) *server {
	srv.ConnContext = transport.ConnContext
	refusal := drain.Refusal(map[string]string{
		answer.ReasonHeader: string(call.ReasonLeaving), answer.RunHeader: string(call.NotRun),
	})
	// Command run has no maxFiles setting, and nothing reads the socket count.
	return &server{name: name, drainServer: drain.New(srv, refusal, socket.NewBudget(0))}
}

func (n *Node) status() operator.Status {
	snapshot := n.control.Current()
	status := operator.Status{
		Node: n.settings.NodeName, Incarnation: n.incarnation, FailureDomain: n.settings.FailureDomain,
		Service: n.settings.Service, Leaving: n.leaving.Load(), LeavingReasons: n.drainState.sortedReasons(),
		ActivePreset: snapshot.Presets.Active, Versions: snapshot.Versions, Load: n.admission.Load(),
		InFlight: n.inFlight.Len(), LimitsReady: n.limits.Ready(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	control, err := n.control.Status(ctx)
	if err != nil {
		status.ControlError = err.Error()
		return status
	}
	status.Ready, status.Held, status.Pauses = control.Ready, control.Held, control.Pauses
	status.WatcherRank, status.Sections = control.WatcherRank, control.Sections
	status.LastContactMs, status.LeavingPeers = control.LastContactMs, control.LeavingPeers
	status.AgesMs = make(map[fleet.SectionName]clock.Millis, len(control.Sections))
	for _, s := range control.Sections {
		status.AgesMs[s.Name] = s.AgeMs
	}
	return status
}
