package mesh

import (
	"context"
	"errors"
	"expvar"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/zeebo/errs"

	"coltsfootusher.example/coltsfootd/body"
	"coltsfootusher.example/coltsfootd/boottime"
	"coltsfootusher.example/coltsfootd/connlimit"
	"coltsfootusher.example/coltsfootd/crash"
	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/drain"
	"coltsfootusher.example/coltsfootd/forward"
	"coltsfootusher.example/coltsfootd/gateway"
	"coltsfootusher.example/coltsfootd/localtarget"
	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/coltsfootd/memlimit"
	"coltsfootusher.example/coltsfootd/meshsetting"
	"coltsfootusher.example/coltsfootd/metric"
	"coltsfootusher.example/coltsfootd/passage"
	"coltsfootusher.example/coltsfootd/peers"
	"coltsfootusher.example/coltsfootd/periodic"
	"coltsfootusher.example/coltsfootd/quotas"
	"coltsfootusher.example/coltsfootd/socket"
	"coltsfootusher.example/coltsfootd/upstream"
	"coltsfootusher.example/core/balance"
	"coltsfootusher.example/core/bottleneck"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/intake"
	"coltsfootusher.example/core/split"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/core/workcost"
)

// Error is the class of errors that prevent a node from starting or make it exit.
var Error = errs.Class("mesh")

const (
	maxRecentDecisions = 2048
	readHeaderTimeout  = 10 * time.Second
	idleTimeout        = 90 * time.Second
	// leaseMarginMs is the time reserved between the check of a key and the start of the request at a target.
	leaseMarginMs       clock.Millis = 400
	reconfigureInterval              = 100 * time.Millisecond
	retryWindowSeconds               = 10

	targetDialTimeout = time.Second
	targetAckTimeout  = 2 * time.Second
	// targetIdleTimeout is shorter than the idle timeout of common servers.
	targetIdleTimeout = 6 * time.Second
	targetBufferBytes = 64 << 10
)

// Dialect reads and writes the headers of callers and targets.
type Dialect interface {
	forward.Dialect
	localtarget.Dialect
	localtarget.HealthDialect
}

// Node is one coltsfootd process with its listeners and its local target.
type Node struct {
	settings    meshsetting.Settings
	logger      log.Logger
	clock       clock.Clock
	incarnation uint64
	leaving     atomic.Bool

	sockets     *socket.Budget
	bodies      *body.Budget
	peers       *peers.Table
	directory   *directory.Directory
	crashGuard  *crash.Guard
	limiter     *quotas.Limiter
	admission   *gateway.Admission
	costs       *workcost.Estimator
	placement   *forward.Placement
	runner      *localtarget.Runner
	handler     *forward.Handler
	recorder    *decision.Recorder
	latency     *metric.Latency
	retryBudget *forward.ServiceRetryBudget
	targetPool  *upstream.Pool
	health      *localtarget.HealthProber
	clients     *connlimit.Limiter
	// responseBodies and responseHeaders bound the memory of responses, messages that of messages of other nodes.
	responseBodies            *body.Budget
	responseHeaders, messages *memlimit.Budget
	// shortage is nil if the settings don't ask for it.
	shortage *bottleneck.Throttle

	entryServer, peerServer *server
	plainServers            []*http.Server
	listeners               map[string]net.Listener
}

// server is a listener whose active requests are completed before the node stops.
type server struct {
	*drain.Server
	name     string
	listener net.Listener
}

// New builds a node and opens its listeners. Counters are published in metrics; log lines are written to logs.
func New(
	s meshsetting.Settings, source directory.Platform, dialect Dialect, metrics *expvar.Map, logs io.Writer,
) (*Node, error) {
	n := &Node{
		settings: s, clock: boottime.New(), incarnation: rand.Uint64() | 1,
		logger: logging.New(logs, s.LogFormat, s.LogLevel, s.NodeName),
	}
	logging.RedirectStandardLogger(n.logger)
	n.latency = metric.NewLatency(metrics)
	n.recorder = decision.New(s.NodeName, n.logger, metrics, maxRecentDecisions, s.LogLinesPerSecond)
	n.sockets = socket.NewBudget(s.MaxFiles)
	n.sockets.Publish(metrics)
	n.newMemoryBudgets()
	n.peers = peers.New(peers.Config{
		LocalIP: s.PeerAddrPort().Addr().String(), Clock: n.clock, Sockets: n.sockets, Memory: n.responseBodies,
		Headers: n.responseHeaders, Logger: logging.WithPart(n.logger, "peers"),
	})
	n.peers.Publish(metrics)
	n.targetPool = upstream.New(s.TargetAddress, upstream.Settings{
		DialTimeout: targetDialTimeout, AckTimeout: targetAckTimeout, IdleTimeout: targetIdleTimeout,
		MaxIdle: n.sockets.MaxIdleToTarget(), EchoHeader: dialect.EchoHeader(), BufferBytes: targetBufferBytes,
		Memory: n.responseBodies, Headers: n.responseHeaders, Sockets: n.sockets,
	})
	n.health = localtarget.NewHealthProber(s.Service, dialect, n.targetPool)
	if err := n.buildDirectory(source); err != nil {
		return nil, err
	}
	n.limiter = quotas.New(quotas.Config{
		Address: s.PeerAddress, Clock: n.clock, Values: n.directory, Peers: n.peers, Logger: logging.WithPart(n.logger, "quota"),
	})
	n.buildRequestPath(dialect)
	n.clients = connlimit.New(connlimit.Config{
		Clock: n.clock, StallMs: s.ResponseStallSeconds.Millis(), Logger: logging.WithPart(n.logger, "clients"),
	})
	n.clients.Watch("messages", n.messages)
	n.clients.Watch("responseHeaders", n.responseHeaders)
	n.publish(metrics)
	n.warnOfMemory()
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

func (n *Node) buildDirectory(source directory.Platform) error {
	s := n.settings
	evacuations, err := evacuationPlatform(s, source)
	if err != nil {
		return err
	}
	n.directory = directory.New(directory.Config{
		Address: s.PeerAddress, TargetAddress: s.TargetAddress, Target: n.health, FailureDomain: s.FailureDomain,
		Incarnation: n.incarnation,
		LeaseMs:     s.KeyLeaseSeconds.Millis() - leaseMarginMs, Clock: n.clock, Platform: source, Peers: n.peers,
		Evacuations: evacuations, EvacuationMs: s.EvacuationSeconds.Millis(), OnReturned: func() { n.runner.TargetReturned() },
		OnLeave: func(incarnation uint64, answersForMs clock.Millis) {
			n.runner.LimitSender(incarnation, n.clock.Now()+answersForMs)
		},
		Logger: logging.WithPart(n.logger, "directory"),
	})
	return nil
}

// publish exports the metrics of the parts that are built from others.
func (n *Node) publish(metrics *expvar.Map) {
	n.directory.Publish(metrics)
	n.runner.Publish(metrics, n.ownTargetID)
	n.handler.Sender.Publish(metrics)
	n.placement.Publish(metrics)
	metrics.Set("targetCost", expvar.Func(n.targetCost))
	n.clients.Publish(metrics)
	n.bodies.Publish(metrics, "bodyBytes")
	n.responseBodies.Publish(metrics, "responseBytes")
	metrics.Set("responseHeaderBytes", expvar.Func(func() any { return n.responseHeaders.Used() }))
	metrics.Set("responseHeadersDropped", expvar.Func(func() any { return n.responseHeaders.Evicted() }))
	metrics.Set("memoryLimits", expvar.Func(n.memoryByTerm))
	metrics.Set("messageBytes", expvar.Func(func() any { return n.messages.Used() }))
	metrics.Set("messagesRefused", expvar.Func(func() any { return n.messages.Evicted() }))
	n.publishShortage(metrics)
}

func (n *Node) buildRequestPath(dialect Dialect) {
	s := n.settings
	n.crashGuard = crash.New(crash.Config{
		TargetAddress: s.TargetAddress, StopPlanned: n.targetLeaving, SendNotice: n.sendCrashNotice,
		Logger: logging.WithPart(n.logger, "crash"),
	})
	n.admission = gateway.NewAdmission(gateway.NewGate(n.incarnation, n.clock.Now()), n.clock)
	n.estimateCosts()
	n.placement = forward.NewPlacement(s.CostPlacement, logging.WithPart(n.logger, "passage"))
	n.health.Attach(n.directory, n.chargeRate)
	n.setSlots(initialSlots)
	n.runner = localtarget.New(localtarget.Config{
		Clock: n.clock, Dialect: dialect, Views: n.directory,
		Admission: n.admission, Pool: n.targetPool, Recorder: n.recorder, Sockets: n.sockets,
		Bodies: n.bodies, CrashGuard: n.crashGuard, Health: n.health,
		FailureDomain: s.FailureDomain,
		Logger:        logging.WithPart(n.logger, "target"),
	})
	n.retryBudget = forward.NewServiceRetryBudget(s.RetryShare, s.RetrySlack/retryWindowSeconds)
	admission := forward.Admission{
		Clock: n.clock, Sockets: n.sockets, Limiter: n.limiter,
		Throttle: intake.New(rand.New(rand.NewPCG(n.incarnation, 1))),
	}
	if s.ShortageThrottle {
		n.shortage = bottleneck.NewThrottle()
		admission.Shortage = n.shortage
	}
	n.handler = forward.New(forward.Config{
		Service: s.Service, StaleAfterMs: s.ConfigSeconds.Millis(), Clock: n.clock, Dialect: dialect, Values: n.directory,
		Admission: admission,
		Splitter:  split.New(rand.New(rand.NewPCG(n.incarnation, 2))), Recorder: n.recorder, InnerCalls: n.runner, Latency: n.latency,
		Bodies: n.bodies,
		Sender: forward.NewSender(forward.SenderConfig{
			Address: s.PeerAddress, Incarnation: n.incarnation, FailureDomain: s.FailureDomain, Clock: n.clock, Values: n.directory,
			Peers: n.peers, LocalRunner: n.runner,
			Balancer:    passage.NewLockedBalancer(n.incarnation, balance.DefaultConfig(s.FailureDomain)),
			Placement:   n.placement,
			RetryBudget: n.retryBudget,
			Recorder:    n.recorder, Random: rand.New(rand.NewPCG(n.incarnation, 3)),
			Logger: logging.WithPart(n.logger, "passage"),
		}),
	})
}

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+directory.SyncPath, n.directory.ServeSync)
	mux.HandleFunc("POST "+directory.LeavePath, n.directory.ServeLeave)
	mux.HandleFunc("POST "+quotas.DrawPath, n.limiter.ServeDraw)
	mux.HandleFunc("POST "+crash.NoticePath, n.crashGuard.ServeNotice)
	mux.HandleFunc("GET "+peers.PingPath, n.servePing)
	messages := limitMessages(mux, n.messages)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isDispatch(r) {
			n.runner.ServeHTTP(w, r)
			return
		}
		messages.ServeHTTP(w, r)
	})
}

func (n *Node) listen() error {
	s := n.settings
	operatorAddress := netip.AddrPortFrom(s.PeerAddrPort().Addr(), s.OperatorPort).String()
	n.listeners = make(map[string]net.Listener)
	for name, address := range map[string]string{
		entryListener: s.EntryAddress, peerListener: s.PeerListen(), readinessListener: s.ReadinessAddress,
		operatorListener: operatorAddress,
	} {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			return Error.New("%s address: %v", name, err)
		}
		n.listeners[name] = n.limitClients(name, listener)
	}
	n.entryServer = n.newServer(entryListener, n.handler)
	n.peerServer = n.newServer(peerListener, n.peerHandler())
	n.plainServers = []*http.Server{newPlainServer(http.HandlerFunc(n.serveReadiness)), newPlainServer(n.operatorHandler())}
	return nil
}

func (n *Node) closeListeners() {
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
}

// newServer returns the server of the listener with the name.
func (n *Node) newServer(name string, handler http.Handler) *server {
	l := n.listeners[name]
	return &server{name: name, listener: l, Server: drain.New(&http.Server{
		Handler: limitRequests(handler, l), MaxHeaderBytes: largestHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: idleTimeout,
	}, drain.Refusal(map[string]string{"Coltsfoot-Reason": "leaving"}), n.sockets)}
}

// Run serves until ctx ends, and then stops after all accepted requests are completed.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, run := range []func(context.Context){
		n.directory.Run, n.peers.Run, n.limiter.Run, n.admission.Run, n.applyUpdates, n.clients.Run,
	} {
		go run(background)
	}
	failed := make(chan error, len(n.listeners))
	serve := func(name string, run func(net.Listener) error) {
		go func() {
			if err := run(n.listeners[name]); !errors.Is(err, http.ErrServerClosed) {
				failed <- Error.New("%s: %v", name, err)
			}
		}()
	}
	serve(entryListener, n.entryServer.Serve)
	serve(peerListener, n.peerServer.Serve)
	serve(readinessListener, n.plainServers[0].Serve)
	serve(operatorListener, n.plainServers[1].Serve)
	_ = level.Info(n.logger).Log("part", "node", "msg", "node started", "incarnation", strconv.FormatUint(n.incarnation, 10),
		"service", n.settings.Service, "domain", n.settings.FailureDomain)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return n.stop()
	}
}

// applyUpdates applies the published values whenever they change, and announces the node to its peers once it is ready.
func (n *Node) applyUpdates(ctx context.Context) {
	var applied *directory.View
	announced := false
	periodic.Run(ctx, reconfigureInterval, func(context.Context) {
		n.logShortage()
		v := n.directory.View()
		if v == nil {
			return
		}
		if v != applied {
			applied = v
			n.applyView(v)
		}
		n.runner.AdvanceWarmup()
		if !announced && n.ready() {
			announced = true
			_ = level.Info(n.logger).Log("part", "node", "msg", "node is ready", "policy", v.PolicyVersion)
			n.directory.AnnouncePresence()
		}
	})
}

// applyView sets this node's share of the fleet's retry budget, and the number of slots that the local target publishes.
func (n *Node) applyView(v *directory.View) {
	n.retryBudget.SetFleetSize(len(v.VMs.VMs))
	n.handler.Sender.DropUnlistedStatuses(v)
	n.handler.Sender.ApplyColdTargets(v)
	n.runner.RefuseWaiting()
	own, ok := n.ownTarget(v)
	if ok {
		n.setSlots(own.Slots)
	}
	published, _ := v.Service(n.settings.Service)
	n.runner.ApplyView(published, own)
}

// ownTarget returns the local target's entry in the target list.
func (n *Node) ownTarget(v *directory.View) (vm.VM, bool) {
	i := slices.IndexFunc(v.VMs.VMs, func(other vm.VM) bool { return other.TargetAddress == n.settings.TargetAddress })
	if i < 0 {
		return vm.VM{}, false
	}
	return v.VMs.VMs[i], true
}

// ownTargetID returns the id of the local target, or "" if the target list does not contain it.
func (n *Node) ownTargetID() string {
	v := n.directory.View()
	if v == nil {
		return ""
	}
	own, _ := n.ownTarget(v)
	return own.Name
}

// setSlots sets the maximum number of requests that run at the local target at the same time.
func (n *Node) setSlots(slots int) {
	n.admission.Update(func(g *gate.Gate, now clock.Millis) []gate.Decision {
		return g.Configure(gateConfig(slots, n.sockets.MaxQueued()), now)
	})
}

// chargeRate counts a request to the local target that does not pass through the gate.
func (n *Node) chargeRate() {
	n.admission.Update(func(g *gate.Gate, now clock.Millis) []gate.Decision {
		g.ChargeRate(now)
		return nil
	})
}

// ready reports whether callers should use this node: its policy is confirmed, the node is not leaving, and it reaches a
// target of every service.
func (n *Node) ready() bool {
	v := n.directory.View()
	return v != nil && n.directory.Fresh() && !n.leaving.Load() && !n.isolated(v)
}

// isolated reports whether this node reaches none of the live targets of some service that may be used. Callers and the local
// target's calls then do better at other nodes.
func (n *Node) isolated(v *directory.View) bool {
	reached := make(map[string]bool)
	for _, other := range v.VMs.VMs {
		if other.State != vm.Live || v.IsEvacuated(other.FailureDomain) {
			continue
		}
		reached[other.Service] = reached[other.Service] || other.PeerAddress == n.settings.PeerAddress ||
			n.peers.Reachable(other.PeerAddress)
	}
	for _, ok := range reached {
		if !ok {
			return true
		}
	}
	return false
}
