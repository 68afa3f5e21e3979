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
	// drawTimeout limits a draw from the owner of a bucket, relayTimeout one that a node relays to the owner.
	drawTimeout  = 150 * time.Millisecond
	relayTimeout = 100 * time.Millisecond
	// ownerRetryTimeoutMs is the time for which a draw that no owner has answered is retried. Within that time an unreachable
	// owner is detected and replaced by the next node of the ranking.
	ownerRetryTimeoutMs clock.Millis = 600
	ownerRetryInterval               = 50 * time.Millisecond
)

// drawRequest asks the owner of a bucket for tokens.
type drawRequest struct {
	Account string `json:"account"`
	// Need is the number of requests that wait. Spare is the number of tokens worth drawing in advance.
	Need  int `json:"need"`
	Spare int `json:"spare,omitempty"`
	// Urgent is true for operations, which are refused last.
	Urgent bool `json:"urgent,omitempty"`
	// Relayed is true if a node has relayed the draw to the node that it considers the owner.
	Relayed bool `json:"relayed,omitempty"`
}

// drawReply answers a drawRequest.
type drawReply struct {
	Granted      int          `json:"granted"`
	RetryAfterMs clock.Millis `json:"retryAfterMs,omitempty"`
	// NotOwner is true if the node does not consider itself the owner of the bucket and could not ask the owner.
	NotOwner bool `json:"notOwner,omitempty"`
}

// ownedBuckets holds the buckets that this node owns.
type ownedBuckets struct {
	mu sync.Mutex
	*quota.OwnedBuckets
}

// owner returns the first node of the account's ranking that this node can reach, or "".
func (l *Limiter) owner(v *directory.View, accountID string) string {
	return v.Ranking.Owner(accountID, func(address string) bool {
		return address == l.Address || l.Peers.Reachable(address)
	})
}

// drawFromOwner draws tokens from the owner of the account's bucket. If no owner answers, this node uses its own share of the
// rate.
func (l *Limiter) drawFromOwner(a account.Account, r drawRequest) drawReply {
	deadline := l.Clock.Now() + ownerRetryTimeoutMs
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
		if l.Clock.Now() >= deadline {
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

// takeFromOwnShare takes tokens from this node's own share of the rate.
func (l *Limiter) takeFromOwnShare(v *directory.View, a account.Account, r drawRequest) drawReply {
	return l.takeFromBucket(v, "alone/"+a.ID, a, 1, r)
}

// grantAsOwner serves a draw as the owner of the bucket, which may grant the shares of all nodes that it reaches. A refused
// connection is no proof that a node has stopped: it may run on the other side of a network partition and grant its own share
// there.
func (l *Limiter) grantAsOwner(v *directory.View, a account.Account, r drawRequest) drawReply {
	return l.takeFromBucket(v, "fleet/"+a.ID, a, v.Ranking.Len()-l.Peers.UnreachableCount(), r)
}

func (l *Limiter) takeFromBucket(v *directory.View, bucket string, a account.Account, reachable int, r drawRequest) drawReply {
	current, ok := v.Account(a.ID)
	if !ok {
		current = a
	}
	rate := quota.Rate{PerSecond: current.RatePerSecond, Burst: current.Burst}
	p := quota.Reachability{ReachableNodes: reachable, TotalNodes: v.Ranking.Len(),
		OwnershipMovedAt: max(l.startedAt, l.Peers.ChangedAt())}
	l.ownedBuckets.mu.Lock()
	defer l.ownedBuckets.mu.Unlock()
	granted, wait := l.ownedBuckets.Take(bucket, quota.Draw{Need: r.Need, Spare: r.Spare, Urgent: r.Urgent}, rate, p, l.Clock.Now())
	return drawReply{Granted: granted, RetryAfterMs: wait}
}

// ServeDraw serves a draw by another node. If this node considers a third node to be the owner, it relays the draw: the two may
// reach different nodes.
func (l *Limiter) ServeDraw(w http.ResponseWriter, r *http.Request) {
	var draw drawRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&draw); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if draw.Need < 0 || draw.Spare < 0 {
		http.Error(w, "need and spare must not be negative", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header()["Date"] = nil
	_ = json.NewEncoder(w).Encode(l.handleDraw(draw)) // This fails only if the peer has disconnected.
}

func (l *Limiter) handleDraw(draw drawRequest) drawReply {
	v := l.Values.View()
	if v == nil {
		return drawReply{NotOwner: true}
	}
	a, known := v.Account(draw.Account)
	owner := l.owner(v, draw.Account)
	switch {
	case owner == l.Address && known:
		return l.grantAsOwner(v, a, draw)
	case owner == "" || owner == l.Address || draw.Relayed:
		return drawReply{NotOwner: true}
	}
	draw.Relayed = true
	reply, err := l.callOwner(owner, draw, relayTimeout)
	if err != nil {
		return drawReply{NotOwner: true}
	}
	return reply
}
