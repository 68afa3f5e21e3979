package journal

import (
	"bufio"
	"encoding/json"
	"errors"
	"io/fs"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors about journals.
var Error = errs.Class("journal")

// MaxEntries bounds the entries kept in memory. Later entries are only counted, and written to the file if there is one.
const MaxEntries = 500_000

const maxLineBytes = 1 << 20

// Event says which end of an execution an entry records.
type Event string

// The events.
const (
	Start Event = "start"
	End   Event = "end"
)

// Outcome says how an execution ended.
type Outcome string

// The outcomes of executions.
const (
	Answered Outcome = "answered"
	// Cancelled means that the caller disconnected or its deadline passed during the execution.
	Cancelled Outcome = "cancelled"
	// InnerFailed means that a call to a further service failed.
	InnerFailed Outcome = "innerFailed"
)

// Entry records the start or the end of one execution at a target.
type Entry struct {
	Event Event `json:"event"`
	// Execution numbers the executions of one target process; start and end have the same number.
	Execution   int64  `json:"execution"`
	Service     string `json:"service"`
	Target      string `json:"target"`
	RequestID   string `json:"requestId,omitempty"`
	OperationID string `json:"operationId,omitempty"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	// Token identifies the root request; targets pass it on to inner calls.
	Token    string `json:"token,omitempty"`
	BodyHash string `json:"bodyHash"`
	// Headers are all headers received, on the entry of the start only.
	Headers  http.Header `json:"headers,omitempty"`
	Outcome  Outcome     `json:"outcome,omitempty"`
	AtUnixMs int64       `json:"atUnixMs"`
}

// Journal is an append-only list of entries; it is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	entries []Entry
	omitted int64
	file    *os.File
}

// New returns a journal; with a file name it also appends each entry to that file as one line of JSON.
func New(fileName string) (*Journal, error) {
	j := &Journal{}
	if fileName == "" {
		return j, nil
	}
	file, err := os.OpenFile(fileName, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600) // #nosec G304 -- named by the operator
	if err != nil {
		return nil, Error.Wrap(err)
	}
	j.file = file
	return j, nil
}

// Append records an entry. It writes to the file before it returns, so that a start is on record before the
// execution begins; the page cache keeps the line when the process is killed.
func (j *Journal) Append(e Entry) error {
	e.AtUnixMs = time.Now().UnixMilli()
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.entries) < MaxEntries {
		j.entries = append(j.entries, e)
	} else {
		j.omitted++
	}
	if j.file == nil {
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = j.file.Write(append(line, '\n'))
	return Error.Wrap(err)
}

// Entries returns a copy of the entries kept in memory and the number of omitted ones.
func (j *Journal) Entries() ([]Entry, int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Entry{}, j.entries...), j.omitted
}

// Close closes the file.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return Error.Wrap(j.file.Close())
}

// ReadFile returns the entries of a journal file. A last line without its end is skipped, because the process
// may have been killed while it wrote the line. A file that does not exist has no entries.
func ReadFile(fileName string) ([]Entry, error) {
	file, err := os.Open(fileName) // #nosec G304 -- named by the caller
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer file.Close()
	var entries []Entry
	var pending error
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if pending != nil {
			return nil, pending
		}
		var e Entry
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			pending = Error.New("%s: line %d: %v", fileName, len(entries)+1, err)
			continue
		}
		entries = append(entries, e)
	}
	return entries, Error.Wrap(scanner.Err())
}

// Contains reports whether the path, a header or another field of the entry contains the text.
func (e Entry) Contains(text string) bool {
	if strings.Contains(e.Path, text) || strings.Contains(e.RequestID, text) || strings.Contains(e.OperationID, text) {
		return true
	}
	for _, values := range e.Headers {
		for _, value := range values {
			if strings.Contains(value, text) {
				return true
			}
		}
	}
	return false
}
