package upstream

import (
	"net"

	"coltsfootusher.example/coltsfootd/header"
	"coltsfootusher.example/coltsfootd/memlimit"
)

// responseHeader accounts for the header of a response while it arrives on a connection.
type responseHeader struct {
	budget *memlimit.Budget
	conn   net.Conn
	// reading is true while a header arrives.
	reading bool
	scanner header.Scanner
	hold    *memlimit.Hold
}

// Evict closes the connection because its header takes the most memory of those that are incomplete.
func (h *responseHeader) Evict() {
	_ = h.conn.Close()
}

// begin starts the next header, which may follow one that was skipped.
func (h *responseHeader) begin() {
	h.drop()
	h.reading = h.budget != nil
	h.scanner.Reset()
}

// read accounts for a part of the header and reports whether there is memory for it.
func (h *responseHeader) read(p []byte) bool {
	if !h.reading {
		return true
	}
	h.scanner.Scan(p)
	weight := h.scanner.Weight()
	if h.budget.Exempts(weight) {
		return true
	}
	if h.hold == nil {
		hold := h.budget.NewHold(h)
		h.hold = &hold
	}
	return h.hold.Grow(weight)
}

// evicted reports whether the connection was closed for the memory of the header.
func (h *responseHeader) evicted() bool {
	return h.reading && h.hold != nil && h.hold.Evicted()
}

// end ends the header, whose memory stays accounted. net/http copies it once more when the response is passed on.
func (h *responseHeader) end() {
	const copies = 2
	h.reading = false
	if h.hold != nil {
		h.hold.Keep(copies * h.scanner.Weight())
	}
}

// take passes on the memory of the last header.
func (h *responseHeader) take() heldHeader {
	held := heldHeader{hold: h.hold}
	h.hold = nil
	return held
}

// drop returns the memory of a header that is not used.
func (h *responseHeader) drop() {
	held := h.take()
	held.Close()
}

// heldHeader is the memory of the header of a response; it may be empty.
type heldHeader struct {
	hold *memlimit.Hold
}

// Close returns the memory.
func (h *heldHeader) Close() {
	if h.hold != nil {
		h.hold.Close()
		h.hold = nil
	}
}
