package localtarget

import (
	"math"
	"net/http"
	"time"

	"coltsfootusher.example/coltsfootd/body"
	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/drain"
	"coltsfootusher.example/coltsfootd/message"
	"coltsfootusher.example/coltsfootd/upstream"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/dispatch"
)

// unlimitedBodyBytes disables the limit on the body: the node that received the request from its caller has checked it.
const unlimitedBodyBytes = math.MaxInt64 - 1

// ServeHTTP runs a request of another node at the local target.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	c, err := dispatch.Decode[dispatch.Context](request.Header.Get(dispatch.ContextHeader))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.RequestID = decision.ShortID(c.RequestID)
	echo := request.Header.Get(r.Pool.EchoHeader())
	fields := message.TakeFields(request, r.dropFields)
	drain.HeaderHeld(request, message.HeldBytes(request, fields))
	if request.ContentLength != 0 {
		// An incomplete body must not hold the connection after the sender's timeout.
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
	message.DropTrailer(request)
	if request.ContentLength != 0 {
		if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
			r.writeReply(w, refuse(call.ReasonInternalError), nil)
			return
		}
	}
	if r.Sockets.NearlyExhausted() {
		w.Header().Set("Connection", "close")
	}
	if drain.CallerGone(request) {
		// The sender gave up while the connection waited to be accepted.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	drain.RequestComplete(request)
	reply, response := r.Run(request.Context(), c, &upstream.Request{
		Method: request.Method, URI: request.RequestURI, Host: request.Host, Fields: fields, Header: request.Header, Echo: echo,
		Body: received.Bytes,
	})
	r.writeReply(w, reply, response)
}

// dropFields removes the headers that are for this node, or that it sets itself.
func (r *Runner) dropFields(h http.Header) {
	r.Dialect.DropCaller(h)
	h.Del(dispatch.ContextHeader)
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
