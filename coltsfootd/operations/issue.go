package operations

import (
	"context"
	"crypto/rand"
	"strconv"

	"coltsfootusher.example/coltsfootd/inflight"
	"coltsfootusher.example/core/balance"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/operation"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/peerpb"
)

const (
	// remoteDistanceMs is the round-trip time to another failure domain.
	remoteDistanceMs = 1
	// issueTimeout bounds the attempts to find a home.
	issueTimeout = peerTimeout * 4
)

// Issue returns the id of a new operation. Its home is one of the live targets of the route's service. If a node does
// not answer, the next one is asked.
func (s *Service) Issue(ctx context.Context, account string, r route.Route) (operation.ID, call.Reason) {
	ctx, cancel := context.WithTimeout(ctx, issueTimeout)
	defer cancel()
	exclude := make(map[string]bool)
	lastReason := call.ReasonNoTarget
	for ctx.Err() == nil {
		v, ok := s.chooseHome(r.Service, exclude)
		if !ok {
			break
		}
		id, reason := s.issueAt(ctx, v, account, r)
		if reason == "" {
			return id, ""
		}
		lastReason = reason
		exclude[v.Name] = true
	}
	return operation.ID{}, lastReason
}

func (s *Service) chooseHome(service string, exclude map[string]bool) (vm.VM, bool) {
	snapshot := s.config.Snapshots.Current()
	svc, _ := snapshot.Service(service)
	var candidates []balance.Candidate
	for _, v := range snapshot.VMsOfService(service) {
		if !s.config.Membership.MayServe(v) || exclude[v.Name] {
			continue
		}
		candidate := balance.Candidate{Node: v.Name, FailureDomain: v.FailureDomain, Slots: svc.SlotsPerTarget}
		if v.FailureDomain != s.config.FailureDomain {
			candidate.NetworkDelayMs = remoteDistanceMs
		}
		candidates = append(candidates, candidate)
	}
	choice, ok := s.config.Balancer.Choose(candidates, exclude, s.config.Clock.Now())
	if !ok {
		return vm.VM{}, false
	}
	return snapshot.VM(choice.Node)
}

func (s *Service) issueAt(ctx context.Context, v vm.VM, account string, r route.Route) (operation.ID, call.Reason) {
	if v.Name == s.config.Node {
		return s.issueLocally(account, r)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := s.config.ControlClients.Control(v).IssueOperation(ctx, &peerpb.IssueOperationRequest{
		Account: account, Route: r.Prefix,
	})
	if err != nil {
		now := s.config.Clock.Now()
		s.config.Balancer.Started(v.Name, now)
		s.config.Balancer.Finished(v.Name, balance.CallResult{Failed: true}, now)
		return operation.ID{}, call.ReasonNodeUnreachable
	}
	if reply.Reason != "" {
		return operation.ID{}, call.Reason(reply.Reason)
	}
	id, err := s.config.Codec.Decode(reply.OperationId)
	if err != nil || id.Account != account || id.Service != r.Service || id.Route != r.Prefix {
		return operation.ID{}, call.ReasonInternalError
	}
	return id, ""
}

func (s *Service) issueLocally(account string, r route.Route) (operation.ID, call.Reason) {
	if r.Service != s.config.Service || r.Class != route.NonIdempotent {
		return operation.ID{}, call.ReasonNoTarget
	}
	var nonce operation.Nonce
	if _, err := rand.Read(nonce[:]); err != nil {
		return operation.ID{}, call.ReasonInternalError
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, err := s.table.Issue(account, r.Service, r.Prefix, nonce, s.now())
	if err != nil {
		return operation.ID{}, call.ReasonLeaving
	}
	return id, ""
}

// ChildID returns the id of an inner non-idempotent call. The id stays the same while the parent is in flight. Without
// a key, the content of the call identifies it: a retry by the target has the same content and must not run again. A
// target that wants two operations with the same content sets different keys.
func (s *Service) ChildID(parent *inflight.Parent, c call.Call, key string) (string, call.Reason) {
	position := "content " + strconv.FormatUint(c.Fingerprint, 16)
	if key != "" {
		position = "key " + c.Route + " " + key
	}
	var reason call.Reason
	id, err := parent.ChildID(position, func() (string, error) {
		var text string
		text, reason = s.issueChildID(parent, c, position)
		if reason != "" {
			return "", Error.New("could not issue an id for the inner call: %s", reason)
		}
		return text, nil
	})
	if err != nil && reason == "" {
		reason = call.ReasonInternalError
	}
	return id, reason
}

func (s *Service) issueChildID(parent *inflight.Parent, c call.Call, position string) (string, call.Reason) {
	found, ok := s.config.Snapshots.Current().Route(pathWithoutQuery(c))
	if !ok || found.Prefix != c.Route {
		return "", call.ReasonRouteUnknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(0, parent.Deadline-s.config.Clock.Now()).Duration())
	defer cancel()
	homeID, reason := s.Issue(ctx, c.Account, found)
	if reason != "" {
		return "", reason
	}
	parentID := parent.Call.Account + "/" + parent.Call.OperationID
	text, err := s.config.Codec.Encode(s.config.Codec.ChildID(parentID, operation.ChildPosition{Key: position}, homeID))
	if err != nil {
		return "", call.ReasonInternalError
	}
	return text, ""
}
