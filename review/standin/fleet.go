package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the pages, as the small sites have them.
const (
	drainBound   = 2 * time.Second
	grace        = 6 * time.Second
	lossSlack    = 200 * time.Millisecond
	startTimeout = 30 * time.Second
)

// record writes what happened, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  io.Writer
	start time.Time
}

func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8s "+format+"\n", append([]any{r.at(time.Now())}, args...)...)
}

// machine is a machine with one node of the system and one backend.
type machine struct {
	fleet    *fleet
	name, ip string
	zone     string
	backend  *backend
	door     *door
	settings string
	process  *exec.Cmd
	exited   chan struct{}
	out      atomic.Bool
	// added is true once clients may use the machine, gone once they no longer do.
	added, gone atomic.Bool
	misses      int
	terminateAt time.Time
	exitedAt    time.Time
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record   *record
	store    *store
	mu       sync.Mutex
	machines []*machine
	// sentAt holds the times at which requests were sent, by id, for cases that send on kept connections.
	sentAt  map[string]time.Time
	work    string
	program string
	ports   struct{ store, entry, peer, ready, operator, app int }
	block   string
}

func newFleet(r *record, work, program string) *fleet {
	f := &fleet{record: r, work: work, program: program, sentAt: make(map[string]time.Time)}
	f.block = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
	base := 21000 + rand.IntN(8000)
	f.ports.store, f.ports.entry, f.ports.peer = base, base+1, base+2
	f.ports.ready, f.ports.operator, f.ports.app = base+3, base+4, base+5
	f.store = newStore()
	return f
}

// add adds a machine whose backend is of the service.
func (f *fleet) add(service, zone string, capacity int, work time.Duration) *machine {
	i := len(f.machines)
	m := &machine{fleet: f, name: fmt.Sprintf("m%d", i), ip: fmt.Sprintf("%s.%d", f.block, 10+i), zone: zone}
	m.backend = &backend{
		id: fmt.Sprintf("i-%s-%d-%04x", service, i, rand.IntN(1<<16)), service: service, zone: zone, capacity: capacity, queue: 4,
		work: work, address: fmt.Sprintf("%s:%d", m.ip, f.ports.app), record: f.record, store: f.store,
	}
	f.machines = append(f.machines, m)
	return m
}

// start starts all backends and nodes and waits until all nodes are ready.
func (f *fleet) start() error {
	for _, m := range f.machines {
		if err := m.backend.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.startNode(); err != nil {
			return err
		}
	}
	end := time.Now().Add(startTimeout)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		f.record.add("ready machine=%s service=%s backend=%s", m.name, m.backend.service, m.backend.id)
	}
	for _, m := range f.machines {
		m.added.Store(true)
		go m.poll()
	}
	return nil
}

func (m *machine) entry() string { return fmt.Sprintf("%s:%d", m.ip, m.fleet.ports.entry) }

// storeAddress is an address of the store that only this machine uses, so that the store can turn it away.
func (m *machine) storeAddress() string { return fmt.Sprintf("%s:%d", m.ip, m.fleet.ports.store) }

func (m *machine) startNode() error {
	p := m.fleet.ports
	if m.door == nil {
		d, err := m.fleet.store.open(m.storeAddress())
		if err != nil {
			return err
		}
		m.door = d
	}
	lines := []string{
		fmt.Sprintf("nodeName: %q", m.name), fmt.Sprintf("failureDomain: %q", m.zone),
		fmt.Sprintf("service: %q", m.backend.service), fmt.Sprintf("entryAddress: \"%s:%d\"", m.ip, p.entry),
		fmt.Sprintf("peerAddress: \"%s:%d\"", m.ip, p.peer), fmt.Sprintf("readinessAddress: \"%s:%d\"", m.ip, p.ready),
		fmt.Sprintf("operatorPort: %d", p.operator), fmt.Sprintf("targetAddress: %q", m.backend.address),
		fmt.Sprintf("platformAddress: %q", m.storeAddress()),
		"keyLeaseSeconds: 5", "configSeconds: 2", fmt.Sprintf("graceSeconds: %g", grace.Seconds()), "retryShare: 0.2",
		"retrySlack: 48", "memoryMB: 284", "maxFiles: 4100",
	}
	m.settings = filepath.Join(m.fleet.work, m.name+".yaml")
	if err := os.WriteFile(m.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.work, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.fleet.program, "mesh", "--config", m.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.process, m.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		m.exitedAt = time.Now()
		close(exited)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// roll stops the node as the platform does, with SIGTERM and SIGKILL after the grace period, and starts it again.
func (m *machine) roll() {
	m.terminateAt = time.Now()
	m.fleet.record.add("SIGTERM machine=%s", m.name)
	m.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-m.exited:
		case <-time.After(grace):
			m.fleet.record.add("SIGKILL machine=%s", m.name)
			m.signal(syscall.SIGKILL)
			<-m.exited
		}
		m.fleet.record.add("exited machine=%s after=%.2fs", m.name, m.exitedAt.Sub(m.terminateAt).Seconds())
		time.Sleep(300 * time.Millisecond)
		if err := m.startNode(); err != nil {
			m.fleet.record.add("start failed machine=%s err=%v", m.name, err)
		}
	}()
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (m *machine) ready() bool {
	response, err := probeClient.Get(fmt.Sprintf("http://%s:%d/v1/readiness", m.ip, m.fleet.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// poll asks the node once a second whether it is ready. Two misses take the machine out until the next 200.
func (m *machine) poll() {
	for range time.Tick(time.Second) {
		if m.ready() {
			m.misses = 0
			m.out.Store(false)
			continue
		}
		if m.misses++; m.misses >= 2 && !m.out.Swap(true) {
			m.fleet.record.add("out machine=%s", m.name)
		}
	}
}

func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.process != nil {
			m.signal(syscall.SIGCONT)
			m.signal(syscall.SIGKILL)
			<-m.exited
		}
		if m.backend.server != nil {
			_ = m.backend.server.Close()
		}
	}
	for _, d := range f.store.doors {
		_ = d.server.Close()
	}
}

// sent is a request of a client, with what came back.
type sent struct {
	id       string
	machine  *machine
	sentAt   time.Time
	endedAt  time.Time
	deadline time.Duration
	// connected is false if the connection was refused; status is 0 if the connection ended without a complete answer.
	connected bool
	status    int
	err       error
}

// send sends one request on a new connection, which is open for as long as the client waits.
func (f *fleet) send(m *machine, id, method, host, path, key string, body int, deadline time.Duration) *sent {
	s := &sent{id: id, machine: m, deadline: deadline}
	defer func() {
		s.endedAt = time.Now()
		f.record.add("answered id=%s machine=%s status=%d after=%.3fs err=%v", id, m.name, s.status, s.endedAt.Sub(s.sentAt).Seconds(),
			s.err)
	}()
	s.sentAt = time.Now()
	conn, err := net.DialTimeout("tcp", m.entry(), time.Second)
	if err != nil {
		s.err = err
		return s
	}
	defer func() { _ = conn.Close() }()
	s.connected = true
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", method, path, host, id, deadline.Milliseconds(), key, body, strings.Repeat("b", body))
	if _, err := io.WriteString(conn, request); err != nil {
		s.err = err
		return s
	}
	s.sentAt = time.Now()
	f.record.add("sent id=%s machine=%s %s %s", id, m.name, method, path)
	_ = conn.SetReadDeadline(s.sentAt.Add(deadline + 500*time.Millisecond))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		s.err = err
		return s
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		s.err = err
		return s
	}
	s.status = response.StatusCode
	return s
}

// row is one row of a table of the configuration.
type row []any

// publish writes a configuration with the routes and tenants.
func (f *fleet) publish(version int, routes, tenants []row) time.Time {
	services := map[string]bool{}
	var serviceRows []row
	for _, m := range f.machines {
		if !services[m.backend.service] {
			services[m.backend.service] = true
			serviceRows = append(serviceRows, row{m.backend.service, "/health", 2000, "h1", false})
		}
	}
	return f.store.put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{"columns": []string{
			"name", "host", "prefix", "kind", "timeout_s", "target_latency_s", "priority", "traffic_split", "max_attempts",
			"allow_anonymous", "service",
		}, "rows": routes},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "protocol", "tls"}, "rows": serviceRows,
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15,
		},
		"tenants": map[string]any{"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst"}, "rows": tenants},
	})
}
