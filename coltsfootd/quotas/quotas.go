package quotas

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/periodic"
	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/quota"
)

const (
	// minRetryAfterMs and maxRetryAfterMs bound the advice when to return.
	minRetryAfterMs   clock.Millis = 50
	maxRetryAfterMs   clock.Millis = 2000
	idleCheckInterval              = 10 * time.Second
)

// DrawPath serves draws of tokens by other nodes.
const DrawPath = "/coltsfoot/draw"

// Values yields the published values in force.
type Values interface {
	View() *directory.View
}

// Peers are the other nodes.
type Peers interface {
	Reachable(address string) bool
	// UnreachableCount returns the number of nodes that can't be reached, ChangedAt the last time at which one was lost or came back.
	UnreachableCount() int
	ChangedAt() clock.Millis
	Call(ctx context.Context, address, path string, timeout time.Duration, message, reply any) error
}

// Config are the settings and dependencies of a Limiter.
type Config struct {
	Address string
	Clock   clock.Clock
	Values  Values
	Peers   Peers
	Logger  log.Logger
}

// Limiter holds the tokens that this node has drawn, and the buckets that it owns.
//
// One node owns the bucket of an account, chosen by rendezvous hashing among the nodes that can be reached. Nodes that are
// cut off from each other choose different owners; each of these grants the parts of the nodes that it reaches.
type Limiter struct {
	Config
	startedAt clock.Millis

	mu     sync.Mutex
	caches map[cacheKey]*tokenCache

	ownedBuckets ownedBuckets
}

// cacheKey names the tokens for the lookups or the operations of an account.
type cacheKey struct {
	account string
	urgent  bool
}

// tokenCache is the tokens of one account with the requests that wait for more.
type tokenCache struct {
	quota.TokenCache
	waiters []chan admission
	drawing bool
}

type admission struct {
	ok           bool
	retryAfterMs clock.Millis
}

// New returns a limiter without tokens.
func New(c Config) *Limiter {
	return &Limiter{
		Config: c, startedAt: c.Clock.Now(), caches: make(map[cacheKey]*tokenCache),
		ownedBuckets: ownedBuckets{OwnedBuckets: quota.NewOwnedBuckets()},
	}
}

// Run forgets accounts without demand until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	periodic.Run(ctx, idleCheckInterval, l.forgetIdle)
}

func (l *Limiter) forgetIdle(context.Context) {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.caches {
		if !s.drawing && s.Idle(now) {
			delete(l.caches, id)
		}
	}
	l.ownedBuckets.mu.Lock()
	defer l.ownedBuckets.mu.Unlock()
	l.ownedBuckets.DropIdle(now)
}

// Admit takes one token of the account; urgent is true for operations. If there is none, retryAfterMs says when one is
// expected.
func (l *Limiter) Admit(ctx context.Context, a account.Account, urgent bool) (ok bool, retryAfterMs clock.Millis) {
	if a.RatePerSecond <= 0 {
		return true, 0
	}
	l.mu.Lock()
	key := cacheKey{account: a.ID, urgent: urgent}
	s := l.caches[key]
	if s == nil {
		s = &tokenCache{}
		l.caches[key] = s
	}
	if s.RecordAndTake(l.Clock.Now()) {
		l.mu.Unlock()
		return true, 0
	}
	decided := make(chan admission, 1)
	s.waiters = append(s.waiters, decided)
	if !s.drawing {
		s.drawing = true
		go l.draw(a, urgent, s)
	}
	l.mu.Unlock()
	select {
	case v := <-decided:
		return v.ok, v.retryAfterMs
	case <-ctx.Done():
		return false, 0
	}
}

// Refund gives back the token of a request that did not run.
func (l *Limiter) Refund(a account.Account, urgent bool) {
	if a.RatePerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.caches[cacheKey{account: a.ID, urgent: urgent}]; s != nil {
		s.Return(l.Clock.Now())
	}
}

// draw fetches tokens until no request waits.
func (l *Limiter) draw(a account.Account, urgent bool, s *tokenCache) {
	for {
		l.mu.Lock()
		if len(s.waiters) == 0 {
			s.drawing = false
			l.mu.Unlock()
			return
		}
		ask := drawRequest{Account: a.ID, Need: len(s.waiters), Spare: s.Prefetch(l.Clock.Now()), Urgent: urgent}
		l.mu.Unlock()
		reply := l.drawFromOwner(a, ask)
		l.distribute(s, ask.Need, reply)
	}
}

// distribute gives the tokens to the requests that waited when they were asked for, and refuses those that got none.
func (l *Limiter) distribute(s *tokenCache, asked int, reply drawReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	s.Add(reply.Granted, now)
	waiting := s.waiters[:asked]
	s.waiters = s.waiters[asked:]
	retry := min(max(reply.RetryAfterMs, minRetryAfterMs), maxRetryAfterMs)
	for i, decided := range waiting {
		if s.Take(now) {
			decided <- admission{ok: true}
			continue
		}
		// The later ones are told to return later, in the order in which tokens will be there.
		decided <- admission{retryAfterMs: min(retry*clock.Millis(1+i), maxRetryAfterMs)}
	}
}
