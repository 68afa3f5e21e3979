package upstream

import "github.com/zeebo/errs"

// Error is the class of errors of this package.
var Error = errs.Class("upstream")

// ErrResponseTooLarge means that the receiver sent more than a response may have: a head without end, informational responses
// without end, or a long response to another request.
var ErrResponseTooLarge = Error.New("the response is oversized")

// RequestError is an error with what it proves about the request.
type RequestError struct {
	// Sent is true if a part of the request may have reached the receiver.
	Sent bool
	// Reused is true if the request was sent on a connection that had served another one.
	Reused bool
	// Unreachable is true if no connection could be opened.
	Unreachable bool
	Err         error
}

// Error returns the text of the cause.
func (f *RequestError) Error() string {
	return f.Err.Error()
}

// Unwrap returns the cause.
func (f *RequestError) Unwrap() error {
	return f.Err
}
