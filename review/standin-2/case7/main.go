// Command case7 sends heads over the limit to the open route of two nodes, beside ordinary callers, and watches their memory.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootusher.example/review/standin2/deployment"
)

const (
	memoryMB      = 284
	maxFiles      = 4100
	ordinaryEvery = 20 * time.Millisecond
	callTimeout   = 5 * time.Second
)

var (
	program     = flag.String("program", "target/coltsfootd", "the node's program")
	recordPath  = flag.String("record", "record.txt", "the record")
	connections = flag.Int("connections", 1200, "connections of the crowd at each node")
	headBytes   = flag.Int("head", 56_000, "bytes of a head of the crowd")
	lineBytes   = flag.Int("line", 10, "bytes of a field of such a head")
	duration    = flag.Duration("for", 60*time.Second, "length of the crowd")
	callers     = flag.Int("callers", 8, "ordinary callers of each node, which send one request after the other")
	attacked    = flag.Int("nodes", 2, "nodes that the crowd calls")
	perSecond   = flag.Int("rate", 400, "heads that the crowd begins to send to each node per second")
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
	specs := []deployment.Spec{}
	for _, zone := range []string{"a", "b", "c"} {
		specs = append(specs,
			deployment.Spec{Service: "riders", Zone: zone, Slots: 104, Work: 60 * time.Millisecond},
			deployment.Spec{Service: "trails", Zone: zone, Slots: 18, Work: 240 * time.Millisecond})
	}
	d, err := deployment.New(*program, *recordPath, deployment.Limits{MemoryMB: memoryMB, MaxFiles: maxFiles}, specs)
	if err != nil {
		return 2, err
	}
	defer d.Close()
	var runs atomic.Int64
	watch := deployment.NewLossWatch(d)
	for _, b := range d.Backends {
		b.Runs = func(b *deployment.Backend, r *http.Request) bool {
			runs.Add(1)
			watch.Begun(b, r.Header.Get("X-Request-Id"))
			return true
		}
	}
	d.PutPolicy("00000001", []deployment.Route{
		{Host: "h.example", Prefix: "/lookup/", Service: "riders", Kind: "safe", TimeoutS: 5, TargetLatencyS: 1.2, MaxAttempts: 2, Priority: 2},
		{Host: "h.example", Prefix: "/feed/", Service: "trails", Kind: "safe", TimeoutS: 2.5, TargetLatencyS: 0.3, MaxAttempts: 2, Priority: 2,
			AllowAnonymous: true},
	}, []deployment.Tenant{{Name: "t1", Keys: []string{"key-one"}}})
	if err := d.Start(); err != nil {
		return 2, err
	}
	time.Sleep(2 * time.Second)
	d.Log("all nodes are ready")
	for _, n := range d.Nodes {
		go d.EnforceMemory(n)
	}
	ctx, cancel := context.WithTimeout(context.Background(), *duration)
	defer cancel()
	var wg sync.WaitGroup
	var ok, failed atomic.Int64
	for i, n := range d.Nodes {
		client := deployment.NewKeptClient(n, watch)
		for c := range *callers {
			wg.Add(1)
			go func() { defer wg.Done(); ordinary(ctx, client, fmt.Sprintf("ordinary-%d-%d", i, c), &ok, &failed) }()
		}
	}
	var sent, answered atomic.Int64
	statuses := sync.Map{}
	{
		head := head()
		if !trouble {
			head = "" // The same requests with heads inside the limit.
		}
		for i := 1; i < 2**attacked; i += 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				crowd(ctx, d.Nodes[i], head, fmt.Sprintf("crowd-%d", i), &sent, &answered, &statuses)
			}()
		}
	}
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		line := ""
		for _, n := range d.Nodes {
			line += fmt.Sprintf(" %.0f", n.ResidentMB())
		}
		d.Log("memory of the nodes, MB:%s; crowd: %d heads sent, %d answers; ordinary: %d answered, %d not; runs: %d", line, sent.Load(),
			answered.Load(), ok.Load(), failed.Load(), runs.Load())
	}
	wg.Wait()
	statuses.Range(func(k, v any) bool { d.Log("crowd got %v: %d", k, v.(*atomic.Int64).Load()); return true })
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

// ordinary sends small requests with a key, one at a time.
func ordinary(ctx context.Context, client *deployment.KeptClient, name string, ok, failed *atomic.Int64) {
	for i := 0; ctx.Err() == nil; i++ {
		if client.Get("/lookup/x", "key-one", fmt.Sprintf("%s-%d", name, i), callTimeout) == "200 OK " {
			ok.Add(1)
		} else {
			failed.Add(1)
		}
		time.Sleep(ordinaryEvery)
	}
}

// head returns the fields of a head over the limit, after those that each request has.
func head() string {
	var b strings.Builder
	for i := 0; b.Len() < *headBytes; i++ {
		fmt.Fprintf(&b, "%s: 1\r\n", fmt.Sprintf("a%0*d", *lineBytes-6, i))
	}
	return b.String()
}

// crowd sends requests with the head at a steady rate, on at most a number of connections at a time.
func crowd(ctx context.Context, n *deployment.Node, head, name string, sent, answered *atomic.Int64, statuses *sync.Map) {
	var wg sync.WaitGroup
	open := make(chan struct{}, *connections)
	tick := time.NewTicker(time.Second / time.Duration(*perSecond))
	defer tick.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		<-tick.C
		select {
		case open <- struct{}{}:
		default:
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-open }()
			status := one(ctx, n, head, fmt.Sprintf("%s-%d", name, i), sent)
			count, _ := statuses.LoadOrStore(status, new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
			if status != "no answer" {
				answered.Add(1)
			}
		}()
	}
	wg.Wait()
}

func one(ctx context.Context, n *deployment.Node, head, id string, sent *atomic.Int64) string {
	c, err := net.DialTimeout("tcp", n.Entry, time.Second)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = c.Close() }()
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	request := "GET /feed/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 2500\r\n" + head + "\r\n"
	if _, err := io.WriteString(c, request); err != nil {
		return "no answer"
	}
	sent.Add(1)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	_ = response.Body.Close()
	return response.Status
}
