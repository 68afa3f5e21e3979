package deployment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Spec describes one machine.
type Spec struct {
	Service, Zone string
	Slots         int
	Work          time.Duration
}

// Deployment is a running deployment.
type Deployment struct {
	Store    *Store
	Nodes    []*Node
	Backends []*Backend
	Limits   Limits
	// MaxBodyBytes is the published limit of a body.
	MaxBodyBytes int64

	storeAddress string
	dir          string
	stop         chan struct{}
	once         sync.Once
	record       *os.File
	recordMu     sync.Mutex
	started      time.Time
}

// The ports of a machine, from a common base.
const (
	entryPort = iota
	peerPort
	readyPort
	operatorPort
	targetPort
	portCount
)

// heartbeat is how often a backend writes its entry.
const heartbeat = 1500 * time.Millisecond

// freeBase returns a base such that all ports are free on all addresses.
func freeBase(ips []string) (int, error) {
	for range 100 {
		base := 20000 + 10*rand.IntN(1000)
		if allFree(ips, base) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func allFree(ips []string, base int) bool {
	for _, ip := range ips {
		for port := range portCount {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// New lays out a deployment. The record is written to the path.
func New(program, recordPath string, limits Limits, specs []Spec) (*Deployment, error) {
	d := &Deployment{Store: NewStore(), Limits: limits, MaxBodyBytes: 1 << 20, stop: make(chan struct{}), started: time.Now()}
	var err error
	if d.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	if d.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	var ips []string
	for i := range specs {
		ips = append(ips, fmt.Sprintf("127.0.7.%d", i+1))
	}
	base, err := freeBase(ips)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, d.Store) }()
	for i, s := range specs {
		at := func(port int) string { return fmt.Sprintf("%s:%d", ips[i], base+port) }
		b := &Backend{Service: s.Service, Zone: s.Zone, Address: at(targetPort), Slots: s.Slots,
			Queue: s.Slots, Work: s.Work}
		n := &Node{Name: fmt.Sprintf("sidecar-%d", i+1), Zone: s.Zone, Service: s.Service, IP: ips[i], Entry: at(entryPort),
			Peer: at(peerPort), Ready: at(readyPort), Operator: base + operatorPort, Target: at(targetPort), program: program}
		if n.logs, err = os.Create(filepath.Join(d.dir, n.Name+".log")); err != nil {
			return nil, err
		}
		if err := n.writeSettings(d.dir, d.storeAddress, limits); err != nil {
			return nil, err
		}
		d.Nodes, d.Backends = append(d.Nodes, n), append(d.Backends, b)
	}
	return d, nil
}

// Start starts the backends and the nodes, and waits until all nodes are ready.
func (d *Deployment) Start() error {
	for _, b := range d.Backends {
		if err := b.Start(); err != nil {
			return err
		}
		d.Store.Put("servers/"+b.ID, b.Entry("ready"))
	}
	go d.heartbeats()
	for _, n := range d.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range d.Nodes {
		for !n.IsReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (d *Deployment) heartbeats() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-tick.C:
			for _, b := range d.Backends {
				if !b.Down() {
					d.Store.Put("servers/"+b.ID, b.Entry("ready"))
				}
			}
		}
	}
}

// CrashBackend ends a backend, starts it again after the time, and lets its old entry expire after three reports are missing.
func (d *Deployment) CrashBackend(b *Backend, after time.Duration) {
	old := b.ID
	b.Crash()
	go func() {
		time.Sleep(after)
		if err := b.Start(); err != nil {
			d.Log("backend at %s can't start again: %v", b.Address, err)
			return
		}
		d.Store.Put("servers/"+b.ID, b.Entry("ready"))
		d.Log("backend at %s is back as %s", b.Address, b.ID)
	}()
	go func() {
		time.Sleep(3 * heartbeat)
		d.Store.Delete("servers/" + old)
	}()
}

// EnforceMemory kills a process whose memory is over the limit and starts it again after a short delay, as the platform does.
func (d *Deployment) EnforceMemory(n *Node) {
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if !n.Running() {
			d.Log("%s has ended (%s); it is started again", n.Name, n.lastExit())
			time.Sleep(time.Second)
			if n.stopped || n.Start() != nil {
				return
			}
			continue
		}
		if mb := n.ResidentMB(); mb > d.Limits.MemoryMB {
			n.Kills++
			d.Log("%s holds %.0f MB, over its limit of %.0f MB: the platform kills it", n.Name, mb, d.Limits.MemoryMB)
			n.Signal(syscall.SIGKILL)
			n.Wait(5 * time.Second)
		}
	}
}

// Log writes a line to the record.
func (d *Deployment) Log(format string, args ...any) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and removes the temporary folder.
func (d *Deployment) Close() {
	d.once.Do(func() { close(d.stop) })
	for _, n := range d.Nodes {
		n.stopped = true
		if n.command == nil {
			continue
		}
		n.Signal(syscall.SIGCONT)
		n.Signal(syscall.SIGKILL)
		n.Wait(5 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
	_ = d.record.Close()
}
