package account

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/strictjson"
)

// Error is the class of errors about client accounts.
var Error = errs.Class("account")

// Account is a client account with the hashes of its keys and its limits.
type Account struct {
	ID string `json:"id"`
	// KeyHashes are the SHA-256 sums of the account's keys in lower-case hex.
	KeyHashes []string `json:"keyHashes"`
	// RatePerSecond is the sustained rate of root calls over the whole fleet, in calls per second.
	RatePerSecond float64 `json:"ratePerSecond"`
	// Burst is the number of root calls above the sustained rate that the fleet admits at once.
	Burst float64 `json:"burst"`
	// Weight is the account's share of a contended gate relative to other accounts; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// Priority, if set, replaces the priority of the route for the account's requests.
	Priority *int `json:"priority,omitempty"`
}

// Section is the published value "accounts".
type Section struct {
	Accounts []Account `json:"accounts"`
}

// KeyHashBytes is the length of the hash of a key.
const KeyHashBytes = 2 * sha256.Size

// HashKey returns the SHA-256 sum of a key in lower-case hex, the form in which keys are published.
func HashKey(key string) string {
	return string(AppendKeyHash(nil, key))
}

// AppendKeyHash appends the hash of a key to b. With a buffer of KeyHashBytes it does not allocate.
func AppendKeyHash(b []byte, key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return hex.AppendEncode(b, sum[:])
}

// Decode parses and validates the published value.
func Decode(data json.RawMessage) (Section, error) {
	return strictjson.Decode[Section](data, &Error)
}

// Validate returns an error for the first account that is invalid or conflicts with another one.
func (s Section) Validate() error {
	ids := make(map[string]bool, len(s.Accounts))
	owners := make(map[string]string)
	for _, a := range s.Accounts {
		if err := a.Validate(); err != nil {
			return err
		}
		if ids[a.ID] {
			return Error.New("account %q is listed twice", a.ID)
		}
		ids[a.ID] = true
		for _, hash := range a.KeyHashes {
			if other, ok := owners[hash]; ok {
				return Error.New("accounts %q and %q share a key hash", other, a.ID)
			}
			owners[hash] = a.ID
		}
	}
	return nil
}

// Validate returns an error for the first field that is out of range.
func (a Account) Validate() error {
	if a.ID == "" {
		return Error.New("account without an id")
	}
	if !(a.RatePerSecond > 0) {
		return Error.New("account %q: ratePerSecond must be greater than 0, got %v", a.ID, a.RatePerSecond)
	}
	if !(a.Burst >= 1) {
		return Error.New("account %q: burst must be at least 1, got %v", a.ID, a.Burst)
	}
	if a.Weight < 0 {
		return Error.New("account %q: weight must not be negative, got %v", a.ID, a.Weight)
	}
	for _, hash := range a.KeyHashes {
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != sha256.Size {
			return Error.New("account %q: key hash must be a SHA-256 sum in hex", a.ID)
		}
	}
	return nil
}
