package mesh

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"coltsfootusher.example/coltsfootd/memlimit"
	"coltsfootusher.example/coltsfootd/peers"
)

const (
	// messageWeight is the memory that a byte of a message takes while it is read and decoded.
	messageWeight = 3
	// maxMessageMemory and messageMemoryShare limit the memory for all messages that arrive at a time: to one of the largest, and
	// in small processes to a share of their memory.
	maxMessageMemory   = messageWeight * peers.MaxMessageBytes
	messageMemoryShare = 0.08
	// exemptMessageMemory is the memory of each message that is not accounted, so that short ones don't depend on long ones.
	exemptMessageMemory = 8 << 10
)

// errMessageMemory is the error of a message that takes the most memory of those that arrive, when there is no more.
var errMessageMemory = errors.New("no memory is left for the message")

// limitMessages bounds the memory of the messages between nodes that arrive at a time. Anyone can send such messages.
func limitMessages(handler http.Handler, budget *memlimit.Budget) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			handler.ServeHTTP(w, r)
			return
		}
		m := &messageBody{ReadCloser: r.Body, control: http.NewResponseController(w)}
		m.hold = budget.NewHold(m)
		defer m.end()
		r.Body = m
		handler.ServeHTTP(w, r)
	})
}

// messageBody accounts for the bytes of a message.
type messageBody struct {
	io.ReadCloser
	control *http.ResponseController
	hold    memlimit.Hold
	size    int64

	mu    sync.Mutex
	ended bool
}

// Read reads a part of the message.
func (m *messageBody) Read(p []byte) (int, error) {
	n, err := m.ReadCloser.Read(p)
	m.size += int64(n)
	if !m.hold.Grow(messageWeight * m.size) {
		return 0, errMessageMemory
	}
	return n, err
}

// Evict ends a Read that waits for the rest of the message.
func (m *messageBody) Evict() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.ended {
		_ = m.control.SetReadDeadline(time.Unix(1, 0)) // The message ends with its own timeout otherwise.
	}
}

// end returns the memory. The connection may serve another request afterwards.
func (m *messageBody) end() {
	m.mu.Lock()
	m.ended = true
	m.mu.Unlock()
	m.hold.Close()
}
