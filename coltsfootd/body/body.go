package body

import (
	"context"
	"errors"
	"expvar"
	"io"
	"os"
	"sync/atomic"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/call"
)

const (
	// memoryShare is the fraction of the process's memory that bodies may use. The rest is for connections, responses and garbage
	// that has not been collected yet.
	memoryShare = 0.2
	// initialBytes is the size of the first buffer of a body; most bodies are shorter. The buffer grows as bytes arrive.
	initialBytes = 16 << 10
	bytesPerMB   = 1e6
)

// Error is the class of errors of this package.
var Error = errs.Class("body")

var (
	// ErrTooLarge means that the body is longer than its limit.
	ErrTooLarge = Error.New("body is too large")
	// ErrMemoryExhausted means that the bodies of other requests use up the memory for bodies.
	ErrMemoryExhausted = Error.New("no memory is left for the body")
)

// Budget limits the memory of all bodies that are in use at a time. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget for a process with the given memory; 0 means no limit.
func NewBudget(memoryMB float64) *Budget {
	return &Budget{limit: int64(memoryMB * bytesPerMB * memoryShare)}
}

// Body is a request body that was read into memory.
type Body struct {
	Bytes    []byte
	budget   *Budget
	reserved int64
}

// Release returns the memory to the budget. Bytes must not be used afterwards. A nil body holds no memory.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.budget.used.Add(-b.reserved)
	b.reserved = 0
}

// Read reads r to its end. length is the announced length, negative if unknown, and limit the longest permitted one. The error is
// ErrTooLarge, ErrMemoryExhausted or that of r, and no memory is held then. A body for which no memory is left is read to its end
// and discarded, because closing a connection with unread bytes resets it, and the sender would not learn that its request was
// not run.
func (b *Budget) Read(r io.Reader, length, limit int64) (*Body, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	body := &Body{budget: b}
	if length == 0 {
		return body, nil
	}
	err := body.readAll(r, length, limit)
	if errors.Is(err, ErrMemoryExhausted) {
		if _, readErr := io.Copy(io.Discard, io.LimitReader(r, limit)); readErr != nil {
			err = readErr
		}
	}
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// Reason returns the reason for refusing a request for which Read returned err. ctx is the context of the request.
func Reason(ctx context.Context, err error) call.Reason {
	switch {
	case errors.Is(err, ErrTooLarge):
		return call.ReasonBodyTooLarge
	case errors.Is(err, ErrMemoryExhausted):
		return call.ReasonOverloaded
	case errors.Is(err, os.ErrDeadlineExceeded):
		return call.ReasonDeadlineExceeded
	case ctx.Err() != nil || errors.Is(err, io.ErrUnexpectedEOF):
		return call.ReasonCallerGone
	default:
		return call.ReasonMalformedRequest
	}
}

// TryReserve reserves memory for a part of a body that is held elsewhere, and reports whether there is enough. It must be
// returned with Return.
func (b *Budget) TryReserve(size int64) bool {
	for {
		used := b.used.Load()
		if b.limit > 0 && used+size > b.limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+size) {
			return true
		}
	}
}

// Return returns reserved memory.
func (b *Budget) Return(size int64) {
	b.used.Add(-size)
}

// Limit returns the memory for all bodies in bytes; 0 means no limit.
func (b *Budget) Limit() int64 {
	return b.limit
}

// Used returns the number of bytes that are reserved for bodies.
func (b *Budget) Used() int64 {
	return b.used.Load()
}

// Publish exports the number of reserved bytes as the metric with the name.
func (b *Budget) Publish(metrics *expvar.Map, name string) {
	metrics.Set(name, expvar.Func(func() any { return b.Used() }))
}

func (b *Body) readAll(r io.Reader, length, limit int64) error {
	if length > 0 {
		limit = length
	}
	// One byte beyond the limit is needed to detect the end of the body.
	maxBytes := limit + 1
	// An announced length is reserved at once. Otherwise bodies that grow at the same time could use up the memory before any of
	// them is complete.
	if length > 0 && !b.reserve(maxBytes) {
		return ErrMemoryExhausted
	}
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			if err := b.grow(maxBytes); err != nil {
				return err
			}
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		switch {
		case int64(len(b.Bytes)) > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow doubles the buffer of the body, up to maxBytes.
func (b *Body) grow(maxBytes int64) error {
	size := min(max(2*int64(cap(b.Bytes)), initialBytes), maxBytes)
	if !b.reserve(size) {
		return ErrMemoryExhausted
	}
	b.Bytes = append(make([]byte, 0, size), b.Bytes...)
	return nil
}

// reserve raises the memory reserved for the body to total, if it is less.
func (b *Body) reserve(total int64) bool {
	extra := total - b.reserved
	if extra <= 0 {
		return true
	}
	if !b.budget.TryReserve(extra) {
		return false
	}
	b.reserved = total
	return true
}
