package localtarget

import (
	"math"
	"net/http"
	"time"

	"coltsfootusher.example/coltsfootd/body"
	"coltsfootusher.example/coltsfootd/drain"
	"coltsfootusher.example/coltsfootd/message"
	"coltsfootusher.example/coltsfootd/upstream"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/dispatch"
)

// unlimitedBodyBytes leaves the limit to the node at which the request began.
const unlimitedBodyBytes = math.MaxInt64 - 1

// ServeHTTP runs a request that another node has sent.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	c, err := dispatch.Decode[dispatch.Context](request.Header.Get(dispatch.ContextHeader))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if request.ContentLength != 0 {
		// A body that doesn't end must not hold the connection longer than somebody waits for the answer.
		late := time.Now().Add(c.TimeoutMs.Duration())
		if err := http.NewResponseController(w).SetReadDeadline(late); err != nil {
			r.writeReply(w, refuse(call.ReasonInternalError), nil)
			return
		}
	}
	received, err := r.Bodies.Read(request.Body, request.ContentLength, unlimitedBodyBytes)
	if err != nil {
		r.writeReply(w, refuse(body.Reason(request.Context(), err)), nil)
		return
	}
	defer received.Release()
	if request.ContentLength != 0 {
		if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
			r.writeReply(w, refuse(call.ReasonInternalError), nil)
			return
		}
	}
	request.Header.Del(dispatch.ContextHeader)
	if r.Sockets.NearlyExhausted() {
		w.Header().Set("Connection", "close")
	}
	if drain.CallerGone(request) {
		// The connection waited to be accepted until its sender had given up.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	reply, response := r.Run(request.Context(), c, &upstream.Request{
		Method: request.Method, URI: request.RequestURI, Host: request.Host, Header: request.Header, Body: received.Bytes,
	})
	r.writeReply(w, reply, response)
}

func (r *Runner) writeReply(w http.ResponseWriter, reply dispatch.Reply, response *upstream.Response) {
	encoded, err := dispatch.Encode(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(dispatch.ReplyHeader, encoded)
	if response == nil {
		w.Header()["Date"] = nil
		w.WriteHeader(reply.Reason.HTTPStatus())
		return
	}
	message.WriteResponse(w, response)
}
