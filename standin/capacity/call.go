package capacity

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/peer/auth"
	"coltsfootusher.example/peer/envelope"
)

// gates measures a call through a gate whose slots are all in use and whose queue has the given length.
func (r *run) gates() error {
	const slots = 100
	for _, size := range r.sizes(60, 300, 1000) {
		g := gate.New(gate.Config{Slots: slots, QueueLimit: 2 * size, Enabled: true}, gate.FixedLimiter(slots),
			rand.New(rand.NewPCG(seed, seed)), 0)
		next := uint64(0)
		var running []uint64
		offer := func() {
			next++
			for _, d := range g.Offer(gate.Request{
				ID: next, Account: fmt.Sprintf("account-%d", next%8), Weight: 1, Class: route.Lookup, Depth: int(next % 3),
				Deadline: 1 << 40,
			}, 0) {
				if d.Admitted {
					running = append(running, d.ID)
				}
			}
		}
		for range slots + size {
			offer()
		}
		r.record("gate", size, "callCpuMicros", r.cpuMicros(func() {
			done := running[0]
			running = running[1:]
			for _, d := range g.Done(done, gate.Sample{LatencyMs: 5}, 0) {
				if d.Admitted {
					running = append(running, d.ID)
				}
			}
			offer()
		}))
		if g.Load(0).Running != slots {
			return Error.New("gate: %d calls run, expected %d", g.Load(0).Running, slots)
		}
	}
	r.slope("gate", "callCpuMicros", "WaitingCall")
	return nil
}

// calls measures what each call between two nodes costs: key, route, envelope and signature.
func (r *run) calls() error {
	for _, size := range r.sizes(1000, 3000, 6000) {
		s, err := snapshotOf(size, serviceCount)
		if err != nil {
			return err
		}
		r.record("key", size, "lookupCpuMicros", r.cpuMicros(func() { s.AccountByKey("key-1") }))
		r.record("route", size, "lookupCpuMicros", r.cpuMicros(func() { s.Route("/" + serviceName(serviceCount-1) + "/1") }))
	}
	if err := r.envelopes(); err != nil {
		return err
	}
	return r.signatures()
}

func (r *run) envelopes() error {
	for _, size := range r.sizes(16, 256, 2048) {
		c := call.Call{
			RequestID: "0da7d6e66d63cee2bb373ae0", Account: "account-1", Service: "service-1", Route: "/service-1",
			Class: route.Lookup, Method: http.MethodGet, Path: "/" + string(bytes.Repeat([]byte("p"), size)), Depth: 3,
			TimeoutMs: 3000, RetryAllowance: 2, Fingerprint: 1 << 60,
		}
		result := call.Result{
			RunStatus: call.WasRun, RetryAllowanceLeft: 2, Node: "vm-1", Incarnation: 1 << 60, Load: call.Load{Running: 10, Limit: 100},
		}
		header, err := envelope.EncodeCall(c)
		if err != nil {
			return err
		}
		r.record("envelope", size, "headerBytes", float64(len(header)))
		r.record("envelope", size, "callCpuMicros", r.cpuMicros(func() {
			header, _ := envelope.EncodeCall(c)
			_, _ = envelope.DecodeCall(header)
			header, _ = envelope.EncodeResult(result)
			_, _ = envelope.DecodeResult(header)
		}))
	}
	r.slope("envelope", "callCpuMicros", "PathByte")
	return nil
}

func (r *run) signatures() error {
	secret := []byte("public-secret-of-the-measurement")
	for _, size := range r.sizes(1<<10, 16<<10, 64<<10) {
		now := time.Now()
		sender, err := auth.New("vm-1", secret, time.Minute, func() time.Time { return now })
		if err != nil {
			return err
		}
		receiver, err := auth.New("vm-2", secret, time.Minute, func() time.Time { return now })
		if err != nil {
			return err
		}
		body := make([]byte, size)
		var failure error
		exchange := func() {
			request, err := http.NewRequest(http.MethodPost, "http://10.0.0.1:7000/call", http.NoBody) //nolint:noctx // never sent
			if err != nil {
				failure = err
				return
			}
			if err := sender.Sign(request, "vm-2", body); err != nil {
				failure = err
				return
			}
			request.Body = io.NopCloser(bytes.NewReader(body))
			// Nonces are forgotten after a minute, so that the table does not grow with the number of repetitions.
			now = now.Add(time.Millisecond)
			if _, _, err := receiver.Verify(request, int64(size)); err != nil {
				failure = err
			}
		}
		r.record("signature", size, "callCpuMicros", r.cpuMicros(exchange))
		if failure != nil {
			return failure
		}
	}
	r.slope("signature", "callCpuMicros", "BodyByte")
	return r.nonces(secret)
}

// nonces measures the memory of the nonces that a receiver remembers.
func (r *run) nonces(secret []byte) error {
	for _, size := range r.sizes(2000, 8000, 32000) {
		var failure error
		bytes := retainedBytes(func() any {
			now := time.Now()
			signer, err := auth.New("vm-1", secret, time.Minute, func() time.Time { return now })
			if err != nil {
				failure = err
				return nil
			}
			for range size {
				request, err := http.NewRequest(http.MethodPost, "http://10.0.0.1:7000/call", http.NoBody) //nolint:noctx // never sent
				if err != nil {
					failure = err
					return nil
				}
				if err := signer.Sign(request, "vm-1", nil); err != nil {
					failure = err
				}
				if _, _, err := signer.Verify(request, 0); err != nil {
					failure = err
				}
			}
			return signer
		})
		if failure != nil {
			return failure
		}
		r.record("nonce", size, "tableBytes", bytes)
	}
	r.slope("nonce", "tableBytes", "Nonce")
	return nil
}
