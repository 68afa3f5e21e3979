package upstream

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
)

// Request is an HTTP request. The URI is sent unchanged.
type Request struct {
	Method string
	URI    string
	Host   string
	// Fields are header fields that are passed on unchanged. They may be shared by requests to several receivers.
	Fields Fields
	// Header contains further header fields, with other names.
	Header http.Header
	// Extra is sent besides Fields and Header and replaces a field of Header with its name. It is not sent if its name is empty.
	Extra HeaderField
	// Echo is the value that the receiver repeats in its response, if it is not in Header.
	Echo string
	Body []byte
	// NewConn makes the pool open a connection. It is needed if the same request has been sent to the receiver before: a late copy
	// of the earlier response has the same id as the response to this one.
	NewConn bool
	// Epoch is compared with that of Withdraw before the request is sent.
	Epoch uint64
}

// HeaderField is a header with one value. Its name is canonical.
type HeaderField struct {
	Name, Value string
}

// write sends the request. Its header must not contain hop-by-hop headers.
func (r *Request) write(w *bufio.Writer) error {
	// bufio.Writer keeps its first error and returns it from Flush.
	_, _ = w.WriteString(r.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.URI)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(r.Host)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Fields.wire)
	r.writeHeader(w)
	if len(r.Body) > 0 || sendsContentLength(r.Method) {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.Itoa(len(r.Body)))
		_, _ = w.WriteString("\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	return w.Flush()
}

// writeHeader writes the headers in no particular order. Unlike http.Header.Write it neither sorts them nor checks their names,
// which are constants.
func (r *Request) writeHeader(w *bufio.Writer) {
	for name, values := range r.Header {
		if name == r.Extra.Name {
			continue
		}
		for _, value := range values {
			writeHeaderField(w, HeaderField{Name: name, Value: value})
		}
	}
	if r.Extra.Name != "" {
		writeHeaderField(w, r.Extra)
	}
}

func writeHeaderField(w *bufio.Writer, f HeaderField) {
	_, _ = w.WriteString(f.Name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(newlineReplacer.Replace(f.Value))
	_, _ = w.WriteString("\r\n")
}

// sendsContentLength reports whether requests with the method announce the length of their body even if it is zero.
func sendsContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// Response is a response with its whole body, or with the first part of a large body.
type Response struct {
	// Reused is true if the connection had served another request.
	Reused bool
	Status int
	Header http.Header
	// Body is the whole body, or its first part if Unbuffered is set.
	Body []byte
	// Unbuffered reads the part of a large body that was not buffered. Closing it closes the connection.
	Unbuffered io.ReadCloser
	// ContentLength is the announced length of the body, or -1.
	ContentLength int64
	// memory is the budget from which reserved bytes were taken for the buffered part.
	memory   MemoryBudget
	reserved int64
	header   heldHeader
}

// Close closes the connection of a response whose body was not buffered whole, and returns the memory of the header and of the
// buffered part, which must not be used afterwards.
func (r *Response) Close() {
	r.header.Close()
	if r.Unbuffered != nil {
		_ = r.Unbuffered.Close()
	}
	if r.reserved > 0 {
		r.memory.Return(r.reserved)
		r.reserved = 0
	}
}

// ReadBody returns the whole body, including the part that was not buffered. The error is ErrResponseTooLarge if the body is
// longer than limit bytes.
func (r *Response) ReadBody(limit int64) ([]byte, error) {
	body := r.Body
	if r.Unbuffered != nil {
		rest, err := io.ReadAll(io.LimitReader(r.Unbuffered, max(0, limit-int64(len(body)))+1))
		if err != nil {
			return nil, err
		}
		body = append(body, rest...)
	}
	if int64(len(body)) > limit {
		return nil, ErrResponseTooLarge
	}
	return body, nil
}

// OnClose calls f after the unbuffered part of the body is closed, or at once if there is none.
func (r *Response) OnClose(f func()) {
	if r.Unbuffered == nil {
		f()
		return
	}
	r.Unbuffered = closeHook{r.Unbuffered, f}
}

type closeHook struct {
	io.ReadCloser
	after func()
}

// Close closes the body and then calls the hook.
func (c closeHook) Close() error {
	defer c.after()
	return c.ReadCloser.Close()
}
