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
	// memoryShare is the part of the process's memory that bodies may use. The rest serves connections, responses and the
	// garbage that the collector has not freed yet.
	memoryShare = 0.2
	// initialBytes is the memory that a body gets at first; most are shorter. More is allocated as the bytes arrive.
	initialBytes = 16 << 10
	bytesPerMB   = 1e6
)

// Error is the class of errors of this package.
var Error = errs.Class("body")

var (
	// ErrTooLarge means that the body is longer than its limit.
	ErrTooLarge = Error.New("body is too large")
	// ErrMemoryExhausted means that the bodies of other requests use up the memory.
	ErrMemoryExhausted = Error.New("no memory is left for the body")
)

// Budget bounds the memory of all bodies that are held at a time. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget for a process with an amount of memory; 0 means no bound.
func NewBudget(memoryMB float64) *Budget {
	return &Budget{limit: int64(memoryMB * bytesPerMB * memoryShare)}
}

// Body is a body that was read.
type Body struct {
	Bytes    []byte
	budget   *Budget
	reserved int64
}

// Release gives the memory back; Bytes must not be used afterwards. A nil body holds none.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.budget.used.Add(-b.reserved)
	b.reserved = 0
}

// Read reads from r to its end. length is the announced length, negative if unknown, and limit the longest that is allowed.
// The error is ErrTooLarge, ErrMemoryExhausted or that of r; nothing is held then. A body without room is read to its end and
// dropped, because a connection that is closed with unread bytes is reset, and the sender never learns that nothing was run.
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
		if _, broken := io.Copy(io.Discard, io.LimitReader(r, limit)); broken != nil {
			err = broken
		}
	}
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// Reason says why a request with that error of Read is refused; ctx is the request's.
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

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	return b.used.Load()
}

// Publish makes the count visible among the metrics.
func (b *Budget) Publish(metrics *expvar.Map) {
	metrics.Set("bodyBytes", expvar.Func(func() any { return b.Used() }))
}

func (b *Body) readAll(r io.Reader, length, limit int64) error {
	if length > 0 {
		limit = length
	}
	// One byte more than the limit leaves room to see the end.
	most := limit + 1
	// An announced length is reserved at once: bodies that grow side by side would all end without room.
	if length > 0 && !b.reserve(most) {
		return ErrMemoryExhausted
	}
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			if err := b.grow(most); err != nil {
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

// grow doubles the memory of the body, up to most bytes.
func (b *Body) grow(most int64) error {
	size := min(max(2*int64(cap(b.Bytes)), initialBytes), most)
	if !b.reserve(size) {
		return ErrMemoryExhausted
	}
	b.Bytes = append(make([]byte, 0, size), b.Bytes...)
	return nil
}

// reserve makes the body count for that many bytes, if it does not yet.
func (b *Body) reserve(bytes int64) bool {
	more := bytes - b.reserved
	if more <= 0 {
		return true
	}
	if used := b.budget.used.Add(more); b.budget.limit > 0 && used > b.budget.limit {
		b.budget.used.Add(-more)
		return false
	}
	b.reserved = bytes
	return true
}
