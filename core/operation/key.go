package operation

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"coltsfootusher.example/core/clock"
)

// IdempotencyKey is a caller's idempotency key, a UUID of version 7 (RFC 9562).
type IdempotencyKey uuid.UUID

const (
	uuidTextBytes = 36
	uuidVersion7  = 7
)

// ParseIdempotencyKey parses the canonical text of a UUID of version 7; letters may be in either case.
func ParseIdempotencyKey(text string) (IdempotencyKey, error) {
	if len(text) != uuidTextBytes {
		return IdempotencyKey{}, Error.New("the idempotency key is not a UUID")
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return IdempotencyKey{}, Error.New("the idempotency key is not a UUID")
	}
	if id.Version() != uuidVersion7 || id.Variant() != uuid.RFC4122 {
		return IdempotencyKey{}, Error.New("the idempotency key is not a UUID of version 7")
	}
	return IdempotencyKey(id), nil
}

// String returns the canonical text.
func (k IdempotencyKey) String() string {
	return uuid.UUID(k).String()
}

// TimeMs returns the embedded time in milliseconds since the Unix epoch, as the caller's clock showed it.
func (k IdempotencyKey) TimeMs() clock.Millis {
	return clock.Millis(binary.BigEndian.Uint64(k[:8]) >> 16)
}

// Seat is the place of a key: a failure domain and a seat of the service in it.
type Seat struct {
	Domain string
	Index  int
}

// SeatOf returns the home seat of the key. The failure domain is chosen by rendezvous hashing, so a change of the list
// moves only the keys of the domains concerned. The list and the number of seats may change only while the routes of
// the service are closed; otherwise two seats could both accept one key.
func SeatOf(account string, key IdempotencyKey, domains []string, seatsPerDomain int) (Seat, error) {
	if len(domains) == 0 || seatsPerDomain < 1 {
		return Seat{}, Error.New("no seat: %d failure domains, %d seats per domain", len(domains), seatsPerDomain)
	}
	seat := Seat{Index: int(hashStrings("seat", account, string(key[:])) % uint64(seatsPerDomain))}
	var best uint64
	for _, domain := range domains {
		score := hashStrings("domain", domain, account, string(key[:]))
		if seat.Domain == "" || score > best || score == best && domain < seat.Domain {
			seat.Domain, best = domain, score
		}
	}
	return seat, nil
}

func hashStrings(values ...string) uint64 {
	return xxhash.Sum64(appendLengthPrefixed(nil, values...))
}

// SeatOwnership says how long this process has owned a seat.
type SeatOwnership struct {
	// SinceMs is the start of the uninterrupted ownership on this process's monotonic clock.
	SinceMs clock.Millis
	// Owned is false if the process does not own the seat now.
	Owned bool
}

// ClockReading is one reading of both clocks of the process. For a key it must be read before the ownership is read: a process
// that pauses between the two then judges the key by a time at which it was the owner at the latest.
type ClockReading struct {
	// MonotonicMs is the monotonic clock.
	MonotonicMs clock.Millis
	// WallMs is the wall clock in milliseconds since the Unix epoch.
	WallMs clock.Millis
}

// keyStatus says what may be done with a key that has no record.
type keyStatus int

const (
	keyUnused keyStatus = iota
	keyMaybeUsed
	keyInFuture
)

// checkKey decides whether a key without a record can never have been run or sealed anywhere.
//
// Let F be maxSkew. An owner accepts a key with embedded time K only if K <= wall+F, and only if its ownership began,
// on its wall clock, at or before K-2F. Suppose that owner A accepted the key at the instant t1 and that B, which began
// to own the seat at a later instant t2, accepts it as well. From A's check, K <= wallA(t1)+F. From B's check,
// wallB(t2) <= K-2F, so wallB(t2) <= wallA(t1)-F. As t2 > t1, B's clock would be behind A's by F or more.
//
// The assumptions are:
//
//  1. The fence of the seat package: the periods of ownership of one seat do not overlap, and SinceMs is the start of a
//     period without interruption. It gives t2 > t1.
//  2. The wall clocks of any two nodes differ by less than F, also when they are read at different instants and the
//     time between is measured by a monotonic clock. It excludes the last sentence of the proof. The start of the
//     ownership is computed back from the present reading, so a step of the wall clock since then does not matter.
//  3. Within one period, all records of the key are still there. The table gives this by its floor: it remembers the
//     latest embedded time of all keys whose records it dropped and accepts no key at or before it.
//  4. All entries map a key to the same seat. It holds while failureDomains, seatsPerDomain and the service of the route
//     are not changed with the route open.
//
// A margin of F in place of 2F would also need the caller's clock to be right: a caller that is ahead by 2F, and
// retries until its key is no longer in the future of A, could then have its key accepted by B after A crashed. With
// 2F, a wrong clock of a caller only leads to refusals.
func checkKey(key IdempotencyKey, owned SeatOwnership, now ClockReading, maxSkew, floorMs clock.Millis) keyStatus {
	keyMs := key.TimeMs()
	if keyMs > now.WallMs+maxSkew {
		return keyInFuture
	}
	ownedSinceWallMs := now.WallMs - (now.MonotonicMs - owned.SinceMs)
	if !owned.Owned || ownedSinceWallMs > keyMs-2*maxSkew || keyMs <= floorMs {
		return keyMaybeUsed
	}
	return keyUnused
}
