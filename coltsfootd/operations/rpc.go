package operations

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/twitchtv/twirp"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/operation"
	"coltsfootusher.example/peer/peerpb"
)

// IssueOperation issues an id whose home is this node.
func (s *Service) IssueOperation(
	_ context.Context, r *peerpb.IssueOperationRequest,
) (*peerpb.IssueOperationReply, error) {
	found, ok := s.config.Snapshots.Current().Route(r.Route)
	if !ok || found.Prefix != r.Route {
		return &peerpb.IssueOperationReply{Reason: string(call.ReasonRouteUnknown)}, nil
	}
	id, reason := s.issueLocally(r.Account, found)
	if reason != "" {
		return &peerpb.IssueOperationReply{Reason: string(reason)}, nil
	}
	text, err := s.config.Codec.Encode(id)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.IssueOperationReply{OperationId: text}, nil
}

// Outcome reports the outcome that this node's table holds for the operation.
func (s *Service) Outcome(_ context.Context, r *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	return encodeState(s.outcomeLocally(r)), nil
}

// SealOperation ensures that this node never starts the operation.
func (s *Service) SealOperation(_ context.Context, r *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	return encodeState(s.sealLocally(r)), nil
}

// Handover imports one part of the operation table of a node that is stopping.
func (s *Service) Handover(_ context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	var part operation.HandoverPart
	if err := json.Unmarshal(r.Part, &part); err != nil {
		return nil, twirp.InvalidArgumentError("part", err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return &peerpb.HandoverReply{}, nil
	}
	if err := s.table.Import(part, s.now()); err != nil {
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	return &peerpb.HandoverReply{Accepted: true}, nil
}

func encodeState(state operation.State) *peerpb.OutcomeReply {
	r := state.Response
	return &peerpb.OutcomeReply{
		Outcome: string(state.Outcome), Reason: string(state.Reason), Status: int32(r.Status), Body: r.Body,
		ContentType: r.Header.Get("Content-Type"), BodyDropped: r.BodyDropped,
	}
}

func decodeState(reply *peerpb.OutcomeReply) operation.State {
	state := operation.State{Outcome: call.Outcome(reply.Outcome), Reason: call.Reason(reply.Reason)}
	if state.Outcome != call.OutcomeDone {
		return state
	}
	state.Response = operation.Response{
		Status: int(reply.Status), Header: http.Header{}, Body: reply.Body, BodyDropped: reply.BodyDropped,
	}
	if reply.ContentType != "" {
		state.Response.Header.Set("Content-Type", reply.ContentType)
	}
	return state
}
