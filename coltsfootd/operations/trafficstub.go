package operations

import (
	"context"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/clock"
)

// NoLimit admits every call.
type NoLimit struct{}

// Admit admits the call.
func (NoLimit) Admit(context.Context, account.Account) (bool, clock.Millis) { return true, 0 }
