package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

const (
	// statusOffset is the position of the status in a status line with the usual version and one space.
	statusOffset = len("HTTP/1.1 ")
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
)

// checkStatusLine returns ErrInvalidStatus as soon as the status of the next response has arrived and is invalid, so that the
// request doesn't wait for the rest of the headers. It leaves other lines than usual ones to http.ReadResponse.
func checkStatusLine(r *bufio.Reader) error {
	for size := 1; ; size = r.Buffered() + 1 {
		if _, err := r.Peek(size); errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
		line, _ := r.Peek(min(r.Buffered(), statusOffset+statusDigits))
		switch {
		case bytes.IndexByte(line, '\n') >= 0:
			return nil
		case len(line) == statusOffset+statusDigits:
			if line[statusOffset-1] == ' ' && line[statusOffset] != ' ' && !validStatus(line[statusOffset:]) {
				return ErrInvalidStatus
			}
			return nil
		}
	}
}

// validStatus reports whether the text is a status between 100 and 599 in three digits.
func validStatus[T string | []byte](text T) bool {
	if len(text) != statusDigits {
		return false
	}
	status := 0
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
		status = 10*status + int(text[i]-'0')
	}
	return status >= minStatus && status <= maxStatus
}

// statusText returns the text of the status in a status line without its version. http.ReadResponse accepts a sign in it.
func statusText(status string) string {
	text, _, _ := strings.Cut(status, " ")
	return text
}
