package upstream

import (
	"net/http"
	"strings"
)

// fieldOverhead is the number of bytes around the name and the value of a field: a colon, a space and the line end.
const fieldOverhead = len(": \r\n")

// newlineReplacer keeps a value from ending its header, as http.Header.Write does.
var newlineReplacer = strings.NewReplacer("\n", " ", "\r", " ")

// Fields are the header fields of a message as they are sent. A header of many short fields takes far less memory in this form
// than in an http.Header.
type Fields struct {
	wire []byte
}

// NewFields returns the fields of a header, whose names and values were checked by the server that received them.
func NewFields(h http.Header) Fields {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	wire := make([]byte, 0, size)
	for name, values := range h {
		for _, value := range values {
			wire = append(wire, name...)
			wire = append(wire, ": "...)
			wire = append(wire, newlineReplacer.Replace(value)...)
			wire = append(wire, "\r\n"...)
		}
	}
	return Fields{wire: wire}
}

// Size returns the memory of the fields in bytes.
func (f Fields) Size() int {
	return cap(f.wire)
}
