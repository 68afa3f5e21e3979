package key

import (
	"io"
	"strings"
	"unicode"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/account"
)

// Error is the class of errors about keys. Its messages never contain the key.
var Error = errs.Class("key")

// maxKeyBytes limits the length of a key; a longer one would not fit into the headers that nodes accept by default.
const maxKeyBytes = 4 << 10

// Hash reads one key, with or without a trailing line break, and returns the hash to publish.
func Hash(r io.Reader) (string, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxKeyBytes+1))
	if err != nil {
		return "", Error.Wrap(err)
	}
	if len(data) > maxKeyBytes {
		return "", Error.New("key is longer than %d bytes", maxKeyBytes)
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(data), "\n"), "\r")
	if key == "" {
		return "", Error.New("key is empty; write it to standard input")
	}
	// Nodes refuse keys with these characters, because they could not be distinguished from a list of keys.
	if strings.ContainsFunc(key, func(c rune) bool { return unicode.IsSpace(c) || unicode.IsControl(c) || c == ',' }) {
		return "", Error.New("key must not contain white space, control characters or a comma")
	}
	return account.HashKey(key), nil
}
