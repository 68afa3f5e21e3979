package upstream

import "github.com/zeebo/errs"

// Error is the class of errors of this package.
var Error = errs.Class("upstream")

// ErrResponseTooLarge means that the receiver sent more than a response may contain: endless headers, endless informational
// responses, or a long response to another request.
var ErrResponseTooLarge = Error.New("the response is too large")

// ErrWithdrawn means that a request was not sent because its epoch is over.
var ErrWithdrawn = Error.New("the request was withdrawn before it was sent")

// ErrInvalidStatus means that the status of a response is not one of 100 to 599 in three digits.
var ErrInvalidStatus = Error.New("the status of the response is invalid")

// RequestError is the error of a request with what is known about the request.
type RequestError struct {
	// Sent is true if a part of the request may have reached the receiver.
	Sent bool
	// Reused is true if the request was sent on a connection that had served another one.
	Reused bool
	// Unreachable is true if no connection could be opened.
	Unreachable bool
	Err         error
}

// Error returns the text of the underlying error.
func (e *RequestError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *RequestError) Unwrap() error {
	return e.Err
}
