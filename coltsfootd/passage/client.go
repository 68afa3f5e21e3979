package passage

import (
	"context"
	"errors"
	"net/http"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/coltsfootd/transport"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/auth"
	"coltsfootusher.example/peer/envelope"
)

// CallPath is the path on which nodes receive calls from other nodes.
const CallPath = "/call"

// Client sends calls to peer nodes over HTTP.
type Client struct {
	signer           *auth.Signer
	transport        *http.Transport
	maxBufferedBytes int64
}

// NewClient returns a client that buffers at most bufferedBytes of an answer.
func NewClient(signer *auth.Signer, t *http.Transport, bufferedBytes int64) *Client {
	return &Client{signer: signer, transport: t, maxBufferedBytes: bufferedBytes}
}

// Send sends the call to the node of v and reads its answer.
func (cl *Client) Send(ctx context.Context, v vm.VM, c call.Call, header http.Header, body []byte) answer.Answer {
	ctx, cancel := context.WithTimeout(ctx, c.TimeoutMs.Duration())
	request, err := cl.newRequest(ctx, v, c, header, body)
	if err != nil {
		cancel()
		return returnAllowance(answer.Refuse(call.ReasonInternalError), c)
	}
	response, err := cl.transport.RoundTrip(request)
	if err != nil {
		defer cancel()
		return answerForError(ctx, c, err)
	}
	if isStopRefusal(response) {
		_ = response.Body.Close()
		cancel()
		return returnAllowance(answer.Refuse(call.ReasonLeaving), c)
	}
	a, err := cl.readAnswer(response)
	if err != nil {
		defer cancel()
		return answerForError(ctx, c, err)
	}
	if a.Rest == nil {
		cancel()
		return a
	}
	a.Rest = cancelOnClose{a.Rest, cancel}
	return a
}

func (cl *Client) newRequest(
	ctx context.Context, v vm.VM, c call.Call, header http.Header, body []byte,
) (*http.Request, error) {
	encoded, err := envelope.EncodeCall(c)
	if err != nil {
		return nil, err
	}
	request, err := transport.NewRequest(ctx, http.MethodPost, "http://"+v.PeerAddress+CallPath, body)
	if err != nil {
		return nil, err
	}
	transport.SetHeader(request, header)
	request.Header.Set(auth.CallHeader, encoded)
	return request, cl.signer.Sign(request, v.Name, body)
}

// isStopRefusal reports whether the response is the refusal with which a stopping node closes an idle connection. A call that
// crossed with it was not handled. All other responses of nodes carry a result.
func isStopRefusal(response *http.Response) bool {
	return response.StatusCode == http.StatusRequestTimeout && response.Header.Get(envelope.ResultHeader) == "" &&
		response.Header.Get(answer.ReasonHeader) == string(call.ReasonLeaving)
}

var errNoResult = errors.New("response has no result header")

func (cl *Client) readAnswer(response *http.Response) (answer.Answer, error) {
	result, err := envelope.DecodeResult(response.Header.Get(envelope.ResultHeader))
	if err != nil {
		_ = response.Body.Close()
		return answer.Answer{}, errNoResult
	}
	a, err := answer.Read(response, cl.maxBufferedBytes)
	a.Result = result
	return a, err
}

func answerForError(ctx context.Context, c call.Call, err error) answer.Answer {
	switch {
	case provesNotSent(err) && ctx.Err() == nil:
		return returnAllowance(answer.Refuse(call.ReasonNodeUnreachable), c)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return answer.Fail(call.ReasonDeadlineExceeded)
	case ctx.Err() != nil:
		return answer.Fail(call.ReasonCallerGone)
	case answer.IsTruncated(err):
		return answer.Fail(call.ReasonAnswerTruncated)
	default:
		return answer.Fail(call.ReasonNodeUnreachable)
	}
}

// returnAllowance returns the whole retry allowance of a call that was not sent.
func returnAllowance(a answer.Answer, c call.Call) answer.Answer {
	a.Result.RetryAllowanceLeft = c.RetryAllowance
	return a
}

type cancelOnClose struct {
	body interface {
		Read(p []byte) (int, error)
		Close() error
	}
	cancel context.CancelFunc
}

func (c cancelOnClose) Read(p []byte) (int, error) { return c.body.Read(p) }

func (c cancelOnClose) Close() error {
	defer c.cancel()
	return c.body.Close()
}
