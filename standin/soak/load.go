package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"coltsfootusher.example/platform/platformtest"
)

const (
	callsPerSecond = 25.0
	// steadyPart and limitedPart are the parts of the calls of these accounts; the rest has the keys that are withdrawn.
	steadyPart, limitedPart = 0.5, 0.25
	// impatient is the part of the calls whose callers leave early, after leaveMs.
	impatient = 0.05
	leaveMs   = 60
	// largePart is the part of the operations that have a large body.
	largePart  = 0.02
	largeBytes = 300_000
	smallBytes = 2_000
	// oldKeyPart is the part of the calls of the account with changing keys that use one of the lately withdrawn keys.
	oldKeyPart = 0.4
	lateKeys   = 2
)

// load sends calls to one node until ctx ends and waits for their ends.
func (f *fleet) load(ctx context.Context, v *vm) {
	random := rand.New(rand.NewPCG(f.Seed, uint64(100+v.number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		pause := time.Duration(random.ExpFloat64() / callsPerSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		c := f.draw(random, v, n)
		group.Go(func() { f.send(client, v, c) })
	}
}

// draw returns the next call of a node's callers.
func (f *fleet) draw(random *rand.Rand, v *vm, n int) call {
	c := call{node: v.number, key: -1}
	c.ID, c.Host, c.Caller, c.TimeoutMs = fmt.Sprintf("c%d-%d", v.number, n), host, v.service, callTimeoutMs
	prefixes := []string{lookupPrefix, operationPrefix, deepPrefix, addedPrefix}
	c.prefix = prefixes[random.IntN(len(prefixes))]
	// The escaped slash shows whether the path is forwarded as it is.
	c.Method, c.URI = http.MethodGet, c.prefix+c.ID+"?q=%2f"
	if c.onceOnly() {
		c.Method = http.MethodPost
		size := random.IntN(smallBytes)
		if random.Float64() < largePart {
			size = largeBytes
		}
		c.Body = []byte(strings.Repeat("b", size))
	}
	if c.prefix == deepPrefix {
		c.URI = c.prefix + strings.TrimPrefix(innerPrefix, "/") + c.ID
	}
	switch part := random.Float64(); {
	case part < steadyPart:
		c.account, c.Key = steadyAccount, steadyKey
	case part < steadyPart+limitedPart:
		c.account, c.Key = limitedAccount, limitedKey
	default:
		c.key = f.revocable()
		if c.key > 0 && random.Float64() < oldKeyPart {
			c.key = max(0, c.key-1-random.IntN(lateKeys))
		}
		c.account, c.Key = revokedAccount, revocableKey(c.key)
	}
	if random.Float64() < impatient {
		c.TimeoutMs = leaveMs
	}
	return c
}

// send sends the call and records it.
func (f *fleet) send(client *http.Client, v *vm, c call) platformtest.Answer {
	c.sent = time.Now()
	c.answer = c.Send(context.Background(), client, v.address(entryPort))
	c.ended = time.Now()
	f.history.add(c)
	return c.answer
}

// serves reports whether a call of each kind to the node succeeds.
func (f *fleet) serves(ctx context.Context, v *vm, round int) bool {
	for _, prefix := range []string{lookupPrefix, operationPrefix, deepPrefix} {
		c := call{node: v.number, key: -1, prefix: prefix, account: steadyAccount}
		c.Call = platformtest.Call{
			ID: fmt.Sprintf("r%d-%d-%s", v.number, round, strings.Trim(prefix, "/")), Method: http.MethodPost, Host: host,
			Key: steadyKey, TimeoutMs: callTimeoutMs, Caller: v.service,
		}
		c.URI = prefix + strings.TrimPrefix(innerPrefix, "/") + c.ID
		if answer := f.send(http.DefaultClient, v, c); ctx.Err() != nil || !answer.Success() {
			return false
		}
	}
	return true
}
