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
	// minRetryAfterMs and maxRetryAfterMs limit the retry delay sent to callers.
	minRetryAfterMs   clock.Millis = 50
	maxRetryAfterMs   clock.Millis = 2000
	idleCheckInterval              = 10 * time.Second
)

// DrawPath is the path that serves draws of tokens by other nodes.
const DrawPath = "/coltsfoot/draw"

// Values provides the published values in force.
type Values interface {
	View() *directory.View
}

// Peers tracks which other nodes can be reached, and calls them.
type Peers interface {
	Reachable(address string) bool
	// UnreachableCount returns the number of nodes that can't be reached, ChangedAt the last time at which one became unreachable
	// or reachable again.
	UnreachableCount() int
	ChangedAt() clock.Millis
	Call(ctx context.Context, address, path string, timeout time.Duration, message, reply any) error
}

// Config holds the settings and dependencies of a Limiter.
type Config struct {
	Address string
	Clock   clock.Clock
	Values  Values
	Peers   Peers
	Logger  log.Logger
}

// Limiter holds the tokens that this node has drawn, and the buckets that it owns.
//
// One node owns the bucket of an account. It is chosen by rendezvous hashing among the nodes that can be reached. Nodes on
// different sides of a network partition choose different owners, and each owner grants only the shares of the nodes that it
// reaches.
type Limiter struct {
	Config
	startedAt clock.Millis

	mu     sync.Mutex
	caches map[cacheKey]*tokenCache

	ownedBuckets ownedBuckets
}

// cacheKey identifies the tokens for the lookups or the operations of an account.
type cacheKey struct {
	account string
	urgent  bool
}

// tokenCache holds the drawn tokens of one account with the requests that wait for more.
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

// Run removes the state of accounts without demand until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	periodic.Run(ctx, idleCheckInterval, l.dropIdle)
}

func (l *Limiter) dropIdle(context.Context) {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, tokens := range l.caches {
		if !tokens.drawing && tokens.Idle(now) {
			delete(l.caches, id)
		}
	}
	l.ownedBuckets.mu.Lock()
	defer l.ownedBuckets.mu.Unlock()
	l.ownedBuckets.DropIdle(now)
}

// Admit takes one token of the account. urgent is true for operations. If there is no token, retryAfterMs is the time until one
// is expected.
func (l *Limiter) Admit(ctx context.Context, a account.Account, urgent bool) (ok bool, retryAfterMs clock.Millis) {
	if a.RatePerSecond <= 0 {
		return true, 0
	}
	l.mu.Lock()
	key := cacheKey{account: a.ID, urgent: urgent}
	tokens := l.caches[key]
	if tokens == nil {
		tokens = &tokenCache{}
		l.caches[key] = tokens
	}
	if tokens.RecordAndTake(l.Clock.Now()) {
		l.mu.Unlock()
		return true, 0
	}
	result := make(chan admission, 1)
	tokens.waiters = append(tokens.waiters, result)
	if !tokens.drawing {
		tokens.drawing = true
		go l.draw(a, urgent, tokens)
	}
	l.mu.Unlock()
	select {
	case v := <-result:
		return v.ok, v.retryAfterMs
	case <-ctx.Done():
		return false, 0
	}
}

// Refund returns the token of a request that did not run.
func (l *Limiter) Refund(a account.Account, urgent bool) {
	if a.RatePerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if tokens := l.caches[cacheKey{account: a.ID, urgent: urgent}]; tokens != nil {
		tokens.Return(l.Clock.Now())
	}
}

// draw fetches tokens until no request is waiting.
func (l *Limiter) draw(a account.Account, urgent bool, tokens *tokenCache) {
	for {
		l.mu.Lock()
		if len(tokens.waiters) == 0 {
			tokens.drawing = false
			l.mu.Unlock()
			return
		}
		request := drawRequest{Account: a.ID, Need: len(tokens.waiters), Spare: tokens.Prefetch(l.Clock.Now()), Urgent: urgent}
		l.mu.Unlock()
		reply := l.drawFromOwner(a, request)
		l.distribute(tokens, request.Need, reply)
	}
}

// distribute gives the granted tokens to the requests that were waiting when the tokens were requested, and refuses those that
// get none.
func (l *Limiter) distribute(tokens *tokenCache, count int, reply drawReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	tokens.Add(reply.Granted, now)
	waiters := tokens.waiters[:count]
	tokens.waiters = tokens.waiters[count:]
	retryAfter := min(max(reply.RetryAfterMs, minRetryAfterMs), maxRetryAfterMs)
	for i, result := range waiters {
		if tokens.Take(now) {
			result <- admission{ok: true}
			continue
		}
		// Later requests are told to retry later, in the order in which tokens become available.
		result <- admission{retryAfterMs: min(retryAfter*clock.Millis(1+i), maxRetryAfterMs)}
	}
}
