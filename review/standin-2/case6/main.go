// Command case6 sends a request that crashes backends again and again while the nodes of its service are restarted in turn.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coltsfootusher.example/review/standin2/deployment"
)

const (
	stable         = 3 * time.Second
	backAfter      = 4 * time.Second
	crashesAllowed = 3
	retriesAllowed = 3
	callEvery      = 700 * time.Millisecond
	// calmLength is about the time that the restarts take.
	calmLength = 42 * time.Second
)

var (
	program    = flag.String("program", "target/coltsfootd", "the node's program")
	recordPath = flag.String("record", "record.txt", "the record")
	watch      = flag.Duration("watch", 5*time.Second, "time for which the request comes again after the last restart")
	gap        = flag.Duration("gap", 10*time.Second, "time between two restarts")
	rolls      = flag.Int("rolls", 1, "rolling restarts")
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
	// startedAt is the time of the last start of the node beside each backend, by address.
	startedAt map[string]time.Time
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
			deployment.Spec{Service: "voids", Zone: zone, Slots: 139, Work: 78 * time.Millisecond})
	}
	d, err := deployment.New(*program, *recordPath, deployment.Limits{MemoryMB: 284, MaxFiles: 4100}, specs)
	if err != nil {
		return 2, err
	}
	defer d.Close()
	w := &watcher{startedAt: make(map[string]time.Time), begun: make(map[string]bool), lost: make(map[string]bool)}
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
		{Host: "h.example", Prefix: "/void/", Service: "voids", Kind: "unsafe", TimeoutS: 5, TargetLatencyS: 1.2, MaxAttempts: 2},
	}, []deployment.Tenant{{Name: "t1", Keys: []string{"key-one"}}})
	if err := d.Start(); err != nil {
		return 2, err
	}
	for _, n := range d.Nodes {
		w.startedAt[n.Target] = time.Now()
	}
	time.Sleep(4 * time.Second)
	d.Log("all nodes are ready")
	var ending atomic.Bool
	var wg sync.WaitGroup
	origins := []*deployment.Node{d.Nodes[0], d.Nodes[2], d.Nodes[4]}
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; !ending.Load(); i++ {
			n := origins[i%len(origins)]
			id := fmt.Sprintf("crash-%d", i)
			status, reason := call(n, id, "/void/crash", 2*time.Second)
			d.Log("client at %s sent %s, got %s %s", n.Name, id, status, reason)
			time.Sleep(callEvery)
		}
	}()
	for i, n := range append(origins, origins...) {
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
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	third := waitForCrashes(w, 30*time.Second)
	if third.IsZero() {
		return 2, fmt.Errorf("the request didn't crash backends %d times", crashesAllowed)
	}
	from := third.Add(stable)
	d.Log("the third crash was %.3f s ago", time.Since(third).Seconds())
	time.Sleep(time.Until(from) + 3*time.Second)
	if trouble {
		for range *rolls {
			for i := 1; i < len(d.Nodes); i += 2 {
				if err := restart(d, w, d.Nodes[i]); err != nil {
					return 2, err
				}
				time.Sleep(*gap)
			}
		}
	}
	if !trouble {
		time.Sleep(calmLength)
	}
	time.Sleep(*watch)
	ending.Store(true)
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	late := make(map[string]bool)
	for _, a := range w.arrivals {
		if a.at.After(from) && a.at.Sub(w.startedAt[a.backend]) > stable {
			late[a.id] = true
		}
	}
	afterThird := 0
	for _, a := range w.arrivals {
		if a.at.After(from) {
			afterThird++
		}
	}
	d.Log("%d crashes, %d of them later than %v after the third one; in %d of these the node beside the backend had run for %v",
		len(w.arrivals), afterThird, stable, len(late), stable)
	d.Log("%d requests of other clients were begun and not answered by the backend", len(w.lost))
	if len(late) > retriesAllowed {
		d.Log("BROKEN: more than %d", retriesAllowed)
		return 1, nil
	}
	d.Log("held")
	return 0, nil
}

func waitForCrashes(w *watcher, limit time.Duration) time.Time {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		w.mu.Lock()
		if len(w.arrivals) >= crashesAllowed {
			defer w.mu.Unlock()
			return w.arrivals[crashesAllowed-1].at
		}
		w.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}
}

// restart stops a node as the platform does and starts it again.
func restart(d *deployment.Deployment, w *watcher, n *deployment.Node) error {
	d.Log("%s gets SIGTERM", n.Name)
	n.Signal(syscall.SIGTERM)
	if !n.Wait(6 * time.Second) {
		n.Signal(syscall.SIGKILL)
		n.Wait(time.Second)
	}
	time.Sleep(500 * time.Millisecond)
	if err := n.Start(); err != nil {
		return err
	}
	w.mu.Lock()
	w.startedAt[n.Target] = time.Now()
	w.mu.Unlock()
	d.Log("%s is started again", n.Name)
	return nil
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
