package operations

import (
	"context"
	"encoding/json"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/core/operation"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/peerpb"
)

// handoverPartBytes bounds one part of a handover and the largest stored response. Its JSON encoding stays below the
// largest peer message.
const handoverPartBytes = 512 << 10

// Leave makes the home seal each new operation. Running operations continue.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.table.Leave()
}

// Drain waits until no operation is running, or returns the error of ctx if that ends first. Call Leave before it.
func (s *Service) Drain(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		s.running.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close hands the operation table over to two peers of the failure domain. Call Leave before it.
func (s *Service) Close(ctx context.Context) error {
	s.mu.Lock()
	now := s.now()
	parts, err := s.table.Export(now, handoverPartBytes)
	closures := s.table.ClosedIncarnations(now)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	accepted := 0
	for _, v := range s.rankPeers(s.config.Node, s.config.FailureDomain) {
		if !s.config.Membership.MayServe(v) {
			continue
		}
		// The closures must follow the records, see operation.Table.Closures.
		if err := s.handOver(ctx, v, append(parts, closures...)); err != nil {
			_ = level.Warn(s.config.Logger).Log("msg", "operation table not handed over", "to", v.Name, "err", err)
			continue
		}
		_ = level.Info(s.config.Logger).Log("msg", "operation table handed over", "to", v.Name, "parts", len(parts),
			"closures", len(closures))
		if accepted++; accepted == successorCount {
			return nil
		}
	}
	if accepted == 0 {
		return Error.New("no peer in the failure domain accepted the operation table")
	}
	return nil
}

func (s *Service) handOver(ctx context.Context, v vm.VM, parts []operation.HandoverPart) error {
	for _, part := range parts {
		data, err := json.Marshal(part)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := s.handOverPart(ctx, v, data); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) handOverPart(ctx context.Context, v vm.VM, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := s.config.ControlClients.Control(v).Handover(ctx, &peerpb.HandoverRequest{
		Node: s.config.Node, Incarnation: s.config.Incarnation, Part: data,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	if !reply.Accepted {
		return Error.New("the peer is leaving too")
	}
	return nil
}
