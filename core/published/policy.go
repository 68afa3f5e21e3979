package published

import (
	"errors"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/service"
)

// ErrNoPolicy means that operators have not published a policy yet.
var ErrNoPolicy = errors.New("no policy is published")

// ErrPolicyUnreadable means that the publisher answered with a policy that can't be read at all.
var ErrPolicyUnreadable = errors.New("the published policy can't be read")

// Policy is one version of everything that operators publish, except the list of targets.
type Policy struct {
	Version  int64             `json:"version"`
	Routes   []route.Route     `json:"routes"`
	Accounts []account.Account `json:"accounts"`
	Services []service.Service `json:"services"`
	// KeysRequired is true if requests need an API key, except on open routes.
	KeysRequired bool         `json:"keysRequired"`
	Bounds       CallerLimits `json:"bounds"`
	// AccountsIncomplete is true if the row of an account could not be read, so that an unknown key may belong to that account.
	AccountsIncomplete bool `json:"accountsIncomplete,omitempty"`
	// Epoch counts the restores of the publisher's store up to the read, and Revision is that of the whole store at the read, or 0
	// if it isn't known. Only the node that read the policy knows them.
	Epoch    int64 `json:"-"`
	Revision int64 `json:"-"`
	// Problems lists the rows that could not be used as published. Only the node that read the policy has this list.
	Problems []Problem `json:"-"`
}

// Problem is a row of a published policy that could not be used as published.
type Problem struct {
	// Section is the part of the policy; Row is the index of the row in it, starting at 0.
	Section string
	Row     int
	Err     error
}

// CallerLimits limits the size and duration of callers' requests.
type CallerLimits struct {
	MaxHeaderBytes  int          `json:"maxHeaderBytes"`
	MaxBodyBytes    int64        `json:"maxBodyBytes"`
	HeaderTimeoutMs clock.Millis `json:"headerTimeoutMs"`
	IdleTimeoutMs   clock.Millis `json:"idleTimeoutMs"`
}
