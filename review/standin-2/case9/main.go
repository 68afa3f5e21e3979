// Command case9 sends a request that crashes backends on a route that is split among three services.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootusher.example/review/standin2/deployment"
)

const (
	stable         = 3 * time.Second
	backAfter      = 4 * time.Second
	crashesAllowed = 3
	retriesAllowed = 3
	others         = 24
	// callEvery is the mean time after which the request comes again.
	callEvery = 2400 * time.Millisecond
)

var (
	program    = flag.String("program", "target/coltsfootd", "the node's program")
	recordPath = flag.String("record", "record.txt", "the record")
	watch      = flag.Duration("watch", 95*time.Second, "time for which the request comes again")
)

type arrival struct {
	at      time.Time
	id      string
	backend string
}

type watcher struct {
	mu       sync.Mutex
	arrivals []arrival
	// begun holds the ordinary requests that a backend began to run, lost those of them that got no answer of the backend.
	begun, lost map[string]bool
}

func main() {
	flag.Parse()
	code, err := run(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("can't run:", err)
		os.Exit(2)
	}
	os.Exit(code)
}

func run(trouble bool) (int, error) {
	var specs []deployment.Spec
	for _, zone := range []string{"a", "b", "c"} {
		specs = append(specs,
			deployment.Spec{Service: "riders", Zone: zone, Slots: 104, Work: 60 * time.Millisecond},
			deployment.Spec{Service: "voids", Zone: zone, Slots: 139, Work: 78 * time.Millisecond},
			deployment.Spec{Service: "signings", Zone: zone, Slots: 139, Work: 42 * time.Millisecond},
			deployment.Spec{Service: "trails", Zone: zone, Slots: 18, Work: 240 * time.Millisecond})
	}
	d, err := deployment.New(*program, *recordPath, deployment.Limits{MemoryMB: 284, MaxFiles: 4100}, specs)
	if err != nil {
		return 2, err
	}
	defer d.Close()
	w := &watcher{begun: make(map[string]bool), lost: make(map[string]bool)}
	for _, b := range d.Backends {
		b.Runs = func(b *deployment.Backend, r *http.Request) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			if r.URL.Path != "/void/crash" {
				w.begun[r.Header.Get("X-Request-Id")] = true
				return true
			}
			w.arrivals = append(w.arrivals, arrival{time.Now(), r.Header.Get("X-Request-Id"), b.Address})
			d.Log("backend at %s begins to run %s and crashes (crash %d)", b.Address, r.Header.Get("X-Request-Id"), len(w.arrivals))
			d.CrashBackend(b, backAfter)
			return false
		}
	}
	d.PutPolicy("00000001", []deployment.Route{
		{Host: "h.example", Prefix: "/lookup/", Service: "riders", Kind: "safe", TimeoutS: 5, TargetLatencyS: 1.2, MaxAttempts: 2, Priority: 2},
		{Host: "h.example", Prefix: "/void/", Kind: "unsafe", TimeoutS: 5, TargetLatencyS: 1.2, MaxAttempts: 2,
			Split: []deployment.Share{{Service: "voids", Weight: 1}, {Service: "riders", Weight: 1}, {Service: "signings", Weight: 1}}},
	}, []deployment.Tenant{{Name: "t1", Keys: []string{"key-one"}}})
	if err := d.Start(); err != nil {
		return 2, err
	}
	time.Sleep(4 * time.Second)
	d.Log("all nodes are ready")
	var ending atomic.Bool
	var wg sync.WaitGroup
	// The machines of the fourth service send the requests; nothing happens to them.
	origins := []*deployment.Node{d.Nodes[3], d.Nodes[7], d.Nodes[11]}
	start := time.Now()
	if trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; !ending.Load(); i++ {
				n := origins[i%len(origins)]
				id := fmt.Sprintf("crash-%d", i)
				status, reason := call(n, id, "/void/crash", 2*time.Second)
				d.Log("client at %s sent %s, got %s %s", n.Name, id, status, reason)
				time.Sleep(callEvery/2 + rand.N(callEvery))
			}
		}()
	}
	for i := range others {
		n := origins[i%len(origins)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			for c := 0; !ending.Load(); c++ {
				id := fmt.Sprintf("other-%d-%d", i, c)
				status, reason := call(n, id, fmt.Sprintf("/void/v%d-%d", i, c), 2*time.Second)
				w.mu.Lock()
				if w.begun[id] && status != "200 OK" {
					w.lost[id] = true
					d.Log("a backend began to run %s of another client, which got %s %s", id, status, reason)
				}
				w.mu.Unlock()
				time.Sleep(rand.N(40 * time.Millisecond))
			}
		}()
	}
	time.Sleep(*watch)
	ending.Store(true)
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	from := start.Add(*watch)
	if len(w.arrivals) >= crashesAllowed {
		from = w.arrivals[crashesAllowed-1].at.Add(stable)
	}
	late := 0
	for _, a := range w.arrivals {
		if a.at.After(from) {
			late++
		}
	}
	d.Log("%d crashes, %d of them later than %v after the third one", len(w.arrivals), late, stable)
	d.Log("%d requests of other clients were begun and not answered by the backend", len(w.lost))
	if late > retriesAllowed {
		d.Log("BROKEN: more than %d", retriesAllowed)
		return 1, nil
	}
	d.Log("held")
	return 0, nil
}

// call sends one request and returns the status of its answer.
func call(n *deployment.Node, id, path string, limit time.Duration) (status, reason string) {
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	r, _ := http.NewRequest(http.MethodPost, "http://"+n.Entry+path, bytes.NewReader([]byte("void 17")))
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	r.Header.Set("Authorization", "Token key-one")
	response, err := client.Do(r)
	if err != nil {
		return "no answer", err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Status, response.Header.Get("Coltsfoot-Reason")
}
