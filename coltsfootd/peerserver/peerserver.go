package peerserver

import (
	"bytes"
	"context"
	"expvar"
	"io"
	"net/http"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/coltsfootd/passage"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/peer/auth"
	"coltsfootusher.example/peer/envelope"
)

// Gateway admits calls to the local target.
type Gateway interface {
	Serve(ctx context.Context, c call.Call, header http.Header, body []byte) answer.Answer
}

// Config are the dependencies of a Handler.
type Config struct {
	Signer  *auth.Signer
	Gateway Gateway
	// Control handles the twirp service.
	Control      http.Handler
	MaxBodyBytes int64
	Logger       log.Logger
	Metrics      *expvar.Map
}

// Handler serves the peer address of a node.
type Handler struct {
	Config
	rejectedRequests *expvar.Int
}

// New returns a handler with these dependencies.
func New(config Config) *Handler {
	h := &Handler{Config: config, rejectedRequests: new(expvar.Int)}
	config.Metrics.Set("peerRequestsRejected", h.rejectedRequests)
	return h
}

type senderContextKey struct{}

// SenderFromContext returns the name of the node that signed the control message being handled.
func SenderFromContext(ctx context.Context) string {
	name, _ := ctx.Value(senderContextKey{}).(string)
	return name
}

// ServeHTTP verifies the signature and passes calls to the gateway and everything else to the control handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sender, body, err := h.Signer.Verify(r, h.MaxBodyBytes)
	if err != nil {
		h.rejectedRequests.Add(1)
		_ = level.Warn(h.Logger).Log("msg", "peer request rejected", "remote", r.RemoteAddr, "err", err)
		http.Error(w, "peer request is not authentic", http.StatusUnauthorized)
		return
	}
	if r.URL.Path == passage.CallPath {
		h.serveCall(w, r, body)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	h.Control.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), senderContextKey{}, sender)))
}

func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request, body []byte) {
	c, err := envelope.DecodeCall(r.Header.Get(auth.CallHeader))
	if err != nil {
		_ = level.Warn(h.Logger).Log("msg", "peer call is malformed", "err", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	header := make(http.Header, len(r.Header))
	answer.CopyHeader(header, r.Header)
	a := h.Gateway.Serve(r.Context(), c, header, body)
	result, err := envelope.EncodeResult(a.Result)
	if err != nil {
		a.Close()
		_ = level.Error(h.Logger).Log("msg", "call result could not be encoded", "err", err)
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set(envelope.ResultHeader, result)
	a.Write(w)
}
