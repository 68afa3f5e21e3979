package operations

import (
	"context"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

// NoSuspects lets every request run.
type NoSuspects struct{}

// Enter lets the request run.
func (NoSuspects) Enter(context.Context, call.Call) (func(bool), bool) { return func(bool) {}, true }

// NoLimit admits every call.
type NoLimit struct{}

// Admit admits the call.
func (NoLimit) Admit(context.Context, account.Account) (bool, clock.Millis) { return true, 0 }
