package mesh

import (
	"net"
	"net/http"
	"time"

	"coltsfootusher.example/coltsfootd/connlimit"
)

const (
	// unknownHeaderBytes limits the headers of callers while no limit is published, and those of other nodes at least.
	unknownHeaderBytes = 64 << 10
	// largestHeaderBytes limits headers whatever is published.
	largestHeaderBytes = 1 << 20
	// headerSlackBytes is added to the published limit, which doesn't say whether it includes the request line.
	headerSlackBytes = 4 << 10
	// nodeHeaderFactor and nodeHeaderBytes allow for what nodes add to the headers of callers: line ends and spaces in each line,
	// and fields of their own.
	nodeHeaderFactor = 2
	nodeHeaderBytes  = 8 << 10
	// plainHeaderBytes limits the headers of readiness probes and of operators' requests. net/http allows 4 KB more.
	plainHeaderBytes = 4 << 10
	// unreadBodyTimeout limits the time for a body that a handler does not read. net/http reads up to 256 KB of it before it sends
	// the response, without a limit of time of its own.
	unreadBodyTimeout = 5 * time.Second
	// bytesPerConnection is the memory of a connection with a small request, memoryShareOfConnections the part of the memory that
	// the connections at all addresses may use. 2,300 connections took 8 KB each without a request and 22 KB each with one.
	bytesPerConnection       = 22 << 10
	memoryShareOfConnections = 0.5
	// probeDivisor limits the connections at the readiness and the operator address in processes with few descriptors.
	probeDivisor = 16
)

// The names of the listeners in metrics and log lines.
const (
	entryListener     = "entry"
	peerListener      = "peer"
	readinessListener = "readiness"
	operatorListener  = "operator"
)

var listenerNames = []string{entryListener, peerListener, readinessListener, operatorListener}

// limitClients limits the connections at the address with the name.
func (n *Node) limitClients(name string, l net.Listener) net.Listener {
	return n.clients.Listen(name, l, n.clientLimits(name))
}

func (n *Node) clientLimits(name string) connlimit.Limits {
	s := n.settings
	switch name {
	case entryListener:
		return connlimit.Limits{
			Connections: n.connectionLimit(s.EntryConnectionShare), HeaderBytes: n.headerMemory(), MaxHeader: n.callerHeaderLimit,
		}
	case peerListener:
		return connlimit.Limits{
			Connections: n.connectionLimit(s.PeerConnectionShare), HeaderBytes: n.headerMemory() / peerHeaderDivisor,
			MaxHeader: n.nodeHeaderLimit,
		}
	default:
		return connlimit.Limits{
			Connections: min(s.ProbeConnections, n.sockets.Share(1.0/probeDivisor)), HeaderBytes: n.headerMemory() / plainHeaderDivisor,
		}
	}
}

// callerHeaderLimit returns the largest header of a caller, in bytes. The limit that was published last stays in force while the
// platform can't be reached.
func (n *Node) callerHeaderLimit() int64 {
	published := n.publishedHeaderLimit()
	if published == 0 {
		return unknownHeaderBytes
	}
	return min(published+headerSlackBytes, largestHeaderBytes)
}

// nodeHeaderLimit returns the largest header of another node, in bytes. The other node may know a newer policy.
func (n *Node) nodeHeaderLimit() int64 {
	limit := nodeHeaderFactor*(n.publishedHeaderLimit()+headerSlackBytes) + nodeHeaderBytes
	return min(max(limit, unknownHeaderBytes), largestHeaderBytes)
}

// publishedHeaderLimit returns the published limit, or 0 if none is known.
func (n *Node) publishedHeaderLimit() int64 {
	v := n.directory.View()
	if v == nil {
		return 0
	}
	return max(0, int64(v.Bounds.MaxHeaderBytes))
}

// connectionLimit returns the number of connections in a share of the descriptors and of the memory for connections.
func (n *Node) connectionLimit(share float64) int {
	limit := n.sockets.Share(share)
	if bytes := n.settings.MemoryMB * bytesPerMB * memoryShareOfConnections; bytes > 0 {
		limit = min(limit, int(share*bytes/bytesPerConnection))
	}
	return limit
}

// limitRequests limits the time for bodies that handler does not read, and closes connections after their responses while l is
// nearly full.
func limitRequests(handler http.Handler, l net.Listener) http.Handler {
	limited, _ := l.(*connlimit.Listener)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limited != nil && limited.NearlyFull() {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength != 0 {
			if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// newPlainServer returns a server for small requests without a key. Its connections are closed at once when the node stops.
func newPlainServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: plainHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: unreadBodyTimeout,
		IdleTimeout: idleTimeout,
		ConnState: func(c net.Conn, state http.ConnState) {
			if limited, ok := c.(*connlimit.Conn); ok {
				limited.SetState(state)
			}
		},
	}
}
