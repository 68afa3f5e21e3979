package peers

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/memlimit"
	"coltsfootusher.example/coltsfootd/periodic"
	"coltsfootusher.example/coltsfootd/socket"
	"coltsfootusher.example/coltsfootd/upstream"
	"coltsfootusher.example/core/clock"
)

const (
	// dialTimeout is far above the round-trip time between two failure domains.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is the shortest time that TCP keepalive allows.
	ackTimeout  = time.Second
	idleTimeout = 20 * time.Second
	// defaultMaxIdle is the number of idle connections to a peer until the size of the fleet is known.
	defaultMaxIdle = 8
	// bufferBytes is the part of a response body that is buffered before the response is passed on.
	bufferBytes = 64 << 10
	// maxResponseHeaderBytes allows for the headers of a target's response and those that its node adds.
	maxResponseHeaderBytes = 96 << 10

	checkInterval = 100 * time.Millisecond
	// probeInterval is how often a node that is unreachable or leaving is probed, while few nodes are unreachable. With many the
	// interval grows, so that at most one probe is sent per probeSpacing.
	probeInterval = 200 * time.Millisecond
	probeSpacing  = 50 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// silenceBeforeProbe is the time without a byte from a node with calls in progress after which the node is probed.
	silenceBeforeProbe = 300 * time.Millisecond
	// suspectInterval is the shortest time between two rounds of probes to all nodes of a failure domain.
	suspectInterval = time.Second
)

// PingPath is the path that serves probes. The response is a Pong.
const PingPath = "/coltsfoot/ping"

// ErrUnresponsive is the cancellation cause of calls to a node that does not answer a probe.
var ErrUnresponsive = errors.New("the node does not answer probes")

// Pong identifies the node that answers a probe.
type Pong struct {
	Incarnation uint64 `json:"incarnation,string"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// Peer is another node.
type Peer struct {
	pool  *upstream.Pool
	table *Table

	mu sync.Mutex
	// unreachable is true from a failed connection attempt until a probe succeeds.
	unreachable bool
	// removed is true once the table has dropped the peer.
	removed bool
	// leaving is the incarnation that announced that it accepts no new work, or 0 if none did.
	leaving uint64
	probing bool
	// suspect is true if the peer must be probed although no call to it is in progress.
	suspect     bool
	lastAliveAt time.Time
	nextProbeAt time.Time
	// calls holds the calls in progress with the functions that cancel them, which are nil for calls that must not be cancelled.
	calls  map[uint64]activeCall
	lastID uint64
}

type activeCall struct {
	started time.Time
	cancel  context.CancelCauseFunc
}

// Config holds the settings and dependencies of a Table.
type Config struct {
	// LocalIP is the IP address from which connections are opened.
	LocalIP string
	Clock   clock.Clock
	Sockets *socket.Budget
	// Memory limits the buffers of responses, Headers their headers; nil means no limit.
	Memory  upstream.MemoryBudget
	Headers *memlimit.Budget
	Logger  log.Logger
}

// Table holds the peers by address.
type Table struct {
	Config
	// changedAt is the last time at which a peer became unreachable or reachable again.
	changedAt atomic.Int64
	// unreachableCount is the number of unreachable peers.
	unreachableCount atomic.Int64

	mu    sync.Mutex
	peers map[string]*Peer
	// domains holds the failure domains of the listed nodes by address, suspectedAt the time by failure domain at which all of
	// its nodes were last marked as suspect.
	domains     map[string]string
	suspectedAt map[string]time.Time
}

// New returns a table without peers.
func New(c Config) *Table {
	return &Table{Config: c, peers: make(map[string]*Peer), suspectedAt: make(map[string]time.Time)}
}

// ChangedAt returns the last time at which a peer became unreachable or reachable again, or 0 if none did.
func (t *Table) ChangedAt() clock.Millis {
	return clock.Millis(t.changedAt.Load())
}

// Get returns the peer at the address and adds it if it is missing.
func (t *Table) Get(address string) *Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	if p == nil {
		p = &Peer{table: t, calls: make(map[uint64]activeCall), pool: upstream.New(address, upstream.Settings{
			LocalIP: t.LocalIP, DialTimeout: dialTimeout, AckTimeout: ackTimeout, IdleTimeout: idleTimeout,
			MaxIdle: defaultMaxIdle, MaxResponseHeaderBytes: maxResponseHeaderBytes, BufferBytes: bufferBytes, Memory: t.Memory,
			Headers: t.Headers, Sockets: t.Sockets,
		})}
		t.peers[address] = p
	}
	return p
}

// Usable reports whether the node at the address may get new work.
func (t *Table) Usable(address string) bool {
	p := t.Get(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.unreachable && p.leaving == 0
}

// Reachable reports whether the node at the address answers, even if it is leaving.
func (t *Table) Reachable(address string) bool {
	p := t.Get(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.unreachable
}

// MarkLeaving records that the incarnation of the node at the address accepts no new work.
func (t *Table) MarkLeaving(address string, incarnation uint64) {
	p := t.Get(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving == incarnation {
		return
	}
	p.leaving = incarnation
	p.nextProbeAt = time.Now().Add(p.table.currentProbeInterval())
	_ = level.Info(t.Logger).Log("msg", "peer is leaving", "peer", address, "incarnation", incarnation)
}

// MarkPresent records that the incarnation of the node at the address has started and serves.
func (t *Table) MarkPresent(address string, incarnation uint64) {
	t.Get(address).markAlive(Pong{Incarnation: incarnation})
}

// SetListed sets the failure domains of the listed nodes by address, and drops the peers that are not listed and have no call in
// progress.
func (t *Table) SetListed(listed map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domains = listed
	maxIdle := t.Sockets.MaxIdlePerPeer(len(listed))
	for address, p := range t.peers {
		p.pool.SetMaxIdle(maxIdle)
		if _, ok := listed[address]; !ok && p.hasNoCalls() {
			p.remove()
			delete(t.peers, address)
		}
	}
}

// Run probes peers until ctx ends.
func (t *Table) Run(ctx context.Context) {
	periodic.Run(ctx, checkInterval, t.check)
}

func (t *Table) check(ctx context.Context) {
	now, nearlyExhausted := time.Now(), t.Sockets.NearlyExhausted()
	for _, p := range t.allPeers() {
		if nearlyExhausted {
			p.pool.CloseIdle()
		}
		p.pool.CloseExpired(now)
		if p.startProbeIfDue(now) {
			go p.probe(ctx)
		}
	}
}

func (t *Table) allPeers() []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]*Peer, 0, len(t.peers))
	for _, p := range t.peers {
		peers = append(peers, p)
	}
	return peers
}

// WithCalls returns the addresses of the peers to which this node has calls in progress.
func (t *Table) WithCalls() []string {
	var addresses []string
	for _, p := range t.allPeers() {
		if !p.hasNoCalls() {
			addresses = append(addresses, p.pool.Address())
		}
	}
	return addresses
}

// Publish exports the number of unreachable peers as a metric.
func (t *Table) Publish(metrics *expvar.Map) {
	metrics.Set("peersLost", expvar.Func(func() any { return t.UnreachableCount() }))
}

// UnreachableCount returns the number of peers that can't be reached.
func (t *Table) UnreachableCount() int {
	return int(t.unreachableCount.Load())
}

// setUnreachable sets whether the peer is unreachable. The caller must hold p.mu.
func (p *Peer) setUnreachable(unreachable bool) {
	if p.unreachable == unreachable {
		return
	}
	p.unreachable = unreachable
	switch {
	case p.removed:
	case unreachable:
		p.table.unreachableCount.Add(1)
	default:
		p.table.unreachableCount.Add(-1)
	}
}

// Do sends a request to the peer. If the node does not answer a probe meanwhile, a cancellable call ends with ErrUnresponsive as
// its cause.
func (p *Peer) Do(ctx context.Context, r *upstream.Request, cancellable bool) (*upstream.Response, error) {
	// A call that must not be cancelled needs no context of its own.
	cancel := func(error) {}
	if cancellable {
		ctx, cancel = context.WithCancelCause(ctx)
	}
	id := p.startCall(cancel, cancellable)
	response, err := p.pool.Do(ctx, r)
	p.endCall(id)
	if err == nil {
		response.OnClose(func() { cancel(nil) })
		return response, nil
	}
	if context.Cause(ctx) != nil {
		err = withCause(err, context.Cause(ctx))
	}
	cancel(nil)
	var requestErr *upstream.RequestError
	if errors.As(err, &requestErr) && requestErr.Unreachable {
		p.markUnreachable(requestErr.Err)
	}
	return nil, err
}

func withCause(err, cause error) error {
	var requestErr *upstream.RequestError
	if errors.As(err, &requestErr) {
		return &upstream.RequestError{Sent: requestErr.Sent, Reused: requestErr.Reused, Err: errors.Join(cause, requestErr.Err)}
	}
	return err
}

func (p *Peer) startCall(cancel context.CancelCauseFunc, cancellable bool) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	f := activeCall{started: time.Now()}
	if cancellable {
		f.cancel = cancel
	}
	p.calls[p.lastID] = f
	return p.lastID
}

func (p *Peer) endCall(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, id)
}

func (p *Peer) remove() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setUnreachable(false)
	p.removed = true
	p.pool.CloseIdle()
}

func (p *Peer) hasNoCalls() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls) == 0
}

// startProbeIfDue reports whether the peer must be probed now, and marks it as being probed if so.
func (p *Peer) startProbeIfDue(now time.Time) bool {
	lastHeard := p.pool.LastReadAt()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing {
		return false
	}
	due := false
	if p.unreachable || p.leaving != 0 {
		due = !now.Before(p.nextProbeAt)
	} else if p.suspect {
		due = true
	} else if oldest, found := p.oldestCall(); found {
		if lastHeard.Before(p.lastAliveAt) {
			lastHeard = p.lastAliveAt
		}
		if lastHeard.Before(oldest) {
			lastHeard = oldest
		}
		due = now.Sub(lastHeard) > silenceBeforeProbe
	}
	p.probing = due
	p.suspect = p.suspect && !due
	return due
}

func (p *Peer) oldestCall() (started time.Time, found bool) {
	for _, f := range p.calls {
		if !found || f.started.Before(started) {
			started, found = f.started, true
		}
	}
	return started, found
}

// probe pings the node on a new connection, because existing connections may hang while new ones work.
func (p *Peer) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	pool := upstream.New(p.pool.Address(), upstream.Settings{
		LocalIP: p.table.LocalIP, DialTimeout: dialTimeout, AckTimeout: ackTimeout, BufferBytes: bufferBytes,
		Sockets: p.table.Sockets,
	})
	response, err := pool.Do(ctx, &upstream.Request{Method: http.MethodGet, URI: PingPath, Host: p.pool.Address()})
	var pong Pong
	if err == nil {
		err = json.Unmarshal(response.Body, &pong)
		response.Close()
	}
	if err != nil {
		p.markUnreachable(err)
	} else {
		p.markAlive(pong)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = false
	p.nextProbeAt = time.Now().Add(p.table.currentProbeInterval())
}

// currentProbeInterval returns the time between two probes of an unreachable node.
func (t *Table) currentProbeInterval() time.Duration {
	return max(probeInterval, time.Duration(t.UnreachableCount())*probeSpacing)
}

// probeUnreachableSoon brings the probes of unreachable nodes forward after one of them has recovered: others may have been
// unreachable for the same reason.
func (t *Table) probeUnreachableSoon() {
	soon := time.Now().Add(probeInterval)
	for _, p := range t.allPeers() {
		p.mu.Lock()
		if p.unreachable && p.nextProbeAt.After(soon) {
			p.nextProbeAt = soon
		}
		p.mu.Unlock()
	}
}

func (p *Peer) markAlive(pong Pong) {
	if p.recordAlive(pong) {
		p.table.probeUnreachableSoon()
	}
}

// recordAlive records an answer of the node and reports whether it was unreachable before.
func (p *Peer) recordAlive(pong Pong) (wasUnreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAliveAt = time.Now()
	wasUnreachable = p.unreachable
	changed := wasUnreachable
	if p.unreachable {
		p.table.changedAt.Store(int64(p.table.Clock.Now()))
	}
	p.setUnreachable(false)
	switch {
	case pong.Leaving:
		changed = changed || p.leaving != pong.Incarnation
		p.leaving = pong.Incarnation
	case p.leaving != 0 && p.leaving != pong.Incarnation:
		changed = true
		p.leaving = 0
	}
	if changed {
		_ = level.Info(p.table.Logger).Log("msg", "peer answers", "peer", p.pool.Address(), "incarnation", pong.Incarnation,
			"leaving", p.leaving != 0)
	}
	return wasUnreachable
}

// isTimeout reports whether the node did not respond at all, as when its machine has no power or is behind a network partition.
func isTimeout(cause error) bool {
	return errors.Is(cause, os.ErrDeadlineExceeded) || errors.Is(cause, context.DeadlineExceeded)
}

// markUnreachable stops new work to the peer. If the peer did not respond at all, cancellable calls to it are cancelled.
func (p *Peer) markUnreachable(cause error) {
	if p.recordUnreachable(cause) {
		p.table.suspectDomain(p.pool.Address(), time.Now())
	}
}

// suspectDomain lets the other nodes of an unreachable node's failure domain be probed. A network partition cuts off many nodes
// at once, and those without a call in progress would count as reachable until one is made.
func (t *Table) suspectDomain(unreachableAddress string, now time.Time) {
	t.mu.Lock()
	domain, listed := t.domains[unreachableAddress]
	if !listed || now.Sub(t.suspectedAt[domain]) < suspectInterval {
		t.mu.Unlock()
		return
	}
	t.suspectedAt[domain] = now
	var addresses []string
	for address, other := range t.domains {
		if other == domain && address != unreachableAddress {
			addresses = append(addresses, address)
		}
	}
	t.mu.Unlock()
	for _, address := range addresses {
		p := t.Get(address)
		p.mu.Lock()
		p.suspect = true
		p.mu.Unlock()
	}
}

// recordUnreachable marks the peer as unreachable and reports whether it was reachable before.
func (p *Peer) recordUnreachable(cause error) (wasReachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasReachable = !p.unreachable
	if wasReachable {
		p.table.changedAt.Store(int64(p.table.Clock.Now()))
		p.nextProbeAt = time.Now().Add(p.table.currentProbeInterval())
		_ = level.Warn(p.table.Logger).Log("msg", "peer can't be reached", "peer", p.pool.Address(), "calls", len(p.calls),
			"err", cause)
	}
	p.setUnreachable(true)
	if !isTimeout(cause) {
		// A stopping node refuses new connections and still answers on existing ones. The connections of a crashed node break
		// anyway.
		return wasReachable
	}
	for _, f := range p.calls {
		if f.cancel != nil {
			f.cancel(ErrUnresponsive)
		}
	}
	return wasReachable
}
