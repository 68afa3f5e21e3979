package vm

import (
	"encoding/json"
	"net/netip"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/strictjson"
)

// Error is the class of errors about VMs.
var Error = errs.Class("vm")

// State says whether a VM gets new work.
type State string

// The states of a VM in the published list.
const (
	// Live VMs get new work.
	Live State = "live"
	// Leaving VMs finish their running work and get no new work.
	Leaving State = "leaving"
)

// VM is one machine with the target and the node that run on it.
type VM struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	Service       string `json:"service"`
	// PeerAddress is the IP address and port at which the VM's node listens for other nodes.
	PeerAddress string `json:"peerAddress"`
	State       State  `json:"state"`
	// TargetAddress is the IP address and port of the target, if the publisher knows it.
	TargetAddress string `json:"targetAddress,omitempty"`
	// Slots is the number of requests that the target runs concurrently; 0 means the default of the service.
	Slots int `json:"slots,omitempty"`
	// StartedMs is the start time of the target in Unix milliseconds; 0 means unknown.
	StartedMs int64 `json:"startedMs,omitempty"`
	// Sequence counts the reports of the target about itself since its start; 0 means unknown.
	Sequence int64 `json:"sequence,omitempty"`
	// ColdMs is the time for which the target stays cold, as of its report.
	ColdMs clock.Millis `json:"coldMs,omitempty"`
}

// Section is the published value "vms".
type Section struct {
	VMs []VM `json:"vms"`
}

// Decode parses and validates the published value.
func Decode(data json.RawMessage) (Section, error) {
	return strictjson.Decode[Section](data, &Error)
}

// Validate reports the first VM that is incomplete or conflicts with another one.
func (s Section) Validate() error {
	names := make(map[string]bool, len(s.VMs))
	addresses := make(map[string]string, len(s.VMs))
	for _, v := range s.VMs {
		if err := v.Validate(); err != nil {
			return err
		}
		if names[v.Name] {
			return Error.New("VM %q is listed twice", v.Name)
		}
		names[v.Name] = true
		if other, ok := addresses[v.PeerAddress]; ok {
			return Error.New("VMs %q and %q share the peer address %s", other, v.Name, v.PeerAddress)
		}
		addresses[v.PeerAddress] = v.Name
	}
	return nil
}

// Validate reports the first field that is missing or out of range.
func (v VM) Validate() error {
	if v.Name == "" {
		return Error.New("VM without a name")
	}
	if v.FailureDomain == "" {
		return Error.New("VM %q: failureDomain is missing", v.Name)
	}
	if v.Service == "" {
		return Error.New("VM %q: service is missing", v.Name)
	}
	if _, err := netip.ParseAddrPort(v.PeerAddress); err != nil {
		return Error.New("VM %q: peerAddress must be an IP address and a port, got %q", v.Name, v.PeerAddress)
	}
	if v.State != Live && v.State != Leaving {
		return Error.New("VM %q: state must be %q or %q, got %q", v.Name, Live, Leaving, v.State)
	}
	return nil
}

// Report identifies a report of a target about itself.
type Report struct {
	// StartedMs and Sequence are those of the VM.
	StartedMs int64 `json:"startedMs,omitempty"`
	Sequence  int64 `json:"sequence,omitempty"`
}

// Report returns the report from which v comes.
func (v VM) Report() Report {
	return Report{StartedMs: v.StartedMs, Sequence: v.Sequence}
}

// MayFollow reports whether r is a later report of the target than other, or may be because one of them is not counted.
func (r Report) MayFollow(other Report) bool {
	if r.StartedMs != other.StartedMs {
		return r.StartedMs == 0 || other.StartedMs == 0 || r.StartedMs > other.StartedMs
	}
	return r.Sequence == 0 || other.Sequence == 0 || r.Sequence > other.Sequence
}

// ReportedBefore reports whether v comes from an earlier report of the target than other.
func (v VM) ReportedBefore(other VM) bool {
	if v.StartedMs != other.StartedMs && v.StartedMs != 0 && other.StartedMs != 0 {
		return v.StartedMs < other.StartedMs
	}
	return v.StartedMs == other.StartedMs && v.Sequence < other.Sequence
}
