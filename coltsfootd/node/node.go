package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/zeebo/errs"

	"coltsfootusher.example/coltsfootd/body"
	"coltsfootusher.example/coltsfootd/control"
	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/drain"
	"coltsfootusher.example/coltsfootd/egress"
	"coltsfootusher.example/coltsfootd/entry"
	"coltsfootusher.example/coltsfootd/gateway"
	"coltsfootusher.example/coltsfootd/health"
	"coltsfootusher.example/coltsfootd/inflight"
	"coltsfootusher.example/coltsfootd/limits"
	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/coltsfootd/metric"
	"coltsfootusher.example/coltsfootd/operations"
	"coltsfootusher.example/coltsfootd/operator"
	"coltsfootusher.example/coltsfootd/passage"
	"coltsfootusher.example/coltsfootd/peerclient"
	"coltsfootusher.example/coltsfootd/peerserver"
	"coltsfootusher.example/coltsfootd/periodic"
	"coltsfootusher.example/coltsfootd/setting"
	"coltsfootusher.example/coltsfootd/suspect"
	"coltsfootusher.example/coltsfootd/transport"
	"coltsfootusher.example/core/balance"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/preset"
	"coltsfootusher.example/core/retry"
	"coltsfootusher.example/peer/auth"
)

// Error is the class of errors that end a node.
var Error = errs.Class("node")

const (
	maxRecentDecisions  = 4096
	peerIdleConns       = 64
	readHeaderTimeout   = 10 * time.Second
	idleTimeout         = 2 * time.Minute
	reconfigureInterval = 50 * time.Millisecond
	minRetriesPerSecond = 1
	maxPeerMessageBytes = 2 << 20
)

// Node is one coltsfootd process.
type Node struct {
	settings    setting.Settings
	logger      log.Logger
	clock       *clock.Monotonic
	incarnation uint64
	leaving     atomic.Bool

	control      *control.Loop
	trafficMeter *transport.Meter
	peerClient   *peerclient.Client
	drainState   *drainState
	health       *health.Poller
	admission    *gateway.Admission
	inFlight     *inflight.Table
	recorder     *decision.Recorder
	entry        *entry.Handler
	balancer     *passage.LockedBalancer
	retryBudget  *retry.Budget
	target       *gateway.Target

	operations *operations.Service
	limits     *limits.Limits
	suspects   *suspect.Guard

	servers []*server
}

type server struct {
	name        string
	listener    net.Listener
	drainServer *drain.Server
}

const operatorServer = "operator"

// New builds a node and opens its listeners; logs go to logs.
func New(s setting.Settings, logs io.Writer) (*Node, error) {
	n := &Node{
		settings:    s,
		logger:      logging.New(logs, s.LogFormat, s.LogLevel, s.NodeName),
		clock:       clock.NewMonotonic(),
		incarnation: rand.Uint64(),
		inFlight:    inflight.New(),
	}
	logging.RedirectStandardLogger(n.logger)
	secret, err := s.FleetSecret()
	if err != nil {
		return nil, err
	}
	signer, err := auth.New(s.NodeName, secret, s.PeerRequestMaxAgeMs.Duration(), time.Now)
	if err != nil {
		return nil, err
	}
	metrics := expvar.NewMap(metric.MapName)
	n.recorder = decision.New(s.NodeName, n.logger, metrics, maxRecentDecisions, s.LogSamplePerSecond)
	if err := n.buildControl(signer, metrics); err != nil {
		return nil, err
	}
	metric.Publish(metrics, n.status)
	n.balancer = passage.NewLockedBalancer(n.incarnation, balance.DefaultConfig(s.FailureDomain))
	n.buildLimits(metrics)
	if err := n.buildOperations(secret); err != nil {
		return nil, err
	}
	metric.PublishOperations(metrics, n.operations.Size)
	n.buildSuspects()
	n.buildRequestHandlers(signer, metrics)
	n.health = health.New(s.TargetAddress, s.TargetHealthPath, s.TargetHealthIntervalMs, n)
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

func (n *Node) buildRequestHandlers(signer *auth.Signer, metrics *expvar.Map) {
	s := n.settings
	n.admission = gateway.NewAdmission(gateway.NewGate(n.incarnation, n.clock.Now()), n.clock)
	n.drainState = &drainState{admission: n.admission, reasons: make(map[string]bool)}
	ops := n.operations
	n.target = gateway.NewTarget(s.TargetAddress, s.TargetConnections, s.BufferedAnswerBytes)
	g := gateway.New(gateway.Config{
		Node: s.NodeName, Incarnation: n.incarnation, Service: s.Service, Clock: n.clock, Snapshots: n.control,
		Confirmation: n.control, Operations: ops, Suspects: n.suspects, Admission: n.admission,
		Target: n.target, InFlight: n.inFlight, Recorder: n.recorder,
	})
	n.retryBudget = retry.New(0, minRetriesPerSecond)
	sender := passage.New(passage.Config{
		Node: s.NodeName, FailureDomain: s.FailureDomain, Clock: n.clock, Snapshots: n.control, Peers: n.control,
		Operations: ops, LocalGateway: g, Suspects: n.suspects,
		Client:   passage.NewClient(signer, transport.New(s.SourceAddress(), 0, peerIdleConns), s.BufferedAnswerBytes),
		Balancer: n.balancer, RetryBudget: n.retryBudget, Recorder: n.recorder,
	})
	n.entry = entry.New(entry.Config{
		Node: s.NodeName, Clock: n.clock, Snapshots: n.control, Confirmation: n.control, Limiter: n.limits,
		Operations: ops, Throttle: retry.NewThrottle(rand.New(rand.NewPCG(n.incarnation, 1))), Sender: sender,
		Recorder: n.recorder, MaxBodyBytes: s.MaxRequestBodyBytes, BodyBudget: body.NewBudget(0),
		CallCounter: metric.NewCallCounter(metrics),
	})
	n.servers = []*server{
		newDrainServer("entry", newServer(n.entry, s.MaxHeaderBytes)),
		newDrainServer("peer", newServer(peerserver.New(peerserver.Config{
			Signer: signer, Gateway: g, Control: peerserver.NewControlHandler(n.controlAPI()),
			MaxBodyBytes: maxPeerMessageBytes, Logger: logging.WithPart(n.logger, "peer"), Metrics: metrics,
		}), s.MaxHeaderBytes)),
		newDrainServer("egress", newServer(egress.New(egress.Config{
			Node: s.NodeName, Clock: n.clock, Snapshots: n.control, Operations: ops, Sender: sender,
			InFlight: n.inFlight, Recorder: n.recorder, MaxBodyBytes: s.MaxRequestBodyBytes,
		}), s.MaxHeaderBytes)),
		newDrainServer(operatorServer, newServer(operator.Handler(n.status, n.recorder), s.MaxHeaderBytes)),
	}
}

func newServer(handler http.Handler, maxHeaderBytes int) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
	}
}

func (n *Node) listen() error {
	addresses := map[string]string{
		"entry": n.settings.EntryAddress, "peer": n.settings.PeerAddress,
		"egress": n.settings.EgressAddress, "operator": n.settings.OperatorAddress,
	}
	for _, srv := range n.servers {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addresses[srv.name])
		if err != nil {
			return Error.New("%sAddress: %v", srv.name, err)
		}
		srv.listener = n.trafficMeter.Listener(listener)
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, srv := range n.servers {
		if srv.listener != nil {
			_ = srv.listener.Close()
		}
	}
}

// Run serves until ctx ends and then shuts down without cutting a request.
// Once it listens it writes one line "listening" with the addresses to stdout.
func (n *Node) Run(ctx context.Context, stdout io.Writer) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.control.Run(background)
	go n.admission.Run(background)
	go n.suspects.Run(background)
	go n.limits.Run(background)
	go n.followSnapshots(background)
	go n.health.Run(background)
	failed := make(chan error, len(n.servers))
	line := "listening"
	for _, srv := range n.servers {
		line += " " + srv.name + "=" + srv.listener.Addr().String()
		go func() {
			if err := srv.drainServer.Serve(srv.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- Error.New("%s: %v", srv.name, err)
			}
		}()
	}
	_ = level.Info(n.logger).Log("part", "node", "msg", "node started", "incarnation", n.incarnation)
	if _, err := fmt.Fprintln(stdout, line); err != nil {
		return Error.Wrap(err)
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return n.shutdown()
	}
}

// followSnapshots applies the preset and the size of the service to the gate, the balancer and the retry budget.
func (n *Node) followSnapshots(ctx context.Context) {
	var applied *fleet.Snapshot
	periodic.Run(ctx, reconfigureInterval, func(context.Context) {
		if snapshot := n.control.Current(); snapshot != applied && snapshot.Complete() {
			n.applySnapshot(snapshot)
			applied = snapshot
		}
	})
}

func (n *Node) applySnapshot(snapshot *fleet.Snapshot) {
	p := snapshot.Presets.ActivePreset()
	svc, _ := snapshot.Service(n.settings.Service)
	n.admission.Update(gateway.ConfigUpdate(svc, p))
	n.applyPublishedVMState(snapshot)
	if n.settings.TargetConnections == 0 {
		n.target.SetMaxConnections(svc.ConnectionsPerTarget)
	}
	n.balancer.SetRoundRobin(p.Policy == preset.Off)
	n.retryBudget.Configure(p.RetryBudgetPercent, minRetriesPerSecond)
}
