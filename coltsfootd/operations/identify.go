package operations

import (
	"net/http"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/operation"
)

// Headers in which callers identify operations.
const (
	idHeader  = "Operation-Id"
	keyHeader = "Idempotency-Key"
)

// Identify returns the operation id of a request, or the reason why it has no valid one. A verified id of another
// account or route is returned along with the reason, because its operation may have run.
func (s *Service) Identify(header http.Header, c call.Call) (string, call.Reason) {
	ids, keys := header.Values(idHeader), header.Values(keyHeader)
	if len(ids)+len(keys) > 1 {
		return "", call.ReasonMalformedRequest
	}
	if len(keys) == 1 {
		key, err := operation.ParseIdempotencyKey(keys[0])
		if err != nil {
			return "", call.ReasonOperationIDInvalid
		}
		return key.String(), ""
	}
	if len(ids) == 0 {
		return "", call.ReasonOperationIDRequired
	}
	id, err := s.config.Codec.Decode(ids[0])
	if err != nil {
		return "", call.ReasonOperationIDInvalid
	}
	if id.Account != c.Account || id.Service != c.Service || id.Route != c.Route {
		return ids[0], call.ReasonOperationIDInvalid
	}
	return ids[0], ""
}

// Home returns the name of the node that may run the operation. That node itself checks the incarnation.
func (s *Service) Home(c call.Call) (string, call.Reason) {
	if id, err := s.config.Codec.Decode(c.OperationID); err == nil {
		return id.Node, ""
	}
	key, err := operation.ParseIdempotencyKey(c.OperationID)
	if err != nil {
		return "", call.ReasonOperationIDInvalid
	}
	seat, err := s.homeSeat(c.Account, c.Service, key)
	if err != nil {
		return "", call.ReasonNoTarget
	}
	owner := s.config.Seats.Owner(c.Service, seat)
	if owner == "" {
		return "", call.ReasonNoTarget
	}
	return owner, ""
}
