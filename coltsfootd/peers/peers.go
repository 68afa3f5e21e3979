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
	// silenceLimit is the shortest time that TCP keepalive allows.
	silenceLimit = time.Second
	idleLimit    = 20 * time.Second
	// maxIdle is the number of idle connections to a peer until the size of the fleet is known.
	maxIdle = 8
	// bufferBytes is the part of a response that is read before it is passed on.
	bufferBytes = 64 << 10
	// maxHeadBytes has room for the head of a target's response and what its node adds.
	maxHeadBytes = 96 << 10

	checkInterval = 100 * time.Millisecond
	// probeInterval is how often a node that can't be reached, or leaves, is asked whether it is back, if only few are. With
	// many the interval grows so that no more than one question is sent in each probeSpacing.
	probeInterval = 200 * time.Millisecond
	probeSpacing  = 50 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// quietLimit is the time without a byte from a node that owes answers after which it is asked for a sign of life.
	quietLimit = 300 * time.Millisecond
	// suspectPause is the shortest time between two rounds of questions to all nodes of a domain.
	suspectPause = time.Second
)

// PingPath answers with a Pong.
const PingPath = "/coltsfoot/ping"

// ErrSilent is the cause with which calls to a node are cancelled that does not answer a probe.
var ErrSilent = errors.New("the node does not answer")

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
	// down is true from a failed connection until a probe succeeds.
	down bool
	// forgotten is true once the table has dropped the peer.
	forgotten bool
	// leaving is the incarnation that said it takes no new work; 0 if none did.
	leaving uint64
	probing bool
	// suspect is true if the peer is to be asked for a sign of life although it owes no answer.
	suspect bool
	aliveAt time.Time
	probeAt time.Time
	// calls are the calls under way, with the functions that cancel them; nil for those that must not be cancelled.
	calls  map[uint64]flight
	nextID uint64
}

type flight struct {
	started time.Time
	cancel  context.CancelCauseFunc
}

// Table holds the peers by address.
type Table struct {
	source  string
	clock   clock.Clock
	sockets *socket.Budget
	logger  log.Logger
	// changedAt is the last time at which a peer was lost or came back.
	changedAt atomic.Int64
	// lost is the number of peers that are down.
	lost atomic.Int64

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
		source: source, clock: c, sockets: sockets, logger: logger, peers: make(map[string]*Peer),
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
		p = &Peer{table: t, calls: make(map[uint64]flight), pool: upstream.New(address, upstream.Settings{
			Source: t.source, DialTimeout: dialTimeout, SilenceLimit: silenceLimit, IdleLimit: idleLimit,
			MaxIdle: maxIdle, MaxHeadBytes: maxHeadBytes, BufferBytes: bufferBytes, Sockets: t.sockets,
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
	return !p.down && p.leaving == 0
}

// Reachable reports whether the node at the address answers, even if it leaves.
func (t *Table) Reachable(address string) bool {
	p := t.Get(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.down
}

// Leaving records that the incarnation of the node at the address takes no new work.
func (t *Table) Leaving(address string, incarnation uint64) {
	p := t.Get(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving == incarnation {
		return
	}
	p.leaving = incarnation
	p.probeAt = time.Now().Add(p.table.probePause())
	_ = level.Info(t.logger).Log("msg", "peer is leaving", "peer", address, "incarnation", incarnation)
}

// Present records that the incarnation of the node at the address has started and serves.
func (t *Table) Present(address string, incarnation uint64) {
	t.Get(address).alive(Pong{Incarnation: incarnation})
}

// Keep takes the failure domains of the listed nodes by address, and forgets the peers that are not listed and have no call
// under way.
func (t *Table) Keep(listed map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domains = listed
	idle := t.sockets.IdlePerPeer(len(listed))
	for address, p := range t.peers {
		p.pool.SetMaxIdle(idle)
		if _, ok := listed[address]; !ok && p.idle() {
			p.forget()
			delete(t.peers, address)
		}
	}
}

// Run probes peers until ctx ends.
func (t *Table) Run(ctx context.Context) {
	periodic.Run(ctx, checkInterval, t.check)
}

func (t *Table) check(ctx context.Context) {
	now, short := time.Now(), t.sockets.Short()
	for _, p := range t.all() {
		if short {
			p.pool.CloseIdle()
		}
		p.pool.Expire(now)
		if p.needsProbe(now) {
			go p.probe(ctx)
		}
	}
}

func (t *Table) all() []*Peer {
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
	metrics.Set("peersLost", expvar.Func(func() any { return t.Lost() }))
}

// Lost returns the number of peers that can't be reached.
func (t *Table) Lost() int {
	return int(t.lost.Load())
}

// mark sets whether the peer is down; it must be called with the mutex held.
func (p *Peer) mark(down bool) {
	if p.down == down {
		return
	}
	p.down = down
	switch {
	case p.forgotten:
	case down:
		p.table.lost.Add(1)
	default:
		p.table.lost.Add(-1)
	}
}

// Do sends a request to the peer. A call that may be cancelled ends with ErrSilent as its cause when the node does not
// answer a probe.
func (p *Peer) Do(ctx context.Context, r *upstream.Request, cancellable bool) (*upstream.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	id := p.begin(cancel, cancellable)
	response, err := p.pool.Do(ctx, r)
	p.end(id)
	if err == nil {
		response.OnClose(func() { cancel(nil) })
		return response, nil
	}
	if context.Cause(ctx) != nil {
		err = withCause(err, context.Cause(ctx))
	}
	cancel(nil)
	var failure *upstream.Failure
	if errors.As(err, &failure) && failure.Unreachable {
		p.setDown(failure.Err)
	}
	return nil, err
}

func withCause(err, cause error) error {
	var failure *upstream.Failure
	if errors.As(err, &failure) {
		return &upstream.Failure{Sent: failure.Sent, Reused: failure.Reused, Err: errors.Join(cause, failure.Err)}
	}
	return err
}

func (p *Peer) begin(cancel context.CancelCauseFunc, cancellable bool) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	f := flight{started: time.Now()}
	if cancellable {
		f.cancel = cancel
	}
	p.calls[p.nextID] = f
	return p.nextID
}

func (p *Peer) end(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, id)
}

func (p *Peer) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mark(false)
	p.forgotten = true
	p.pool.CloseIdle()
}

func (p *Peer) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls) == 0
}

// needsProbe reports whether the peer is to be asked for a sign of life, and marks it as asked.
func (p *Peer) needsProbe(now time.Time) bool {
	heard := p.pool.HeardAt()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing {
		return false
	}
	due := false
	if p.down || p.leaving != 0 {
		due = !now.Before(p.probeAt)
	} else if p.suspect {
		due = true
	} else if oldest, any := p.oldest(); any {
		if heard.Before(p.aliveAt) {
			heard = p.aliveAt
		}
		if heard.Before(oldest) {
			heard = oldest
		}
		due = now.Sub(heard) > quietLimit
	}
	p.probing = due
	p.suspect = p.suspect && !due
	return due
}

func (p *Peer) oldest() (started time.Time, any bool) {
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
		Source: p.table.source, DialTimeout: dialTimeout, SilenceLimit: silenceLimit, BufferBytes: bufferBytes,
		Sockets: p.table.sockets,
	})
	response, err := fresh.Do(ctx, &upstream.Request{Method: http.MethodGet, URI: PingPath, Host: p.pool.Address()})
	var pong Pong
	if err == nil {
		err = json.Unmarshal(response.Body, &pong)
		response.Close()
	}
	if err != nil {
		p.setDown(err)
	} else {
		p.alive(pong)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = false
	p.probeAt = time.Now().Add(p.table.probePause())
}

// probePause returns the time between two questions to a node that is lost.
func (t *Table) probePause() time.Duration {
	return max(probeInterval, time.Duration(t.Lost())*probeSpacing)
}

// hurry lets the lost nodes be asked soon: one of them is back, and others may have been lost for the same reason.
func (t *Table) hurry() {
	soon := time.Now().Add(probeInterval)
	for _, p := range t.all() {
		p.mu.Lock()
		if p.down && p.probeAt.After(soon) {
			p.probeAt = soon
		}
		p.mu.Unlock()
	}
}

func (p *Peer) alive(pong Pong) {
	if p.noteAlive(pong) {
		p.table.hurry()
	}
}

// noteAlive takes the node's word that it is there and reports whether it was lost before.
func (p *Peer) noteAlive(pong Pong) (wasLost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aliveAt = time.Now()
	wasLost = p.down
	changed := wasLost
	if p.down {
		p.table.changedAt.Store(int64(p.table.clock.Now()))
	}
	p.mark(false)
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

// silent reports whether nothing came back, as from a machine without power or behind a partition.
func silent(cause error) bool {
	return errors.Is(cause, os.ErrDeadlineExceeded) || errors.Is(cause, context.DeadlineExceeded)
}

// setDown takes the peer out of the choice. If it is silent, the calls that may be sent elsewhere end.
func (p *Peer) setDown(cause error) {
	if p.noteDown(cause) {
		p.table.suspectDomain(p.pool.Address(), time.Now())
	}
}

// suspectDomain lets all nodes of the domain of a lost one be asked for a sign of life. A cut takes many nodes at once, and
// those to which no call is under way would count as reached for as long as none is made.
func (t *Table) suspectDomain(lost string, now time.Time) {
	t.mu.Lock()
	domain, listed := t.domains[lost]
	if !listed || now.Sub(t.suspectedAt[domain]) < suspectPause {
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

// noteDown takes the peer out of the choice and reports whether it was in it.
func (p *Peer) noteDown(cause error) (wasUp bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasUp = !p.down
	if wasUp {
		p.table.changedAt.Store(int64(p.table.clock.Now()))
		p.probeAt = time.Now().Add(p.table.probePause())
		_ = level.Warn(p.table.logger).Log("msg", "peer can't be reached", "peer", p.pool.Address(), "calls", len(p.calls),
			"err", cause)
	}
	p.mark(true)
	if !silent(cause) {
		// A node that stops refuses new connections and still answers on the old ones; those of one that died break.
		return wasUp
	}
	for _, f := range p.calls {
		if f.cancel != nil {
			f.cancel(ErrSilent)
		}
	}
	return wasUp
}
