package quotas

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/quota"
)

const (
	maxMessageBytes = 4 << 10
	// drawTimeout bounds one question to the owner of a bucket, relayTimeout that by which a node passes it on.
	drawTimeout  = 150 * time.Millisecond
	relayTimeout = 100 * time.Millisecond
	// ownerRetryTimeoutMs is the time for which a draw that no owner has answered is sent again. A lost owner is noticed, and
	// replaced by the next node of the ranking, within that time.
	ownerRetryTimeoutMs clock.Millis = 600
	ownerRetryInterval               = 50 * time.Millisecond
)

// drawRequest asks the owner of a bucket for tokens.
type drawRequest struct {
	Account string `json:"account"`
	// Need is the number of requests that wait; Spare is what is worth having in advance.
	Need  int `json:"need"`
	Spare int `json:"spare,omitempty"`
	// Urgent is true for operations, which are refused last.
	Urgent bool `json:"urgent,omitempty"`
	// Relayed is true if a node has passed the question on to the one that it takes for the owner.
	Relayed bool `json:"relayed,omitempty"`
}

// drawReply answers a drawRequest.
type drawReply struct {
	Granted      int          `json:"granted"`
	RetryAfterMs clock.Millis `json:"retryAfterMs,omitempty"`
	// NotOwner is true if the node does not consider itself the owner of the bucket and could not ask the owner.
	NotOwner bool `json:"notOwner,omitempty"`
}

// ownedBuckets has the buckets that this node owns.
type ownedBuckets struct {
	mu sync.Mutex
	*quota.OwnedBuckets
}

// owner returns the first node of the account's ranking that can be reached from here, or "".
func (l *Limiter) owner(v *directory.View, accountID string) string {
	return v.Ranking.Owner(accountID, func(address string) bool {
		return address == l.Address || l.Peers.Reachable(address)
	})
}

// drawFromOwner draws tokens from the owner of the account's bucket. If none answers, this node uses its own part of the rate.
func (l *Limiter) drawFromOwner(a account.Account, r drawRequest) drawReply {
	giveUp := l.Clock.Now() + ownerRetryTimeoutMs
	for {
		v := l.Values.View()
		owner := l.owner(v, a.ID)
		switch owner {
		case "":
			return l.takeFromOwnShare(v, a, r)
		case l.Address:
			return l.grantAsOwner(v, a, r)
		}
		reply, err := l.callOwner(owner, r, drawTimeout)
		if err == nil && !reply.NotOwner {
			return reply
		}
		if l.Clock.Now() >= giveUp {
			_ = level.Info(l.Logger).Log("msg", "owner of a bucket did not grant, using the own part", "account", a.ID,
				"owner", owner, "notOwner", reply.NotOwner, "err", err)
			return l.takeFromOwnShare(v, a, r)
		}
		time.Sleep(ownerRetryInterval)
	}
}

func (l *Limiter) callOwner(owner string, r drawRequest, timeout time.Duration) (drawReply, error) {
	var reply drawReply
	err := l.Peers.Call(context.Background(), owner, DrawPath, timeout, r, &reply)
	return reply, err
}

// takeFromOwnShare uses this node's own part of the rate.
func (l *Limiter) takeFromOwnShare(v *directory.View, a account.Account, r drawRequest) drawReply {
	return l.takeFromBucket(v, "alone/"+a.ID, a, 1, r)
}

// grantAsOwner serves a draw as the owner of the bucket, which has the parts of all nodes that it reaches. A refused connection
// is no proof that a node has ended: it may run on the other side of a cut and grant its part there.
func (l *Limiter) grantAsOwner(v *directory.View, a account.Account, r drawRequest) drawReply {
	return l.takeFromBucket(v, "fleet/"+a.ID, a, v.Ranking.Len()-l.Peers.UnreachableCount(), r)
}

func (l *Limiter) takeFromBucket(v *directory.View, name string, a account.Account, reached int, r drawRequest) drawReply {
	current, ok := v.Account(a.ID)
	if !ok {
		current = a
	}
	rate := quota.Rate{PerSecond: current.RatePerSecond, Burst: current.Burst}
	p := quota.Reachability{ReachableNodes: reached, TotalNodes: v.Ranking.Len(),
		OwnershipMovedAt: max(l.startedAt, l.Peers.ChangedAt())}
	l.ownedBuckets.mu.Lock()
	defer l.ownedBuckets.mu.Unlock()
	granted, wait := l.ownedBuckets.Take(name, quota.Draw{Need: r.Need, Spare: r.Spare, Urgent: r.Urgent}, rate, p, l.Clock.Now())
	return drawReply{Granted: granted, RetryAfterMs: wait}
}

// ServeDraw serves a draw by another node. If this node takes a third one for the owner, it passes the draw on: the two may
// reach different nodes.
func (l *Limiter) ServeDraw(w http.ResponseWriter, r *http.Request) {
	var m drawRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if m.Need < 0 || m.Spare < 0 {
		http.Error(w, "need and spare must not be negative", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header()["Date"] = nil
	_ = json.NewEncoder(w).Encode(l.handleDraw(m)) // The other end has gone if this fails.
}

func (l *Limiter) handleDraw(m drawRequest) drawReply {
	v := l.Values.View()
	if v == nil {
		return drawReply{NotOwner: true}
	}
	a, known := v.Account(m.Account)
	owner := l.owner(v, m.Account)
	switch {
	case owner == l.Address && known:
		return l.grantAsOwner(v, a, m)
	case owner == "" || owner == l.Address || m.Relayed:
		return drawReply{NotOwner: true}
	}
	m.Relayed = true
	reply, err := l.callOwner(owner, m, relayTimeout)
	if err != nil {
		return drawReply{NotOwner: true}
	}
	return reply
}
