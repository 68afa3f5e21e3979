package peerclient

import (
	"bytes"
	"io"
	"net/http"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/auth"
	"coltsfootusher.example/peer/peerpb"
)

// Error is the class of errors of this package.
var Error = errs.Class("peer client")

// Client makes control calls to peers.
type Client struct {
	signer    *auth.Signer
	transport http.RoundTripper
}

// New returns a client that signs with signer and sends over t.
func New(signer *auth.Signer, t http.RoundTripper) *Client {
	return &Client{signer: signer, transport: t}
}

// Control returns the control service of the node on v. The caller bounds each call by its context.
func (c *Client) Control(v vm.VM) peerpb.Control {
	return peerpb.NewControlProtobufClient("http://"+v.PeerAddress, signed{client: c, receiver: v.Name})
}

// signed signs the requests of a twirp client for one receiver.
type signed struct {
	client   *Client
	receiver string
}

// Do signs and sends the request.
func (s signed) Do(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	// A repeat by net/http would carry a nonce that the receiver has seen.
	r.GetBody = nil
	if err := s.client.signer.Sign(r, s.receiver, body); err != nil {
		return nil, err
	}
	return s.client.transport.RoundTrip(r)
}
