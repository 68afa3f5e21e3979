package operations

import (
	"encoding/json"
	"net/http"
	"strings"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/route"
)

const (
	pathPrefix     = "/.coltsfoot/operations"
	routeParameter = "route"
)

// issueReply is the reply to a request for an operation id.
type issueReply struct {
	ID string `json:"id"`
}

// queryReply is the reply to a query. Status is that of the target's response if the operation is done.
type queryReply struct {
	ID      string       `json:"id"`
	Outcome call.Outcome `json:"outcome"`
	Status  int          `json:"status,omitempty"`
	Reason  call.Reason  `json:"reason,omitempty"`
}

// Serve issues operation ids (POST with the query parameter route) and reports outcomes (GET with the id as the last
// path segment, and the query parameter route for idempotency keys). The caller has authenticated the account.
func (s *Service) Serve(w http.ResponseWriter, r *http.Request, accountID string) {
	id := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, pathPrefix), "/")
	switch {
	case r.Method == http.MethodPost && id == "":
		s.serveIssue(w, r, accountID)
	case r.Method == http.MethodGet && id != "":
		s.serveQuery(w, r, accountID, id)
	default:
		answer.Refuse(call.ReasonMalformedRequest).Write(w)
	}
}

func (s *Service) serveIssue(w http.ResponseWriter, r *http.Request, accountID string) {
	found, reason := s.requestedRoute(r, accountID)
	if reason != "" {
		answer.Refuse(reason).Write(w)
		return
	}
	id, reason := s.Issue(r.Context(), accountID, found)
	if reason != "" {
		answer.Refuse(reason).Write(w)
		return
	}
	text, err := s.config.Codec.Encode(id)
	if err != nil {
		answer.Refuse(call.ReasonInternalError).Write(w)
		return
	}
	writeJSON(w, http.StatusCreated, issueReply{ID: text})
}

// requestedRoute returns the non-idempotent route that the request names.
func (s *Service) requestedRoute(r *http.Request, accountID string) (route.Route, call.Reason) {
	prefix := r.URL.Query().Get(routeParameter)
	found, ok := s.config.Snapshots.Current().Route(prefix)
	switch {
	case !ok || found.Prefix != prefix:
		return route.Route{}, call.ReasonRouteUnknown
	case !found.AllowsAccount(accountID):
		return route.Route{}, call.ReasonAccountNotAllowed
	case found.Class != route.NonIdempotent:
		return route.Route{}, call.ReasonMalformedRequest
	}
	return found, ""
}

func (s *Service) serveQuery(w http.ResponseWriter, r *http.Request, accountID, text string) {
	c := call.Call{Account: accountID, OperationID: text}
	if id, err := s.config.Codec.Decode(text); err == nil {
		if id.Account != accountID {
			answer.Refuse(call.ReasonAccountNotAllowed).Write(w)
			return
		}
		c.Service = id.Service
	} else {
		key, reason := s.Identify(http.Header{keyHeader: {text}}, c)
		if reason != "" {
			answer.Refuse(reason).Write(w)
			return
		}
		found, reason := s.requestedRoute(r, accountID)
		if reason != "" {
			answer.Refuse(reason).Write(w)
			return
		}
		c.Service, c.OperationID = found.Service, key
	}
	state := s.Query(r.Context(), c)
	w.Header().Set(answer.OutcomeHeader, string(state.Outcome))
	writeJSON(w, http.StatusOK, queryReply{ID: text, Outcome: state.Outcome, Status: state.Response.Status, Reason: state.Reason})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		answer.Refuse(call.ReasonInternalError).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func pathWithoutQuery(c call.Call) string {
	path, _, _ := strings.Cut(c.Path, "?")
	return path
}
