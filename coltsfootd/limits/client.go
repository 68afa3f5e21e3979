package limits

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"

	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/peerpb"
)

// Signer signs requests to other nodes.
type Signer interface {
	Sign(r *http.Request, receiver string, body []byte) error
}

// Client sends signed control messages to peer nodes over HTTP and counts the bytes on its connections.
type Client struct {
	signer    Signer
	transport *http.Transport
}

// NewClient returns a client on the transport, of which it counts the bytes in metrics as limitBytesIn and
// limitBytesOut; no other client may use the transport.
func NewClient(signer Signer, t *http.Transport, metrics *expvar.Map) *Client {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, metrics: metrics}, nil
	}
	return &Client{signer: signer, transport: t}
}

// Control returns a client of the node of v.
func (c *Client) Control(v vm.VM) peerpb.Control {
	return peerpb.NewControlProtobufClient("http://"+v.PeerAddress, &receiver{client: c, name: v.Name})
}

// receiver sends the requests to one node.
type receiver struct {
	client *Client
	name   string
}

// Do signs the request and sends it without the headers that the receiver does not need.
func (r *receiver) Do(request *http.Request) (*http.Response, error) {
	body, err := request.GetBody()
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	request.Header.Del("Accept")
	request.Header.Del("Twirp-Version")
	request.Header["User-Agent"] = nil
	if err := r.client.signer.Sign(request, r.name, data); err != nil {
		return nil, err
	}
	return r.client.transport.RoundTrip(request)
}

type countedConn struct {
	net.Conn
	metrics *expvar.Map
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.metrics.Add("limitBytesIn", int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.metrics.Add("limitBytesOut", int64(n))
	return n, err
}
