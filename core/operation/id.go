package operation

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/clock"
)

// Error is the class of errors about operations.
var Error = errs.Class("operation")

const (
	// idPrefix marks the form and version of an issued id; a UUID never starts with it.
	idPrefix = "op1-"
	// macBytes is the length of the truncated HMAC-SHA256; RFC 2104 asks for at least half of the hash.
	macBytes   = 16
	nonceBytes = 16
	// maxIDBytes bounds the work spent on an id that has not been verified.
	maxIDBytes = 2048
	hkdfInfo   = "coltsfootusher operation id v1"
)

// Nonce distinguishes the ids that one incarnation issues.
type Nonce [nonceBytes]byte

// ID is an issued operation id. Only the process with its incarnation may run the operation.
type ID struct {
	// Account is the client account to which the id was issued.
	Account string
	Service string
	// Route is the prefix of the route for which the id was issued.
	Route string
	// Node is the name of the home.
	Node        string
	Incarnation uint64
	Nonce       Nonce
	// ExpiresMs is on the home's monotonic clock and has no meaning outside the incarnation.
	ExpiresMs clock.Millis
}

// Codec encodes and verifies issued ids.
type Codec struct {
	key []byte
}

// NewCodec returns a codec whose key is derived from the fleet secret with HKDF-SHA256.
func NewCodec(secret []byte) (*Codec, error) {
	if len(secret) == 0 {
		return nil, Error.New("the fleet secret is empty")
	}
	key, err := hkdf.Key(sha256.New, secret, nil, hkdfInfo, sha256.Size)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Codec{key: key}, nil
}

// Encode returns the text of the id, which needs no escaping in a header or in a path segment.
func (c *Codec) Encode(id ID) (string, error) {
	payload := appendLengthPrefixed(nil, id.Account, id.Service, id.Route, id.Node)
	payload = binary.BigEndian.AppendUint64(payload, id.Incarnation)
	payload = append(payload, id.Nonce[:]...)
	payload = binary.BigEndian.AppendUint64(payload, uint64(id.ExpiresMs))
	text := idPrefix + base64.RawURLEncoding.EncodeToString(append(payload, c.mac("id", payload)...))
	if len(text) > maxIDBytes {
		return "", Error.New("the operation id would have %d bytes, more than %d", len(text), maxIDBytes)
	}
	return text, nil
}

// Decode verifies the text and returns the id. On error the operation can never run.
func (c *Codec) Decode(text string) (ID, error) {
	if len(text) > maxIDBytes {
		return ID{}, Error.New("the operation id has %d bytes, more than %d", len(text), maxIDBytes)
	}
	encoded, ok := strings.CutPrefix(text, idPrefix)
	if !ok {
		return ID{}, Error.New("the operation id does not start with %q", idPrefix)
	}
	// Strict decoding keeps the text of an id unique.
	data, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || strings.ContainsAny(encoded, "\r\n") {
		return ID{}, Error.New("the operation id is not in base64url")
	}
	if len(data) < macBytes {
		return ID{}, Error.New("the operation id is too short")
	}
	payload, mac := data[:len(data)-macBytes], data[len(data)-macBytes:]
	if !hmac.Equal(mac, c.mac("id", payload)) {
		return ID{}, Error.New("the operation id was not issued by this fleet")
	}
	return decodePayload(payload)
}

// ChildPosition identifies an inner call within its parent.
type ChildPosition struct {
	// Index is the number of the inner call, counted from 0; it is ignored if Key is set.
	Index uint64
	// Key is the Operation-Key header of the target; empty if the target sent none.
	Key string
}

// ChildID returns the id of an inner once-only call. It replaces the nonce of home by one that depends on the parent,
// the position and the other fields of home, so the same arguments give the same id. The egress must keep the id
// while the parent is in flight and reuse it for a repeated call: with another home or another expiry the id differs,
// and the operation could run a second time.
func (c *Codec) ChildID(parent string, position ChildPosition, home ID) ID {
	kind, index := "key", uint64(0)
	if position.Key == "" {
		kind, index = "index", position.Index
	}
	input := appendLengthPrefixed(nil, parent, kind, position.Key, home.Account, home.Service, home.Route, home.Node)
	input = binary.BigEndian.AppendUint64(input, index)
	input = binary.BigEndian.AppendUint64(input, home.Incarnation)
	copy(home.Nonce[:], c.mac("child", input))
	return home
}

func (c *Codec) mac(purpose string, data []byte) []byte {
	h := hmac.New(sha256.New, c.key)
	h.Write(appendLengthPrefixed(nil, purpose))
	h.Write(data)
	return h.Sum(nil)[:macBytes]
}

func appendLengthPrefixed(data []byte, values ...string) []byte {
	for _, value := range values {
		data = binary.AppendUvarint(data, uint64(len(value)))
		data = append(data, value...)
	}
	return data
}

func decodePayload(payload []byte) (ID, error) {
	var id ID
	for _, field := range []*string{&id.Account, &id.Service, &id.Route, &id.Node} {
		length, n := binary.Uvarint(payload)
		if n <= 0 || length > uint64(len(payload)-n) {
			return ID{}, Error.New("the operation id is truncated")
		}
		end := n + int(length)
		*field = string(payload[n:end])
		payload = payload[end:]
	}
	if len(payload) != 8+nonceBytes+8 {
		return ID{}, Error.New("the operation id has the wrong length")
	}
	id.Incarnation = binary.BigEndian.Uint64(payload)
	copy(id.Nonce[:], payload[8:])
	id.ExpiresMs = clock.Millis(binary.BigEndian.Uint64(payload[8+nonceBytes:]))
	return id, nil
}
