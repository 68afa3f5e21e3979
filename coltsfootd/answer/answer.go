package answer

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"coltsfootusher.example/coltsfootd/message"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

// Headers that tell callers about refusals and operations.
const (
	ReasonHeader    = "Coltsfoot-Reason"
	RunHeader       = "Coltsfoot-Run"
	RequestIDHeader = "Coltsfoot-Request-Id"
	NodeHeader      = "Coltsfoot-Node"
	// InnerReasonHeader is set on the answer of a target that failed because an inner call was not run, and says why.
	InnerReasonHeader  = "Coltsfoot-Inner-Reason"
	OutcomeHeader      = "Operation-Outcome"
	retryAfterHeader   = "Retry-After"
	retryAfterMsHeader = "Retry-After-Ms"
)

// Answer is either the answer of a target, or an answer of a node that refuses the request or reports its failure.
type Answer struct {
	Result call.Result
	// Status and Header are those of the target. Without an answer of a target, Status follows from the result's reason.
	Status int
	Header http.Header
	// Body is the complete body, or its first part if Rest is set.
	Body []byte
	// Rest reads the remainder of a large body that was not buffered.
	Rest io.ReadCloser
}

// Refuse returns an answer for a request that no target received.
func Refuse(reason call.Reason) Answer {
	return Answer{Result: call.Result{Reason: reason, RunStatus: call.NotRun}, Status: reason.HTTPStatus()}
}

// Fail returns an answer for a request that a target may have received.
func Fail(reason call.Reason) Answer {
	return Answer{Result: call.Result{Reason: reason, RunStatus: call.MaybeRun}, Status: reason.HTTPStatus()}
}

// FromTarget reports whether a target, rather than a node, gave the answer.
func (a Answer) FromTarget() bool {
	return a.Result.Reason == ""
}

// Refusal returns why the call or one of its inner calls was not run, or "".
func (a Answer) Refusal() call.Reason {
	if a.Result.Reason != "" && a.Result.RunStatus == call.NotRun {
		return a.Result.Reason
	}
	return call.Reason(a.Header.Get(InnerReasonHeader))
}

// Close releases the connection of an answer that is not going to be written.
func (a Answer) Close() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
}

// CopyHeader copies the headers that are passed on from hop to hop.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		if !message.IsHopByHop(name) && !perHopHeaders[name] {
			to[name] = values
		}
	}
}

// perHopHeaders are set anew by each node.
var perHopHeaders = map[string]bool{
	"Coltsfoot-Result":  true,
	"Coltsfoot-Peer":    true,
	"Coltsfoot-Call":    true,
	"Coltsfoot-Context": true,
}

// DropNodeHeaders removes the headers that only nodes may set. A target that copies the headers of an inner answer
// would otherwise tell its caller that the request was not run.
func DropNodeHeaders(header http.Header) {
	for _, name := range []string{ReasonHeader, RunHeader, RequestIDHeader, NodeHeader, OutcomeHeader} {
		header.Del(name)
	}
}

// Write sends the answer. If a large body ends early, it aborts the connection, so that the receiver cannot mistake the
// truncated body for the complete one.
func (a Answer) Write(w http.ResponseWriter) {
	defer a.Close()
	header := w.Header()
	CopyHeader(header, a.Header)
	a.setResultHeaders(header)
	if a.Rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		return
	}
	if a.Rest == nil {
		return
	}
	if _, err := io.Copy(w, a.Rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (a Answer) setResultHeaders(header http.Header) {
	if a.Result.Outcome != "" {
		header.Set(OutcomeHeader, string(a.Result.Outcome))
	}
	if a.Result.RunStatus != "" {
		header.Set(RunHeader, string(a.Result.RunStatus))
	}
	if a.Result.Reason == "" {
		return
	}
	header.Set(ReasonHeader, string(a.Result.Reason))
	if a.Result.RetryAfterMs > 0 {
		header.Set(retryAfterHeader, strconv.FormatInt(ceilSeconds(a.Result.RetryAfterMs), 10))
		header.Set(retryAfterMsHeader, strconv.FormatInt(int64(a.Result.RetryAfterMs), 10))
	}
}

func ceilSeconds(ms clock.Millis) int64 {
	const second = 1000
	return int64(ms+second-1) / second
}

// Read reads an HTTP response into an answer, buffering at most limit bytes of its body. It returns an error if the
// body is truncated, or if it is neither chunked nor of known length: a body that ends with the connection cannot be
// told from a truncated one.
func Read(response *http.Response, limit int64) (Answer, error) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		_ = response.Body.Close()
		return Answer{}, io.ErrUnexpectedEOF
	}
	a := Answer{Status: response.StatusCode, Header: response.Header}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		_ = response.Body.Close()
		return Answer{}, err
	}
	a.Body = body
	if int64(len(body)) > limit {
		a.Rest = response.Body
		return a, nil
	}
	return a, response.Body.Close()
}

// IsTruncated reports whether err means that a body was truncated.
func IsTruncated(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF)
}
