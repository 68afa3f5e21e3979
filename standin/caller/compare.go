package caller

import (
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/standin/journal"
)

// Comparison is what the targets' journals say about the records of once-only operations.
type Comparison struct {
	// Duplicates are the executions of once-only requests that began more than once, as "SERVICE PATH TOKEN".
	Duplicates []string `json:"duplicates,omitempty"`
	// FalseNotRun are the tokens of operations whose caller was told notRun although they began.
	FalseNotRun []string `json:"falseNotRun,omitempty"`
	// FalseDone are the tokens of operations whose caller was told done although no execution was answered.
	FalseDone []string `json:"falseDone,omitempty"`
}

// OK reports whether nothing contradicts the journals.
func (c Comparison) OK() bool {
	return len(c.Duplicates)+len(c.FalseNotRun)+len(c.FalseDone) == 0
}

type executionKey struct {
	service, path, token string
}

// Compare checks the operations of a load against the journals of all targets. The function onceOnly tells which
// requests must not run twice, inner ones included. It needs entries with tokens that no other load has used.
func Compare(operations []Operation, entries []journal.Entry, onceOnly func(path string) bool) Comparison {
	var c Comparison
	starts := make(map[executionKey]int)
	began := make(map[string]bool)
	answered := make(map[string]bool)
	for _, e := range entries {
		root := e.Path + " " + e.Token
		switch e.Event {
		case journal.End:
			answered[root] = answered[root] || e.Outcome == journal.Answered
		case journal.Start:
			began[root] = true
			key := executionKey{e.Service, e.Path, e.Token}
			starts[key]++
			if starts[key] == 2 && onceOnly(e.Path) {
				c.Duplicates = append(c.Duplicates, e.Service+" "+root)
			}
		}
	}
	for _, o := range operations {
		root := o.Path + " " + o.Token
		if o.Told(string(call.OutcomeNotRun)) && began[root] {
			c.FalseNotRun = append(c.FalseNotRun, o.Token)
		}
		if o.Told(string(call.OutcomeDone)) && toldAnswer(o) && !answered[root] {
			c.FalseDone = append(c.FalseDone, o.Token)
		}
	}
	return c
}

// toldAnswer reports whether the caller got a complete answer, as done may also come with a target's error.
func toldAnswer(o Operation) bool {
	for _, a := range o.Attempts {
		if a.Verdict == Complete {
			return true
		}
	}
	return false
}
