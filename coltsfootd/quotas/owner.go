package quotas

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/quota"
)

const maxMessageBytes = 4 << 10

// drawRequest asks the owner of a bucket for tokens.
type drawRequest struct {
	Account string `json:"account"`
	// Need is the number of requests that wait; Spare is what is worth having in advance.
	Need  int `json:"need"`
	Spare int `json:"spare,omitempty"`
	// Urgent is true for operations, which are refused last.
	Urgent bool `json:"urgent,omitempty"`
	// Lend is true for a question between domains, which is answered from the own bucket only.
	Lend bool `json:"lend,omitempty"`
}

// drawReply answers a drawRequest.
type drawReply struct {
	Granted      int          `json:"granted"`
	RetryAfterMs clock.Millis `json:"retryAfterMs,omitempty"`
	// NotOwner is true if the node does not consider itself the owner of the bucket.
	NotOwner bool `json:"notOwner,omitempty"`
}

// bucket is the share of an account's rate that this node owns.
type bucket struct {
	*quota.Owned
	// emptyUntil are the times until which other domains are not asked to lend.
	emptyUntil map[string]clock.Millis
}

type ownedBuckets struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// ranked returns the addresses in the order in which their nodes own the bucket of the account.
func ranked(accountID string, addresses []string) []string {
	sorted := slices.Clone(addresses)
	weight := func(address string) uint64 { return xxhash.Sum64String(accountID + "\x00" + address) }
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
	return sorted
}

// owner returns the first node of the ranking that can be reached from here.
func (l *Limiter) owner(accountID string, addresses []string) string {
	for _, address := range ranked(accountID, addresses) {
		if address == l.Address || l.Peers.Reachable(address) {
			return address
		}
	}
	return ""
}

// ask draws tokens from the owner in the own failure domain. Without one, this node uses its part of the domain's share.
func (l *Limiter) ask(a account.Account, r drawRequest) drawReply {
	v := l.Views.View()
	owner := l.owner(a.ID, v.Neighbours)
	switch owner {
	case "":
		return l.takeAlone(v, a, r)
	case l.Address:
		return l.grant(v, a, r)
	}
	var reply drawReply
	err := l.Peers.Call(context.Background(), owner, DrawPath, drawTimeout, r, &reply)
	if err == nil && !reply.NotOwner {
		return reply
	}
	_ = level.Info(l.Logger).Log("msg", "owner of a bucket did not grant, using the own part", "account", a.ID,
		"owner", owner, "notOwner", reply.NotOwner, "err", err)
	return l.takeAlone(v, a, r)
}

// takeAlone uses this node's own part of the domain's share.
func (l *Limiter) takeAlone(v *directory.View, a account.Account, r drawRequest) drawReply {
	return l.takeOwn(v, "alone/"+a.ID, a, l.part(v, 1), r)
}

// grant serves a draw as the owner of the domain's share. Each node of the domain holds an equal part of that share; the
// owner has the parts of the nodes that it reaches, and one that is cut off keeps its own.
func (l *Limiter) grant(v *directory.View, a account.Account, r drawRequest) drawReply {
	reached := l.reached(v)
	if 2*reached < len(v.Neighbours) {
		return l.takeAlone(v, a, r)
	}
	reply := l.takeOwn(v, "domain/"+a.ID, a, l.part(v, reached), r)
	if missing := r.Need - reply.Granted; missing > 0 && !r.Lend {
		reply.Granted += l.borrow(v, a, missing, r.Urgent)
	}
	return reply
}

// part returns the part of an account's rate that is held by a number of nodes of this failure domain.
func (l *Limiter) part(v *directory.View, nodes int) float64 {
	return float64(nodes) / float64(max(1, len(v.Neighbours))*l.FailureDomains)
}

// reached returns the number of nodes of the own failure domain that answer, this one included.
func (l *Limiter) reached(v *directory.View) int {
	reached := 0
	for _, address := range v.Neighbours {
		if address == l.Address || l.Peers.Reachable(address) {
			reached++
		}
	}
	return reached
}

// takeOwn takes tokens from the bucket under the name, which holds a part of the account's rate.
func (l *Limiter) takeOwn(v *directory.View, name string, a account.Account, part float64, r drawRequest) drawReply {
	current, ok := v.Account(a.ID)
	if !ok {
		current = a
	}
	rate := quota.Rate{PerSecond: current.RatePerSecond, Burst: current.Burst}.Part(part)
	now := l.Clock.Now()
	movedAt := max(l.started, l.Peers.ChangedAt())
	l.owned.mu.Lock()
	defer l.owned.mu.Unlock()
	b := l.owned.buckets[name]
	if b == nil {
		b = &bucket{Owned: quota.NewOwned(rate, movedAt, now), emptyUntil: make(map[string]clock.Millis)}
		l.owned.buckets[name] = b
	}
	granted, wait := b.Take(quota.Draw{Need: r.Need, Spare: r.Spare, Urgent: r.Urgent}, rate, movedAt, now)
	return drawReply{Granted: granted, RetryAfterMs: wait}
}

// borrow asks the owners of the other failure domains, and returns the number of tokens that they lend.
func (l *Limiter) borrow(v *directory.View, a account.Account, missing int, urgent bool) int {
	granted := 0
	for domain, addresses := range v.Others {
		if missing == granted {
			break
		}
		if !l.mayBorrow(a.ID, domain) {
			continue
		}
		owner := l.owner(a.ID, addresses)
		if owner == "" {
			continue
		}
		var reply drawReply
		ask := drawRequest{Account: a.ID, Need: missing - granted, Urgent: urgent, Lend: true}
		if err := l.Peers.Call(context.Background(), owner, DrawPath, borrowTimeout, ask, &reply); err != nil {
			_ = level.Debug(l.Logger).Log("msg", "other domain did not lend", "domain", domain, "account", a.ID, "err", err)
		}
		if reply.Granted < ask.Need {
			l.pauseBorrowing(a.ID, domain)
		}
		granted += min(reply.Granted, ask.Need)
	}
	return granted
}

func (l *Limiter) mayBorrow(accountID, domain string) bool {
	l.owned.mu.Lock()
	defer l.owned.mu.Unlock()
	return l.Clock.Now() >= l.owned.buckets["domain/"+accountID].emptyUntil[domain]
}

func (l *Limiter) pauseBorrowing(accountID, domain string) {
	l.owned.mu.Lock()
	defer l.owned.mu.Unlock()
	l.owned.buckets["domain/"+accountID].emptyUntil[domain] = l.Clock.Now() + borrowPauseMs
}

// ServeDraw serves a draw by another node.
func (l *Limiter) ServeDraw(w http.ResponseWriter, r *http.Request) {
	var m drawRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := drawReply{NotOwner: true}
	if v := l.Views.View(); v != nil {
		if a, known := v.Account(m.Account); known && l.owner(m.Account, v.Neighbours) == l.Address {
			reply = l.grant(v, a, m)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply) // The other end has gone if this fails.
}
