package message

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"coltsfootusher.example/coltsfootd/upstream"
)

// hopByHopHeaders belong to one connection (RFC 9110, section 7.6.1), or are set anew with each message.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// IsHopByHop reports whether the header with the canonical name belongs to one connection.
func IsHopByHop(name string) bool {
	return slices.Contains(hopByHopHeaders, name)
}

// RemoveHopByHopHeaders removes the headers that belong to one connection, including those named by Connection.
func RemoveHopByHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// maxReusedFields is the number of fields up to which the map of a header is used again. Maps don't shrink.
const maxReusedFields = 32

// TakeFields empties the header of a request and returns the fields that are passed on: those that don't belong to the connection
// and are not dropped by drop.
func TakeFields(r *http.Request, drop func(h http.Header)) upstream.Fields {
	received := len(r.Header)
	RemoveHopByHopHeaders(r.Header)
	r.Header.Del("Expect")
	drop(r.Header)
	fields := upstream.NewFields(r.Header)
	clear(r.Header)
	if received > maxReusedFields {
		r.Header = make(http.Header)
	}
	return fields
}

// DropTrailer drops the fields behind the body of a request, which are not passed on. They are known once the body has been read.
func DropTrailer(r *http.Request) {
	r.Trailer = nil
}

// HeldBytes returns the memory of a request whose header is held as fields. net/http keeps the request line and its parts.
func HeldBytes(r *http.Request, f upstream.Fields) int {
	const copiesOfURI = 2
	return f.Size() + copiesOfURI*len(r.RequestURI) + len(r.Host)
}

// WriteResponse forwards a response. If the rest of a large body can't be read, it aborts the connection, so that the receiver
// can't take the part for the whole.
func WriteResponse(w http.ResponseWriter, r *upstream.Response) {
	defer r.Close()
	RemoveHopByHopHeaders(r.Header)
	header := w.Header()
	for name, values := range r.Header {
		header[name] = values
	}
	if _, given := header["Date"]; !given {
		header["Date"] = nil
	}
	if _, given := header["Content-Type"]; !given {
		// Without this net/http would guess the content type.
		header["Content-Type"] = nil
	}
	switch {
	case r.Unbuffered == nil && bodyAllowed(r.Status):
		header.Set("Content-Length", strconv.Itoa(len(r.Body)))
	case r.ContentLength >= 0:
		header.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	w.WriteHeader(r.Status)
	if _, err := w.Write(r.Body); err != nil || r.Unbuffered == nil {
		return
	}
	if _, err := io.Copy(w, r.Unbuffered); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
