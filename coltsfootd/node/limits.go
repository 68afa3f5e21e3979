package node

import (
	"context"
	"expvar"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"

	"coltsfootusher.example/coltsfootd/limits"
	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/coltsfootd/peerserver"
	"coltsfootusher.example/coltsfootd/transport"
	"coltsfootusher.example/peer/auth"
	"coltsfootusher.example/peer/peerpb"
)

// controlIdleConns is the number of idle connections kept to each peer for control messages.
const controlIdleConns = 4

func (n *Node) newLimits(signer *auth.Signer, metrics *expvar.Map) *limits.Limits {
	s := n.settings
	t := transport.New(s.SourceAddress(), 0, controlIdleConns)
	return limits.New(limits.Config{
		Node: s.NodeName, FailureDomain: s.FailureDomain, Service: s.Service, Incarnation: n.incarnation, Clock: n.clock,
		Snapshots: n.control, Peers: limits.NewClient(signer, t, metrics), Sender: peerserver.Sender,
		Fence: s.SeatFenceMs, Margin: s.SeatFenceMarginMs, Lease: s.LeaseMs, PauseThreshold: s.PauseThresholdMs,
		Logger: logging.Part(n.logger, "limits"), Metrics: metrics,
	})
}

// controlServer serves the control methods; those that no part provides answer unimplemented.
type controlServer struct {
	missing
	*limits.Limits
}

func newControlHandler(l *limits.Limits, metrics *expvar.Map) http.Handler {
	twirpHandler := peerpb.NewControlServer(&controlServer{Limits: l})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Nodes measure ages themselves and do not need the date.
		w.Header()["Date"] = nil
		counted := &countedWriter{ResponseWriter: w}
		twirpHandler.ServeHTTP(counted, r)
		metrics.Add("limitBytesIn", requestBytes(r))
		metrics.Add("limitBytesOut", counted.written+responseHeaderBytes)
	})
}

// responseHeaderBytes is the size of the status line and the headers of a reply.
const responseHeaderBytes = 80

type countedWriter struct {
	http.ResponseWriter
	written int64
}

func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.written += int64(n)
	return n, err
}

// requestBytes is the size of a request on the wire.
func requestBytes(r *http.Request) int64 {
	size := len(r.Method) + len(r.URL.RequestURI()) + len(r.Proto) + len("Host: ") + len(r.Host)
	var headers strings.Builder
	_ = r.Header.Write(&headers)
	const lineEnds = 4 + 2 + 2 + 2
	return int64(size+headers.Len()+lineEnds) + r.ContentLength
}

// missing answers the control methods that no part of this node provides.
type missing struct{}

func unimplemented(method string) error {
	return twirp.NewError(twirp.Unimplemented, method+" is not provided")
}

// Sync is not provided.
func (missing) Sync(context.Context, *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return nil, unimplemented("Sync")
}

// IssueOperation is not provided.
func (missing) IssueOperation(context.Context, *peerpb.IssueOperationRequest) (*peerpb.IssueOperationReply, error) {
	return nil, unimplemented("IssueOperation")
}

// Outcome is not provided.
func (missing) Outcome(context.Context, *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	return nil, unimplemented("Outcome")
}

// SealOperation is not provided.
func (missing) SealOperation(context.Context, *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	return nil, unimplemented("SealOperation")
}

// Handover is not provided.
func (missing) Handover(context.Context, *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return nil, unimplemented("Handover")
}

// Leave is not provided.
func (missing) Leave(context.Context, *peerpb.LeaveRequest) (*peerpb.LeaveReply, error) {
	return nil, unimplemented("Leave")
}
