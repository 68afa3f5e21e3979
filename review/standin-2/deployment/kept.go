package deployment

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// lossesPerMachine is the number of requests that rule LOST lets a machine lose on kept connections.
const lossesPerMachine = 3

// stable is the time for which a process must have run to be in touch (stable_s).
const stable = 3 * time.Second

// LossWatch counts the requests that a node passed on to a sound backend from a kept connection, and whose connection it then closed
// without an answer (rule LOST).
type LossWatch struct {
	d *Deployment

	mu sync.Mutex
	// begun holds the requests that a sound backend has begun to run, by id.
	begun map[string]string
	lost  map[string]int
	cuts  map[string]int
}

// NewLossWatch returns a watch without requests.
func NewLossWatch(d *Deployment) *LossWatch {
	return &LossWatch{d: d, begun: make(map[string]string), lost: make(map[string]int), cuts: make(map[string]int)}
}

// Begun records that a sound backend has begun to run a request.
func (w *LossWatch) Begun(b *Backend, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun[id] = b.Address
}

// cut records that the connection of a request was closed without an answer. It counts if the connection had served another request
// and if the process had run long enough before the request was sent.
func (w *LossWatch) cut(n *Node, id string, kept bool, sentAt, startedAt time.Time, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[n.Name]++
	backend, passedOn := w.begun[id]
	if !passedOn || !kept || sentAt.Sub(startedAt) < stable {
		return
	}
	w.lost[n.Name]++
	w.d.Log("%s, sent at %.3f on a kept connection of %s, was begun by the sound backend at %s and got no answer: %v", id,
		sentAt.Sub(w.d.started).Seconds(), n.Name, backend, err)
}

// Judge logs what was lost and reports whether a machine has lost more than the rule allows.
func (w *LossWatch) Judge() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	broken := false
	for _, n := range w.d.Nodes {
		w.d.Log("%s: %d connections closed without an answer, in %d of them a request from a kept connection that a sound backend had begun",
			n.Name, w.cuts[n.Name], w.lost[n.Name])
		broken = broken || w.lost[n.Name] > lossesPerMachine
	}
	return broken
}

// KeptClient sends requests to one node on connections that it keeps.
type KeptClient struct {
	node  *Node
	watch *LossWatch

	mu   sync.Mutex
	idle []*keptConn
}

type keptConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

// NewKeptClient returns a client without connections.
func NewKeptClient(n *Node, w *LossWatch) *KeptClient {
	return &KeptClient{node: n, watch: w}
}

// Get sends a request with the key and returns the status of its answer with the reason that the node gives, or what went wrong.
func (c *KeptClient) Get(path, key, id string, limit time.Duration) string {
	conn, err := c.take()
	if err != nil {
		return "no connection"
	}
	sentAt, startedAt, kept := time.Now(), c.node.StartedAt(), conn.used
	conn.used = true
	_ = conn.SetDeadline(sentAt.Add(limit))
	response, err := conn.roundTrip(path, key, id, limit)
	if err != nil {
		_ = conn.Close()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return "time budget over"
		}
		c.watch.cut(c.node, id, kept, sentAt, startedAt, err)
		return "connection closed without an answer"
	}
	if response.Close {
		_ = conn.Close()
	} else {
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	}
	return response.Status + " " + response.Header.Get("Coltsfoot-Reason")
}

func (c *KeptClient) take() (*keptConn, error) {
	c.mu.Lock()
	if last := len(c.idle) - 1; last >= 0 {
		conn := c.idle[last]
		c.idle = c.idle[:last]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	opened, err := net.DialTimeout("tcp", c.node.Entry, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: opened, reader: bufio.NewReader(opened)}, nil
}

func (c *keptConn) roundTrip(path, key, id string, limit time.Duration) (*http.Response, error) {
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n\r\n",
		path, id, limit.Milliseconds(), key)
	if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}
