package peerclient

import (
	"net/http"

	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/auth"
	"coltsfootusher.example/peer/peerpb"
)

// Client creates clients of the twirp service of peers.
type Client struct {
	signer    *auth.Signer
	transport http.RoundTripper
}

// New returns a client that signs with signer and sends over transport.
func New(signer *auth.Signer, transport http.RoundTripper) *Client {
	return &Client{signer: signer, transport: transport}
}

// To returns a client of the control service of the named node at the peer address. Clients are cheap to create,
// because they share the connections of one transport.
func (c *Client) To(node, address string) peerpb.Control {
	return peerpb.NewControlProtobufClient("http://"+address, &http.Client{
		Transport: auth.Transport{Signer: c.signer, Receiver: node, Base: c.transport},
	})
}

// Control returns a client of the control service of the node on v. The caller limits each call by its context.
func (c *Client) Control(v vm.VM) peerpb.Control {
	return c.To(v.Name, v.PeerAddress)
}
