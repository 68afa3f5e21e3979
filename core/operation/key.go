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

// String returns the canonical text of the UUID.
func (k IdempotencyKey) String() string {
	return uuid.UUID(k).String()
}

// TimeMs returns the time in the key, in milliseconds since the Unix epoch on the caller's clock.
func (k IdempotencyKey) TimeMs() clock.Millis {
	return clock.Millis(binary.BigEndian.Uint64(k[:8]) >> 16)
}

// Seat identifies the seat that is responsible for a key: its failure domain and its index among the service's seats there.
type Seat struct {
	Domain string
	Index  int
}

// SeatOf returns the seat that is responsible for the key. The failure domain is chosen by rendezvous hashing, so a change
// of the list moves only the keys of the domains that were added or removed. The list and the number of seats may change
// only while the routes of the service are closed; otherwise, two seats could both accept the same key.
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

// SeatOwnership describes how long this process has owned a seat.
type SeatOwnership struct {
	// SinceMs is the start of the uninterrupted ownership on this process's monotonic clock.
	SinceMs clock.Millis
	// Owned is false if the process does not own the seat now.
	Owned bool
}

// ClockReading is one reading of both clocks of the process. For a key, the clocks must be read before the ownership. If the
// process pauses between the two reads, it then judges the key by a time no later than the last one at which it is known
// to own the seat.
type ClockReading struct {
	// MonotonicMs is the time on the monotonic clock.
	MonotonicMs clock.Millis
	// WallMs is the time on the wall clock, in milliseconds since the Unix epoch.
	WallMs clock.Millis
}

// keyStatus says whether an operation whose key has no record may be started.
type keyStatus int

const (
	// keyUnused means that the key was certainly never run or sealed on any node.
	keyUnused keyStatus = iota
	// keyMaybeUsed means that the key may have been run or sealed, by another owner or before its record was dropped.
	keyMaybeUsed
	// keyInFuture means that the time in the key is too far ahead of the wall clock.
	keyInFuture
)

// checkKey decides whether a key without a record was certainly never run or sealed on any node.
//
// Let F be maxSkew. An owner accepts a key with the time K only if K <= wall+F, and only if its ownership began, on its
// wall clock, at or before K-2F. Suppose that owner A accepted the key at the instant t1, and that B, whose ownership of
// the seat began at a later instant t2, accepts it as well. From A's check, K <= wallA(t1)+F. From B's check,
// wallB(t2) <= K-2F, so wallB(t2) <= wallA(t1)-F. As t2 > t1, B's clock would be behind A's by F or more.
//
// The assumptions are:
//
//  1. The seat package fences ownership: the periods of ownership of one seat never overlap, and SinceMs is the start of
//     an uninterrupted period. Therefore t2 > t1.
//  2. The wall clocks of any two nodes differ by less than F, also if they are read at different instants and the time
//     between the reads is measured with a monotonic clock. This contradicts the last sentence of the proof. The start of
//     the ownership is computed back from the current reading, so a step of the wall clock since then does not matter.
//  3. Within one period of ownership, all records of the key are still there. The table guarantees this with
//     latestDroppedKeyMs, the latest time of all keys whose records it dropped: it accepts no key at or before that time.
//  4. All entries map a key to the same seat. This holds as long as failureDomains, seatsPerDomain and the service of the
//     route are not changed while the route is open.
//
// A margin of F instead of 2F would require the caller's clock to be right as well: a caller whose clock is ahead by 2F,
// and which retries until its key is no longer in the future for A, could have its key accepted by B after A crashed. With
// 2F, a wrong clock of a caller only causes refusals.
func checkKey(
	key IdempotencyKey, ownership SeatOwnership, now ClockReading, maxSkew, latestDroppedKeyMs clock.Millis,
) keyStatus {
	keyMs := key.TimeMs()
	if keyMs > now.WallMs+maxSkew {
		return keyInFuture
	}
	ownedSinceWallMs := now.WallMs - (now.MonotonicMs - ownership.SinceMs)
	if !ownership.Owned || ownedSinceWallMs > keyMs-2*maxSkew || keyMs <= latestDroppedKeyMs {
		return keyMaybeUsed
	}
	return keyUnused
}
