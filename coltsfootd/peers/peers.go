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

	"coltsfootusher.example/coltsfootd/periodic"
	"coltsfootusher.example/coltsfootd/socket"
	"coltsfootusher.example/coltsfootd/upstream"
	"coltsfootusher.example/core/clock"
)

const (
	// dialTimeout is far above the distance between two failure domains.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is the shortest time that TCP keepalive allows.
	ackTimeout  = time.Second
	idleTimeout = 20 * time.Second
	// defaultMaxIdle is the number of idle connections to a peer until the size of the fleet is known.
	defaultMaxIdle = 8
	// bufferBytes is the part of a response that is read before it is passed on.
	bufferBytes = 64 << 10
	// maxResponseHeaderBytes has room for the head of a target's response and what its node adds.
	maxResponseHeaderBytes = 96 << 10

	checkInterval = 100 * time.Millisecond
	// probeInterval is how often a node that can't be reached, or leaves, is asked whether it is back, if only few are. With
	// many the interval grows so that no more than one question is sent in each probeSpacing.
	probeInterval = 200 * time.Millisecond
	probeSpacing  = 50 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// silenceBeforeProbe is the time without a byte from a node that owes answers after which it is asked for a sign of life.
	silenceBeforeProbe = 300 * time.Millisecond
	// suspectInterval is the shortest time between two rounds of questions to all nodes of a domain.
	suspectInterval = time.Second
)

// PingPath answers with a Pong.
const PingPath = "/coltsfoot/ping"

// ErrUnresponsive is the cause with which calls to a node are cancelled that does not answer a probe.
var ErrUnresponsive = errors.New("the node does not answer")

// Pong says who answers.
type Pong struct {
	Incarnation uint64 `json:"incarnation,string"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// Peer is another node.
type Peer struct {
	pool  *upstream.Pool
	table *Table

	mu sync.Mutex
	// unreachable is true from a failed connection until a probe succeeds.
	unreachable bool
	// removed is true once the table has dropped the peer.
	removed bool
	// leaving is the incarnation that said it takes no new work; 0 if none did.
	leaving uint64
	probing bool
	// suspect is true if the peer is to be asked for a sign of life although it owes no answer.
	suspect     bool
	lastAliveAt time.Time
	nextProbeAt time.Time
	// calls are the calls under way, with the functions that cancel them; nil for those that must not be cancelled.
	calls  map[uint64]activeCall
	nextID uint64
}

type activeCall struct {
	started time.Time
	cancel  context.CancelCauseFunc
}

// Table holds the peers by address.
type Table struct {
	localIP string
	clock   clock.Clock
	sockets *socket.Budget
	logger  log.Logger
	// changedAt is the last time at which a peer was lost or came back.
	changedAt atomic.Int64
	// unreachableCount is the number of peers that are down.
	unreachableCount atomic.Int64

	mu    sync.Mutex
	peers map[string]*Peer
	// domains are the failure domains of the listed nodes by address, suspectedAt the last times at which a loss made all
	// nodes of a domain suspect.
	domains     map[string]string
	suspectedAt map[string]time.Time
}

// New returns a table of a node that connects from the IP address source.
func New(source string, c clock.Clock, sockets *socket.Budget, logger log.Logger) *Table {
	return &Table{
		localIP: source, clock: c, sockets: sockets, logger: logger, peers: make(map[string]*Peer),
		suspectedAt: make(map[string]time.Time),
	}
}

// ChangedAt returns the last time at which a peer was lost or came back; 0 if none ever was.
func (t *Table) ChangedAt() clock.Millis {
	return clock.Millis(t.changedAt.Load())
}

// Get returns the peer at the address.
func (t *Table) Get(address string) *Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	if p == nil {
		p = &Peer{table: t, calls: make(map[uint64]activeCall), pool: upstream.New(address, upstream.Settings{
			LocalIP: t.localIP, DialTimeout: dialTimeout, AckTimeout: ackTimeout, IdleTimeout: idleTimeout,
			MaxIdle: defaultMaxIdle, MaxResponseHeaderBytes: maxResponseHeaderBytes, BufferBytes: bufferBytes, Sockets: t.sockets,
		})}
		t.peers[address] = p
	}
	return p
}

// Usable reports whether the node at the address gets new work.
func (t *Table) Usable(address string) bool {
	p := t.Get(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.unreachable && p.leaving == 0
}

// Reachable reports whether the node at the address answers, even if it leaves.
func (t *Table) Reachable(address string) bool {
	p := t.Get(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.unreachable
}

// MarkLeaving records that the incarnation of the node at the address takes no new work.
func (t *Table) MarkLeaving(address string, incarnation uint64) {
	p := t.Get(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving == incarnation {
		return
	}
	p.leaving = incarnation
	p.nextProbeAt = time.Now().Add(p.table.currentProbeInterval())
	_ = level.Info(t.logger).Log("msg", "peer is leaving", "peer", address, "incarnation", incarnation)
}

// MarkPresent records that the incarnation of the node at the address has started and serves.
func (t *Table) MarkPresent(address string, incarnation uint64) {
	t.Get(address).markAlive(Pong{Incarnation: incarnation})
}

// SetListed takes the failure domains of the listed nodes by address, and forgets the peers that are not listed and have no call
// under way.
func (t *Table) SetListed(listed map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domains = listed
	idle := t.sockets.MaxIdlePerPeer(len(listed))
	for address, p := range t.peers {
		p.pool.SetMaxIdle(idle)
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
	now, short := time.Now(), t.sockets.NearlyExhausted()
	for _, p := range t.allPeers() {
		if short {
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
	all := make([]*Peer, 0, len(t.peers))
	for _, p := range t.peers {
		all = append(all, p)
	}
	return all
}

// Publish makes the number of lost peers visible among the metrics.
func (t *Table) Publish(metrics *expvar.Map) {
	metrics.Set("peersLost", expvar.Func(func() any { return t.UnreachableCount() }))
}

// UnreachableCount returns the number of peers that can't be reached.
func (t *Table) UnreachableCount() int {
	return int(t.unreachableCount.Load())
}

// setUnreachable sets whether the peer is down; it must be called with the mutex held.
func (p *Peer) setUnreachable(down bool) {
	if p.unreachable == down {
		return
	}
	p.unreachable = down
	switch {
	case p.removed:
	case down:
		p.table.unreachableCount.Add(1)
	default:
		p.table.unreachableCount.Add(-1)
	}
}

// Do sends a request to the peer. A call that may be cancelled ends with ErrSilent as its cause when the node does not
// answer a probe.
func (p *Peer) Do(ctx context.Context, r *upstream.Request, cancellable bool) (*upstream.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
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
	var failure *upstream.RequestError
	if errors.As(err, &failure) && failure.Unreachable {
		p.markUnreachable(failure.Err)
	}
	return nil, err
}

func withCause(err, cause error) error {
	var failure *upstream.RequestError
	if errors.As(err, &failure) {
		return &upstream.RequestError{Sent: failure.Sent, Reused: failure.Reused, Err: errors.Join(cause, failure.Err)}
	}
	return err
}

func (p *Peer) startCall(cancel context.CancelCauseFunc, cancellable bool) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	f := activeCall{started: time.Now()}
	if cancellable {
		f.cancel = cancel
	}
	p.calls[p.nextID] = f
	return p.nextID
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

// startProbeIfDue reports whether the peer is to be asked for a sign of life, and marks it as asked.
func (p *Peer) startProbeIfDue(now time.Time) bool {
	heard := p.pool.LastReadAt()
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
	} else if oldest, any := p.oldestCall(); any {
		if heard.Before(p.lastAliveAt) {
			heard = p.lastAliveAt
		}
		if heard.Before(oldest) {
			heard = oldest
		}
		due = now.Sub(heard) > silenceBeforeProbe
	}
	p.probing = due
	p.suspect = p.suspect && !due
	return due
}

func (p *Peer) oldestCall() (started time.Time, any bool) {
	for _, f := range p.calls {
		if !any || f.started.Before(started) {
			started, any = f.started, true
		}
	}
	return started, any
}

// probe asks on a new connection, since the old ones may be silent while new ones work.
func (p *Peer) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	fresh := upstream.New(p.pool.Address(), upstream.Settings{
		LocalIP: p.table.localIP, DialTimeout: dialTimeout, AckTimeout: ackTimeout, BufferBytes: bufferBytes,
		Sockets: p.table.sockets,
	})
	response, err := fresh.Do(ctx, &upstream.Request{Method: http.MethodGet, URI: PingPath, Host: p.pool.Address()})
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

// currentProbeInterval returns the time between two questions to a node that is lost.
func (t *Table) currentProbeInterval() time.Duration {
	return max(probeInterval, time.Duration(t.UnreachableCount())*probeSpacing)
}

// probeUnreachableSoon lets the lost nodes be asked soon: one of them is back, and others may have been lost for the same reason.
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

// recordAlive takes the node's word that it is there and reports whether it was lost before.
func (p *Peer) recordAlive(pong Pong) (wasLost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAliveAt = time.Now()
	wasLost = p.unreachable
	changed := wasLost
	if p.unreachable {
		p.table.changedAt.Store(int64(p.table.clock.Now()))
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
		_ = level.Info(p.table.logger).Log("msg", "peer answers", "peer", p.pool.Address(), "incarnation", pong.Incarnation,
			"leaving", p.leaving != 0)
	}
	return wasLost
}

// isTimeout reports whether nothing came back, as from a machine without power or behind a partition.
func isTimeout(cause error) bool {
	return errors.Is(cause, os.ErrDeadlineExceeded) || errors.Is(cause, context.DeadlineExceeded)
}

// markUnreachable takes the peer out of the choice. If it is silent, the calls that may be sent elsewhere end.
func (p *Peer) markUnreachable(cause error) {
	if p.recordUnreachable(cause) {
		p.table.suspectDomain(p.pool.Address(), time.Now())
	}
}

// suspectDomain lets all nodes of the domain of a lost one be asked for a sign of life. A cut takes many nodes at once, and
// those to which no call is under way would count as reached for as long as none is made.
func (t *Table) suspectDomain(lost string, now time.Time) {
	t.mu.Lock()
	domain, listed := t.domains[lost]
	if !listed || now.Sub(t.suspectedAt[domain]) < suspectInterval {
		t.mu.Unlock()
		return
	}
	t.suspectedAt[domain] = now
	var addresses []string
	for address, other := range t.domains {
		if other == domain && address != lost {
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

// recordUnreachable takes the peer out of the choice and reports whether it was in it.
func (p *Peer) recordUnreachable(cause error) (wasUp bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasUp = !p.unreachable
	if wasUp {
		p.table.changedAt.Store(int64(p.table.clock.Now()))
		p.nextProbeAt = time.Now().Add(p.table.currentProbeInterval())
		_ = level.Warn(p.table.logger).Log("msg", "peer can't be reached", "peer", p.pool.Address(), "calls", len(p.calls),
			"err", cause)
	}
	p.setUnreachable(true)
	if !isTimeout(cause) {
		// A node that stops refuses new connections and still answers on the old ones; those of one that died break.
		return wasUp
	}
	for _, f := range p.calls {
		if f.cancel != nil {
			f.cancel(ErrUnresponsive)
		}
	}
	return wasUp
}
