package operations

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/operation"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/peerpb"
)

const (
	// successorCount is the number of peers to which a leaving home hands its table over.
	successorCount = 2
	// successorsAsked is how many of the first-ranked peers are asked for a home's table. It is one more than hold the
	// table, because a peer may have been down at the handover.
	successorsAsked = successorCount + 1
	// outcomeTimeout bounds a seal or a query, including the requests to successors.
	outcomeTimeout = peerTimeout * 3
)

// Seal ensures that the operation never starts and returns its outcome, which is unknown if its home does not answer.
func (s *Service) Seal(ctx context.Context, c call.Call) call.Outcome {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	return s.findOutcome(ctx, c, (*Service).sealLocally, func(p peerpb.Control, ctx context.Context) (*peerpb.OutcomeReply, error) {
		return p.SealOperation(ctx, outcomeRequest(c))
	}).Outcome
}

// Query returns what is known about the operation of the call.
func (s *Service) Query(ctx context.Context, c call.Call) operation.State {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	return s.findOutcome(ctx, c, (*Service).outcomeLocally,
		func(p peerpb.Control, ctx context.Context) (*peerpb.OutcomeReply, error) {
			return p.Outcome(ctx, outcomeRequest(c))
		})
}

func outcomeRequest(c call.Call) *peerpb.OutcomeRequest {
	return &peerpb.OutcomeRequest{OperationId: c.OperationID, Account: c.Account, Service: c.Service}
}

// findOutcome asks the home, and its successors if the home does not know the outcome.
func (s *Service) findOutcome(
	ctx context.Context, c call.Call, local func(*Service, *peerpb.OutcomeRequest) operation.State,
	remote func(peerpb.Control, context.Context) (*peerpb.OutcomeReply, error),
) operation.State {
	state := operation.State{Outcome: call.OutcomeUnknown, Reason: call.ReasonOperationUnknown}
	if !s.idMatchesCall(c) {
		return state
	}
	home, reason := s.Home(c)
	if reason != "" {
		return state
	}
	if home == s.config.Node {
		state = local(s, outcomeRequest(c))
	} else if v, ok := s.config.Snapshots.Current().VM(home); ok {
		state, _ = s.askPeer(ctx, v, remote)
	}
	if state.Outcome != call.OutcomeUnknown {
		return state
	}
	if recorded, ok := s.askSuccessors(ctx, home, c); ok {
		return recorded
	}
	return state
}

// idMatchesCall reports whether the id belongs to the account and the service of the call.
func (s *Service) idMatchesCall(c call.Call) bool {
	id, err := s.config.Codec.Decode(c.OperationID)
	return err != nil || id.Account == c.Account && id.Service == c.Service
}

func (s *Service) sealLocally(r *peerpb.OutcomeRequest) operation.State {
	return s.applyToTable(r, (*operation.Table).Seal)
}

func (s *Service) outcomeLocally(r *peerpb.OutcomeRequest) operation.State {
	return s.applyToTable(r, (*operation.Table).Outcome)
}

func (s *Service) applyToTable(
	r *peerpb.OutcomeRequest, method func(*operation.Table, operation.Operation, operation.ClockReading) operation.State,
) operation.State {
	op, now, ok := s.localOperation(r.OperationId, r.Account, r.Service)
	if !ok {
		return operation.State{Outcome: call.OutcomeUnknown, Reason: call.ReasonOperationIDInvalid}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return method(s.table, op, now)
}

// Settle replaces an answer of unknown outcome with the outcome that a successor of the operation's home has on record.
// An answer from the home incarnation itself is kept, because only that process can have run the operation.
func (s *Service) Settle(ctx context.Context, c call.Call, a answer.Answer) answer.Answer {
	if a.Result.Outcome != call.OutcomeUnknown || ctx.Err() != nil {
		return a
	}
	home, reason := s.Home(c)
	if reason != "" {
		return a
	}
	if id, err := s.config.Codec.Decode(c.OperationID); err == nil && a.Result.Incarnation == id.Incarnation {
		return a
	}
	state, ok := s.askSuccessors(ctx, home, c)
	if !ok {
		return a
	}
	return stateAnswer(state)
}

// askSuccessors returns the first final outcome that a successor of the home has on record.
func (s *Service) askSuccessors(ctx context.Context, home string, c call.Call) (operation.State, bool) {
	for _, v := range s.possibleSuccessors(home, c.Service) {
		if ctx.Err() != nil {
			break
		}
		var state operation.State
		if v.Name == s.config.Node {
			state = s.outcomeLocally(outcomeRequest(c))
		} else {
			state, _ = s.askPeer(ctx, v, func(p peerpb.Control, ctx context.Context) (*peerpb.OutcomeReply, error) {
				return p.Outcome(ctx, outcomeRequest(c))
			})
		}
		if state.Outcome == call.OutcomeDone || state.Outcome == call.OutcomeNotRun {
			return state, true
		}
	}
	return operation.State{}, false
}

// possibleSuccessors returns the first-ranked peers of the home and, because a successor may have left since, the
// successors of these. If the home is no longer in the VM list, all failure domains of its service are considered.
func (s *Service) possibleSuccessors(home, service string) []vm.VM {
	var candidates []vm.VM
	for _, domain := range s.domainsOf(home, service) {
		ranked := s.rankPeers(home, domain)
		first := ranked[:min(successorsAsked, len(ranked))]
		candidates = append(candidates, first...)
		for _, successor := range first[:min(successorCount, len(first))] {
			second := s.rankPeers(successor.Name, domain)
			candidates = append(candidates, second[:min(successorCount, len(second))]...)
		}
	}
	var distinct []vm.VM
	for _, v := range candidates {
		same := func(other vm.VM) bool { return other.Name == v.Name }
		if v.Name != home && !slices.ContainsFunc(distinct, same) {
			distinct = append(distinct, v)
		}
	}
	return distinct
}

func (s *Service) domainsOf(home, service string) []string {
	snapshot := s.config.Snapshots.Current()
	if v, ok := snapshot.VM(home); ok {
		return []string{v.FailureDomain}
	}
	svc, _ := snapshot.Service(service)
	return svc.FailureDomains
}

// rankPeers orders the other VMs of the domain by rendezvous hashing with the home's name.
func (s *Service) rankPeers(home, domain string) []vm.VM {
	var others []vm.VM
	for _, v := range s.config.Snapshots.Current().VMsOfDomain(domain) {
		if v.Name != home {
			others = append(others, v)
		}
	}
	slices.SortFunc(others, func(a, b vm.VM) int {
		left, right := xxhash.Sum64String(home+"/"+a.Name), xxhash.Sum64String(home+"/"+b.Name)
		switch {
		case left > right:
			return -1
		case left < right:
			return 1
		default:
			return 0
		}
	})
	return others
}
