package auth

import (
	"bytes"
	"io"
	"net/http"
)

// Transport signs the requests that it sends; it implements http.RoundTripper.
type Transport struct {
	Signer *Signer
	// Receiver is the name of the node that the requests are for.
	Receiver string
	Base     http.RoundTripper
}

// RoundTrip signs a copy of the request and sends it.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		body, err = io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	signed := r.Clone(r.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	// net/http calls GetBody only if no part of the request was written, so the nonce is not sent twice.
	signed.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	// The receiver needs none of these headers, and control traffic has a budget of 2 KB/s.
	signed.Header.Del("Accept")
	signed.Header.Del("Twirp-Version")
	signed.Header["User-Agent"] = nil
	if err := t.Signer.Sign(signed, t.Receiver, body); err != nil {
		return nil, err
	}
	return t.Base.RoundTrip(signed)
}
