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
	// idPrefix marks the format and version of an issued id; a UUID never starts with it.
	idPrefix = "op1-"
	// macBytes is the length of the truncated HMAC-SHA256; RFC 2104 recommends at least half of the hash length.
	macBytes   = 16
	nonceBytes = 16
	// maxIDBytes limits the work spent on an id before it is verified.
	maxIDBytes = 2048
	hkdfInfo   = "coltsfootusher operation id v1"
)

// Nonce distinguishes the ids issued by one incarnation.
type Nonce [nonceBytes]byte

// ID is an issued operation id. Only the process incarnation that it names may run the operation.
type ID struct {
	// Account is the client account to which the id was issued.
	Account string
	Service string
	// Route is the prefix of the route for which the id was issued.
	Route string
	// Node is the name of the home node.
	Node        string
	Incarnation uint64
	Nonce       Nonce
	// ExpiresMs is a time on the home node's monotonic clock and has no meaning outside the incarnation.
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

// Encode returns the text form of the id, which needs no escaping in a header or a path segment.
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

// Decode verifies the text and returns the id. On error, the operation can never run.
func (c *Codec) Decode(text string) (ID, error) {
	if len(text) > maxIDBytes {
		return ID{}, Error.New("the operation id has %d bytes, more than %d", len(text), maxIDBytes)
	}
	encoded, ok := strings.CutPrefix(text, idPrefix)
	if !ok {
		return ID{}, Error.New("the operation id does not start with %q", idPrefix)
	}
	// Strict decoding makes sure that an id has only one text form.
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

// ChildPosition identifies an inner call within its parent operation.
type ChildPosition struct {
	// Index is the number of the inner call, starting at 0; it is ignored if Key is set.
	Index uint64
	// Key is the Operation-Key header of the target; empty if the target sent none.
	Key string
}

// ChildID returns the id of an inner once-only call. It copies issued, a new id of the home node, and replaces the nonce by
// one derived from the parent, the position and the other fields. The same arguments therefore always give the same id.
// The egress must keep the id while the parent is in flight and reuse it for a repeated call: another home node or expiry
// changes the id, and the operation could run a second time.
func (c *Codec) ChildID(parent string, position ChildPosition, issued ID) ID {
	kind, index := "key", uint64(0)
	if position.Key == "" {
		kind, index = "index", position.Index
	}
	input := appendLengthPrefixed(nil, parent, kind, position.Key, issued.Account, issued.Service, issued.Route, issued.Node)
	input = binary.BigEndian.AppendUint64(input, index)
	input = binary.BigEndian.AppendUint64(input, issued.Incarnation)
	copy(issued.Nonce[:], c.mac("child", input))
	return issued
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
		length, prefixBytes := binary.Uvarint(payload)
		if prefixBytes <= 0 || length > uint64(len(payload)-prefixBytes) {
			return ID{}, Error.New("the operation id is truncated")
		}
		end := prefixBytes + int(length)
		*field = string(payload[prefixBytes:end])
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
