package auth

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors about peer requests that are not authentic.
var Error = errs.Class("peer auth")

// SignatureHeader carries the signature: sender, receiver, wall-clock time in ms, nonce and MAC, separated by semicolons.
const SignatureHeader = "Coltsfoot-Peer"

// CallHeader carries the encoded call context; it is covered by the signature.
const CallHeader = "Coltsfoot-Call"

const (
	minSecretBytes = 16
	nonceBytes     = 16
	headerFields   = 5
)

// fieldEncoding is shorter than hexadecimal and does not use the separator, a semicolon.
var fieldEncoding = base64.RawURLEncoding

// Signer signs outgoing requests and verifies incoming ones.
type Signer struct {
	node    string
	secret  []byte
	maxAge  time.Duration
	now     func() time.Time
	nonces  *nonceCache
	macPool sync.Pool
}

// New returns a signer for the node. Requests whose signature time is more than maxAge from this node's wall clock are
// refused.
// It returns an error if the secret is shorter than 16 bytes.
func New(node string, secret []byte, maxAge time.Duration, now func() time.Time) (*Signer, error) {
	if len(secret) < minSecretBytes {
		return nil, Error.New("the fleet secret must have at least %d bytes, got %d", minSecretBytes, len(secret))
	}
	s := &Signer{node: node, secret: secret, maxAge: maxAge, now: now, nonces: newNonceCache(maxAge)}
	s.macPool.New = func() any { return hmac.New(sha256.New, secret) }
	return s, nil
}

// Sign adds the signature for the receiving node; body must be the complete body of the request.
func (s *Signer) Sign(r *http.Request, receiver string, body []byte) error {
	var raw [nonceBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return Error.Wrap(err)
	}
	nonce := fieldEncoding.EncodeToString(raw[:])
	timestamp := strconv.FormatInt(s.now().UnixMilli(), 10)
	mac := s.mac(s.node, receiver, timestamp, nonce, r, body)
	r.Header.Set(SignatureHeader, strings.Join([]string{s.node, receiver, timestamp, nonce, fieldEncoding.EncodeToString(mac)}, ";"))
	return nil
}

// Verify checks the signature of a request, reads its body of at most maxBody bytes, and returns the sender and the body.
func (s *Signer) Verify(r *http.Request, maxBody int64) (string, []byte, error) {
	fields := strings.Split(r.Header.Get(SignatureHeader), ";")
	if len(fields) != headerFields {
		return "", nil, Error.New("request is not signed")
	}
	sender, receiver, timestamp, nonce, encodedMAC := fields[0], fields[1], fields[2], fields[3], fields[4]
	if receiver != s.node {
		return "", nil, Error.New("request is addressed to node %q", receiver)
	}
	signedMs, err := strconv.ParseInt(timestamp, 10, 64)
	if err != nil {
		return "", nil, Error.New("signature time is malformed")
	}
	now := s.now()
	if age := now.Sub(time.UnixMilli(signedMs)); age > s.maxAge || age < -s.maxAge {
		return "", nil, Error.New("signature of node %q is %s old, limit %s", sender, age, s.maxAge)
	}
	body, err := readBody(r, maxBody)
	if err != nil {
		return "", nil, err
	}
	mac, err := fieldEncoding.DecodeString(encodedMAC)
	if err != nil || !hmac.Equal(mac, s.mac(sender, receiver, timestamp, nonce, r, body)) {
		return "", nil, Error.New("signature does not match")
	}
	if !s.nonces.add(nonce, now) {
		return "", nil, Error.New("request of node %q was received before", sender)
	}
	return sender, body, nil
}

func readBody(r *http.Request, maxBody int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= maxBody {
		buffer.Grow(int(r.ContentLength))
	}
	if _, err := buffer.ReadFrom(io.LimitReader(r.Body, maxBody+1)); err != nil {
		return nil, Error.Wrap(err)
	}
	if int64(buffer.Len()) > maxBody {
		return nil, Error.New("body is longer than %d bytes", maxBody)
	}
	return buffer.Bytes(), nil
}

func (s *Signer) mac(sender, receiver, timestamp, nonce string, r *http.Request, body []byte) []byte {
	bodySum := sha256.Sum256(body)
	m, ok := s.macPool.Get().(hash.Hash)
	if !ok {
		m = hmac.New(sha256.New, s.secret)
	}
	defer s.macPool.Put(m)
	m.Reset()
	for _, part := range []string{sender, receiver, timestamp, nonce, r.Method, r.URL.RequestURI(), r.Header.Get(CallHeader)} {
		// The length prefix ensures that two different lists of parts never have the same bytes.
		_, _ = io.WriteString(m, strconv.Itoa(len(part))+":"+part)
	}
	_, _ = m.Write(bodySum[:])
	return m.Sum(nil)
}

// nonceCache stores nonces for at least the time in which their signatures are valid.
type nonceCache struct {
	mu       sync.Mutex
	lifetime time.Duration
	rotated  time.Time
	current  map[string]struct{}
	previous map[string]struct{}
}

func newNonceCache(maxAge time.Duration) *nonceCache {
	// A signature is valid from maxAge before to maxAge after its time.
	return &nonceCache{lifetime: 2 * maxAge, current: make(map[string]struct{}), previous: make(map[string]struct{})}
}

// add reports whether the nonce is new.
func (c *nonceCache) add(nonce string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.rotated) > c.lifetime {
		c.previous, c.current = c.current, make(map[string]struct{})
		c.rotated = now
	}
	if _, ok := c.current[nonce]; ok {
		return false
	}
	if _, ok := c.previous[nonce]; ok {
		return false
	}
	c.current[nonce] = struct{}{}
	return true
}
