package target

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answer is the body of a complete response. It contains what a caller needs to recognise its own request.
type Answer struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	Method  string `json:"method"`
	// Path is the path with the query.
	Path     string `json:"path"`
	Token    string `json:"token"`
	BodyHash string `json:"bodyHash"`
	// Planned is the number of inner calls that the answer needs.
	Planned int      `json:"planned"`
	Inner   []Answer `json:"inner,omitempty"`
}

// HashBody returns the hash by which answers and journals identify a body.
func HashBody(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// ParseAnswer decodes a response body.
func ParseAnswer(data []byte) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return Answer{}, Error.New("answer is not complete JSON: %v", err)
	}
	return a, nil
}

// Verify reports why the answer is not the whole answer to the request, or nil.
func (a Answer) Verify(method, path, token string, body []byte) error {
	if a.Method != method || a.Path != path {
		return Error.New("answer is for %s %s, asked %s %s", a.Method, a.Path, method, path)
	}
	if hash := HashBody(body); a.BodyHash != hash {
		return Error.New("answer is for the body %s, sent %s", a.BodyHash, hash)
	}
	return a.verifyChain(token)
}

func (a Answer) verifyChain(token string) error {
	if a.Token != token {
		return Error.New("answer of %s is for the token %q, sent %q", a.Service, a.Token, token)
	}
	if len(a.Inner) != a.Planned {
		return Error.New("answer of %s has %d of %d inner answers", a.Service, len(a.Inner), a.Planned)
	}
	for _, inner := range a.Inner {
		if err := inner.verifyChain(token); err != nil {
			return err
		}
	}
	return nil
}

// Fault is the misbehaviour that a request asks for.
type Fault string

// The faults.
const (
	NoFault Fault = ""
	// Crash ends the process in the middle of the execution.
	Crash Fault = "crash"
	// Late ignores cancellation and deadline and answers after Settings.LateMs.
	Late Fault = "late"
	// Truncated closes the connection before the announced length is reached.
	Truncated Fault = "truncated"
	// TruncatedChunked closes the connection before the last chunk.
	TruncatedChunked Fault = "truncatedChunked"
	// Crossed sends the answer of an earlier request with that request's id.
	Crossed Fault = "crossed"
	// Instant takes a slot but skips the service time and the inner calls, so that only the path to the target counts.
	Instant Fault = "instant"
	// Duplicated sends the answer twice on the connection.
	Duplicated Fault = "duplicated"
)

const faultMark = "standin-fault="

// faultAt returns the fault that acts at the service and the mark, if any, to pass on to inner calls.
func faultAt(text, service string) (Fault, string) {
	_, rest, found := strings.Cut(text, faultMark)
	if !found {
		return NoFault, ""
	}
	end := strings.IndexFunc(rest, func(r rune) bool {
		return r != '@' && r != '-' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end >= 0 {
		rest = rest[:end]
	}
	kind, where, remote := strings.Cut(rest, "@")
	if remote && where != service {
		return NoFault, faultMark + rest
	}
	return Fault(kind), ""
}
