package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"coltsfootusher.example/core/clock"
)

const (
	dialTimeout = time.Second
	// idleTimeout is below the usual keep-alive timeouts of servers, so that the client closes idle connections first.
	idleTimeout = 30 * time.Second
)

// New returns a transport with at most connections connections per host; 0 means no limit. It dials from the source
// address if that is valid and specified.
func New(source netip.Addr, connections, idleConnections int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if source.IsValid() && !source.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// NewRequest returns a request that the transport sends at most once.
//
// net/http retries GET, HEAD, OPTIONS and TRACE requests, and requests with an Idempotency-Key header, if a reused
// connection breaks before the first byte of the response. Such a retry would not be counted as one and would run an
// operation twice. A body without GetBody prevents it. For other methods GetBody stays set, because then net/http
// retries a request only if none of it was written.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.GetBody = nil
	}
	return r, nil
}

// SetHeader copies header to the request, except for the headers that allow net/http to retry it.
func SetHeader(r *http.Request, header http.Header) {
	for name, values := range header {
		if name != "Idempotency-Key" && name != "X-Idempotency-Key" {
			r.Header[name] = values
		}
	}
}

// IsDialError reports whether err is a failure to open a connection, so that no part of the request was sent.
func IsDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// Remaining returns the time until the deadline of ctx, or fallback if it has none.
func Remaining(ctx context.Context, fallback clock.Millis) clock.Millis {
	deadline, ok := ctx.Deadline()
	if !ok {
		return fallback
	}
	return clock.FromDuration(time.Until(deadline))
}
