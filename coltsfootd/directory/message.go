package directory

import (
	"encoding/json"
	"io"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/evacuation"
	"coltsfootusher.example/core/history"
	"coltsfootusher.example/core/published"
	"coltsfootusher.example/core/roster"
	"coltsfootusher.example/core/vm"
)

// syncMessage is used for requests and replies. It states what the sender has and carries what the receiver lacks.
type syncMessage struct {
	From        string `json:"from,omitempty"`
	Incarnation uint64 `json:"incarnation,string,omitempty"`
	// PolicyVersion is that of the sender's policy, Epoch and Revision are the position of its list; 0 if it has none.
	PolicyVersion int64 `json:"policyVersion,omitempty"`
	Epoch         int64 `json:"epoch,omitempty"`
	Revision      int64 `json:"revision,omitempty"`
	// AgeMs is the age of the confirmation of the sender's policy, or -1 if it has none.
	AgeMs  clock.Millis      `json:"ageMs"`
	Policy *published.Policy `json:"policy,omitempty"`
	Roster *roster.Delta     `json:"roster,omitempty"`
	// ServingTarget is the id of the sender's target if it still serves although its entry has vanished from the list.
	ServingTarget string `json:"vouched,omitempty"`
	// Evacuations are the evacuated failure domains that the sender knows; nil if it doesn't follow them.
	Evacuations *evacuation.Snapshot `json:"evacuations,omitempty"`
}

// Validate returns an error if a field has a value that no node sends.
func (m syncMessage) Validate() error {
	switch {
	case m.PolicyVersion < 0 || !m.position().Valid() || m.AgeMs < -1:
		return Error.New("message has a negative version, revision or age")
	case m.Policy != nil && m.Policy.Version <= 0:
		return Error.New("message has a policy without a version")
	case m.Evacuations != nil && m.Evacuations.Validate() != nil:
		return Error.Wrap(m.Evacuations.Validate())
	case m.Roster == nil:
		return nil
	case !m.Roster.Position().Valid() || !m.Roster.Base().Valid() || m.Roster.LapseGraceMs < 0:
		return Error.New("message has a list with a negative revision or time")
	}
	for _, c := range m.Roster.Changes {
		if c.Name == "" || c.Revision <= 0 || c.Epoch < 0 || c.VM != nil && !describes(*c.VM, c.Name) {
			return Error.New("message has the incomplete entry %q", c.Name)
		}
	}
	return nil
}

// position returns the position of the sender's list.
func (m syncMessage) position() history.Position {
	return history.Position{Epoch: m.Epoch, Revision: m.Revision}
}

// describes reports whether v is complete and has the name.
func describes(v vm.VM, name string) bool {
	return v.Name == name && v.Service != "" && v.Slots >= 0
}

// decodeMessage decodes and validates a message from another node.
func decodeMessage(r io.Reader) (syncMessage, error) {
	var m syncMessage
	if err := json.NewDecoder(r).Decode(&m); err != nil {
		return m, Error.Wrap(err)
	}
	return m, m.Validate()
}

// LeaveMessage announces that a node accepts no new work.
type LeaveMessage struct {
	From        string `json:"from"`
	Incarnation uint64 `json:"incarnation,string"`
	// AnswersForMs is the time for which the node still passes on responses to its callers, or 0 if it doesn't say.
	AnswersForMs clock.Millis `json:"answersForMs,omitempty"`
}

// Validate returns an error if a field has a value that no node sends.
func (m LeaveMessage) Validate() error {
	if m.From == "" || m.Incarnation == 0 || m.AnswersForMs < 0 {
		return Error.New("leave message lacks a sender or has a negative time")
	}
	return nil
}
