// Command case8 lets two backends answer their requests with a head without end, and watches the memory of the nodes beside
// them.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootusher.example/review/standin2/deployment"
)

const (
	memoryMB     = 284
	maxFiles     = 4100
	slots        = 335
	deadline     = 6 * time.Second
	headInterval = 100 * time.Millisecond
	// troubleLength is the longest time for which the site file lets backends fail requests (srv_grey).
	troubleLength = 8500 * time.Millisecond
	calmLength    = 8 * time.Second
)

var (
	program    = flag.String("program", "target/coltsfootd", "the node's program")
	recordPath = flag.String("record", "record.txt", "the record")
	rate       = flag.Int("rate", 455, "requests of clients per second")
	duration   = flag.Duration("for", 50*time.Second, "length of the run")
	headBytes  = flag.Int("bytes", 1200, "bytes of a head that a backend sends per interval")
	bad        = flag.Int("bad", 2, "backends in trouble")
	share      = flag.Int("share", 100, "answers of these that have no end, in percent")
)

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
			deployment.Spec{Service: "appointments", Zone: zone, Slots: slots, Work: 60 * time.Millisecond},
			deployment.Spec{Service: "removals", Zone: zone, Slots: slots, Work: 78 * time.Millisecond})
	}
	d, err := deployment.New(*program, *recordPath, deployment.Limits{MemoryMB: memoryMB, MaxFiles: maxFiles}, specs)
	if err != nil {
		return 2, err
	}
	defer d.Close()
	watch := deployment.NewLossWatch(d)
	var inTrouble atomic.Bool
	var endless, endlessNow, runs atomic.Int64
	for i, b := range d.Backends {
		sound := i%2 != 0 || i/2 >= *bad // Those that are in trouble at times never count as sound.
		b.Runs = func(b *deployment.Backend, r *http.Request) bool {
			runs.Add(1)
			if sound {
				watch.Begun(b, r.Header.Get("X-Request-Id"))
			}
			return true
		}
	}
	for i := range *bad {
		var count atomic.Int64
		b := d.Backends[2*i]
		b.Wants = func(r *http.Request) bool {
			return inTrouble.Load() && r.URL.Path != "/health" && count.Add(1)%100 < int64(*share)
		}
		b.Raw = func(c net.Conn, _ *http.Request) bool {
			endless.Add(1)
			endlessNow.Add(1)
			defer endlessNow.Add(-1)
			return headWithoutEnd(c)
		}
	}
	d.PutPolicy("00000001", []deployment.Route{
		{Host: "h.example", Prefix: "/lookup/", Service: "appointments", Kind: "safe", TimeoutS: deadline.Seconds(), TargetLatencyS: 1.5,
			MaxAttempts: 2, Priority: 2},
	}, []deployment.Tenant{{Name: "t1", Keys: []string{"key-one"}}})
	if err := d.Start(); err != nil {
		return 2, err
	}
	time.Sleep(2 * time.Second)
	d.Log("all nodes are ready")
	for _, n := range d.Nodes {
		go d.EnforceMemory(n)
	}
	end := time.Now().Add(*duration)
	if trouble {
		go func() {
			for time.Now().Before(end) {
				inTrouble.Store(true)
				time.Sleep(troubleLength)
				inTrouble.Store(false)
				time.Sleep(calmLength)
			}
		}()
	}
	var statuses sync.Map
	done := make(chan struct{})
	go func() { callers(d, watch, end, &statuses); close(done) }()
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		line := ""
		for _, n := range d.Nodes {
			line += fmt.Sprintf(" %.0f", n.ResidentMB())
		}
		d.Log("memory of the nodes, MB:%s; heads without end so far: %d, now: %d; runs: %d", line, endless.Load(), endlessNow.Load(), runs.Load())
	}
	<-done
	statuses.Range(func(k, v any) bool { d.Log("clients got %v: %d", k, v.(*atomic.Int64).Load()); return true })
	for _, n := range d.Nodes {
		d.Log("%s: peak %.0f MB of %d, killed %d times", n.Name, n.PeakMB, memoryMB, n.Kills)
	}
	if watch.Judge() {
		d.Log("BROKEN: a machine closed more than three such connections")
		return 1, nil
	}
	d.Log("held")
	return 0, nil
}

// headWithoutEnd sends the head of an answer until the caller closes.
func headWithoutEnd(c net.Conn) bool {
	w := bufio.NewWriter(c)
	_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n")
	for field := 0; ; {
		for sent := 0; sent < *headBytes; field++ {
			n, _ := fmt.Fprintf(w, "%s:\r\n", name(field))
			sent += n
		}
		if w.Flush() != nil {
			return true
		}
		time.Sleep(headInterval)
	}
}

// name returns the short name of a field.
func name(field int) string {
	const letters, length = "abcdefghijklmnopqrstuvwxyz0123456789", 3
	b := make([]byte, length)
	for i := range b {
		b[i] = letters[field%len(letters)]
		field /= len(letters)
	}
	return string(b)
}

// callers sends ordinary lookups at a steady rate to all nodes in turn.
func callers(d *deployment.Deployment, watch *deployment.LossWatch, end time.Time, statuses *sync.Map) {
	var clients []*deployment.KeptClient
	for _, n := range d.Nodes {
		clients = append(clients, deployment.NewKeptClient(n, watch))
	}
	tick := time.NewTicker(time.Second / time.Duration(*rate))
	defer tick.Stop()
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		<-tick.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			status := clients[i%len(clients)].Get("/lookup/x", "key-one", fmt.Sprintf("lookup-%d", i), deadline)
			count, _ := statuses.LoadOrStore(status, new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
		}()
	}
	wg.Wait()
}
