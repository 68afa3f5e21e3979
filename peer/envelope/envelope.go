package envelope

import (
	"encoding/base64"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/poison"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/peer/peerpb"
)

// Error is the class of errors about malformed headers.
var Error = errs.Class("envelope")

// ResultHeader carries the encoded result of a call.
const ResultHeader = "Coltsfoot-Result"

// EncodeCall returns the header value for c.
func EncodeCall(c call.Call) (string, error) {
	return encode(&peerpb.Call{
		RequestId: c.RequestID, Account: c.Account, Service: c.Service, Route: c.Route, Class: string(c.Class),
		Method: c.Method, Path: c.Path, Depth: int32(c.Depth), TimeoutMs: int64(c.TimeoutMs),
		Allowance: int32(c.RetryAllowance), Attempt: int32(c.Attempt), OperationId: c.OperationID, Fingerprint: c.Fingerprint,
		ForOnceOnly: c.InNonIdempotentOperation,
		Crashes:     EncodeCrashes(c.Crashes),
	})
}

// DecodeCall parses a header value and validates the call.
func DecodeCall(header string) (call.Call, error) {
	var m peerpb.Call
	if err := decode(header, &m); err != nil {
		return call.Call{}, err
	}
	c := call.Call{
		RequestID: m.RequestId, Account: m.Account, Service: m.Service, Route: m.Route, Class: route.Class(m.Class),
		Method: m.Method, Path: m.Path, Depth: int(m.Depth), TimeoutMs: clock.Millis(m.TimeoutMs),
		RetryAllowance: int(m.Allowance), Attempt: int(m.Attempt), OperationID: m.OperationId, Fingerprint: m.Fingerprint,
		InNonIdempotentOperation: m.ForOnceOnly,
		Crashes:                  DecodeCrashes(m.Crashes),
	}
	switch {
	case c.RequestID == "" || c.Service == "" || c.Method == "" || c.Path == "":
		return call.Call{}, Error.New("call lacks a request id, service, method or path")
	case c.Class != route.Lookup && c.Class != route.NonIdempotent:
		return call.Call{}, Error.New("call has the unknown class %q", m.Class)
	case c.Depth < 0 || c.RetryAllowance < 0 || c.Attempt < 0:
		return call.Call{}, Error.New("call has a negative depth, allowance or attempt")
	case c.Class == route.NonIdempotent && c.OperationID == "":
		return call.Call{}, Error.New("once-only call lacks an operation id")
	}
	return c, nil
}

// EncodeResult returns the header value for r.
func EncodeResult(r call.Result) (string, error) {
	return encode(&peerpb.Result{
		Reason: string(r.Reason), Run: string(r.RunStatus), RetryAfterMs: int64(r.RetryAfterMs),
		AllowanceLeft: int32(r.RetryAllowanceLeft), Outcome: string(r.Outcome), Node: r.Node, Incarnation: r.Incarnation,
		Load: &peerpb.Load{
			Running: int32(r.Load.Running), Waiting: int32(r.Load.Waiting), Limit: int32(r.Load.Limit),
			WaitMs: int64(r.Load.WaitMs), Leaving: r.Load.Leaving,
		},
		Crashes: EncodeCrashes(r.Crashes),
	})
}

// DecodeResult parses a header value.
func DecodeResult(header string) (call.Result, error) {
	var m peerpb.Result
	if err := decode(header, &m); err != nil {
		return call.Result{}, err
	}
	return call.Result{
		Reason: call.Reason(m.Reason), RunStatus: call.RunStatus(m.Run), RetryAfterMs: clock.Millis(m.RetryAfterMs),
		RetryAllowanceLeft: max(0, int(m.AllowanceLeft)), Outcome: call.Outcome(m.Outcome), Node: m.Node, Incarnation: m.Incarnation,
		Load: call.Load{
			Running: int(m.GetLoad().GetRunning()), Waiting: int(m.GetLoad().GetWaiting()), Limit: int(m.GetLoad().GetLimit()),
			WaitMs: clock.Millis(m.GetLoad().GetWaitMs()), Leaving: m.GetLoad().GetLeaving(),
		},
		Crashes: DecodeCrashes(m.Crashes),
	}, nil
}

// EncodeCrashes converts crashes to protobuf messages.
func EncodeCrashes(crashes []poison.Crash) []*peerpb.Crash {
	var messages []*peerpb.Crash
	for _, c := range crashes {
		messages = append(messages, &peerpb.Crash{Id: c.ID, AtMs: int64(c.AtMs), Proof: c.Proof, Cleared: c.Cleared})
	}
	return messages
}

// DecodeCrashes converts protobuf messages to crashes.
func DecodeCrashes(messages []*peerpb.Crash) []poison.Crash {
	var crashes []poison.Crash
	for _, m := range messages {
		crashes = append(crashes, poison.Crash{
			ID: m.GetId(), AtMs: clock.Millis(m.GetAtMs()), Proof: m.GetProof(), Cleared: m.GetCleared(),
		})
	}
	return crashes
}

func encode(m proto.Message) (string, error) {
	raw, err := proto.Marshal(m)
	if err != nil {
		return "", Error.Wrap(err)
	}
	return base64.RawStdEncoding.EncodeToString(raw), nil
}

func decode(header string, m proto.Message) error {
	if header == "" {
		return Error.New("header is missing")
	}
	raw, err := base64.RawStdEncoding.DecodeString(header)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := proto.Unmarshal(raw, m); err != nil {
		return Error.Wrap(err)
	}
	return nil
}
