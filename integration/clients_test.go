package integration

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// heldHeaderBytes is just under the 64 KB that the entry and the peer listener allow, heldPlainHeaderBytes just under the
	// default limit of net/http.
	heldHeaderBytes      = 60_000
	heldPlainHeaderBytes = 900_000
	// moreThanFiles is a number of connections above the descriptors of the node.
	moreThanFiles = attackedMaxFiles + attackedMaxFiles/8
)

const (
	requestStart  = "GET " + keyPrefix + "1 HTTP/1.1\r\nHost: " + attackedHost + "\r\n"
	openPostStart = "POST " + openPrefix + "1 HTTP/1.1\r\nHost: " + attackedHost + "\r\n"
	keyPostStart  = "POST " + keyPrefix + "1 HTTP/1.1\r\nHost: " + attackedHost + "\r\n"
)

// incompleteHeader sends a header of the size in one field, without its end.
func incompleteHeader(size int) func(c *hostileClient) {
	text := requestStart + "X-Filler: " + strings.Repeat("a", size)
	return func(c *hostileClient) { c.send(text) }
}

// manyFields returns a header of the size in short fields with different names, which take far more memory than bytes.
func manyFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "x%x: a\r\n", i)
	}
	return b.String()
}

func incompleteFields(size int) func(c *hostileClient) {
	text := requestStart + manyFields(size)
	return func(c *hostileClient) { c.send(text) }
}

// completeHeaderWithoutBody sends a whole header of the size, in short fields, and nothing of the body that it announces.
func completeHeaderWithoutBody(size int) func(c *hostileClient) {
	text := openPostStart + manyFields(size) + "Content-Length: 100000\r\n\r\n"
	return func(c *hostileClient) { c.send(text) }
}

func endless(start, repeated string, pause time.Duration) func(c *hostileClient) {
	return func(c *hostileClient) {
		if c.send(start) {
			c.sendEndlessly(repeated, pause)
		}
	}
}

func silent(*hostileClient) {}

// unreadResponses sends requests without reading the responses.
func unreadResponses(path string) func(c *hostileClient) {
	var id atomic.Int64
	return func(c *hostileClient) {
		for c.ctx.Err() == nil {
			if !c.send(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: unread-%d\r\n\r\n", path, attackedHost, id.Add(1))) {
				return
			}
		}
	}
}

// Guards against a client outside the limits that makes a node exit, exceed its memory or its descriptors, or stop answering
// ordinary requests. The node is built without the race detector, because its memory is judged. The crowds and the bounds were
// fixed before the limits on connections existed.
func TestHostileClientsDoNotHarmNodes(t *testing.T) {
	const (
		fillBytes = 64_000
		slow      = 20 * time.Millisecond
	)
	fill := strings.Repeat("a", fillBytes)
	const chunked = openPostStart + "Transfer-Encoding: chunked\r\n\r\n"
	for name, a := range map[string]crowd{
		"entry header over the limit": {
			listener: "entry", clients: 400,
			behave: endless(requestStart, "X-A: "+fill+"\r\n", 0),
		},
		"entry headers under the limit": {
			listener: "entry", clients: 1500,
			behave: incompleteHeader(heldHeaderBytes),
		},
		"entry many short fields under the limit": {
			listener: "entry", clients: 400,
			behave: incompleteFields(heldHeaderBytes),
		},
		"entry whole headers without bodies": {
			listener: "entry", clients: 400,
			behave: completeHeaderWithoutBody(heldHeaderBytes),
		},
		"entry endless header fast": {
			listener: "entry", clients: 400,
			behave: endless(requestStart, "X-A: a\r\n", 0),
		},
		"entry endless header slow": {
			listener: "entry", clients: 400,
			behave: endless(requestStart, "a", slow),
		},
		"entry empty lines before request": {
			listener: "entry", clients: 400,
			behave: endless("", "\r\n\r\n", 0),
		},
		"entry empty lines between": {
			listener: "entry", clients: 400,
			behave: endless(keyPostStart+"\r\n", "\r\n\r\n", 0),
		},
		"entry body that never arrives": {
			listener: "entry", clients: moreThanFiles,
			behave: endless(openPostStart+"Content-Length: 900000\r\n\r\n", "", time.Second),
		},
		"entry body without key": {
			listener: "entry", clients: moreThanFiles,
			behave: endless(keyPostStart+"Content-Length: 100\r\n\r\n", "", time.Second),
		},
		"entry body that never ends": {
			listener: "entry", clients: 200,
			behave: endless(chunked, "fa00\r\n"+fill+"\r\n", 0),
		},
		"entry endless chunk extension": {
			listener: "entry", clients: 200,
			behave: endless(chunked+"1;", fill, 0),
		},
		"entry endless trailer": {
			listener: "entry", clients: 200,
			behave: endless(chunked+"0\r\n", "X-A: "+fill+"\r\n", 0),
		},
		"entry silent connections": {
			listener: "entry", clients: moreThanFiles,
			behave: silent,
		},
		"entry unread responses": {
			listener: "entry", clients: 400, smallBuffer: true,
			behave: unreadResponses(openPrefix + "1"),
		},
		"peer headers under the limit": {
			listener: "peer", clients: 1500,
			behave: incompleteHeader(heldHeaderBytes),
		},
		"peer many short fields": {
			listener: "peer", clients: 400,
			behave: incompleteFields(heldHeaderBytes),
		},
		"peer silent connections": {
			listener: "peer", clients: moreThanFiles,
			behave: silent,
		},
		"readiness headers under the limit": {
			listener: "readiness", clients: 200,
			behave: incompleteHeader(heldPlainHeaderBytes),
		},
		"readiness endless header": {
			listener: "readiness", clients: 400,
			behave: endless(requestStart, "X-A: "+fill+"\r\n", 0),
		},
		"readiness silent connections": {
			listener: "readiness", clients: moreThanFiles,
			behave: silent,
		},
		"readiness body that never arrives": {
			listener: "readiness", clients: moreThanFiles,
			behave: endless(keyPostStart+"Content-Length: 100\r\n\r\n", "", time.Second),
		},
		"operator headers under the limit": {
			listener: "operator", clients: 200,
			behave: incompleteHeader(heldPlainHeaderBytes),
		},
		"operator silent connections": {
			listener: "operator", clients: moreThanFiles,
			behave: silent,
		},
		"operator unread responses": {
			listener: "operator", clients: 400, smallBuffer: true,
			behave: unreadResponses("/debug/vars"),
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := startAttackedNode(t)
			n.attack(t, a)
			n.awaitAnswer(t)
			assert.Assert(t, n.alive())
			memory, files := n.peakMemoryBytes(t), n.peakFiles.Load()
			t.Logf("peak resident memory %.1f MB, most open descriptors %d", float64(memory)/bytesPerMB, files)
			assert.Check(t, memory <= attackedMemoryMB*bytesPerMB, "peak resident memory is %.1f MB", float64(memory)/bytesPerMB)
			assert.Check(t, files <= attackedMaxFiles, "%d descriptors were open", files)
		})
	}
}
