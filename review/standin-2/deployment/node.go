package deployment

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Node is a coltsfootd process beside a backend.
type Node struct {
	Name, Zone, Service, IP string
	Entry, Peer, Ready      string
	Operator                int
	Target                  string

	program, settings string
	logs              *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// startedAt is the time of the last start.
	startedAt time.Time
	// Exits are the ends of the process, newest last.
	Exits []string
	// stopped is true once the process is not started again.
	stopped bool
	// Kills counts the kills for memory.
	Kills int
	// PeakMB is the highest resident memory seen.
	PeakMB float64
}

// Limits are the limits of a machine.
type Limits struct {
	MemoryMB float64
	MaxFiles int
}

func (n *Node) writeSettings(dir, store string, l Limits) error {
	text := fmt.Sprintf(`nodeName: %q
failureDomain: %q
service: %q
entryAddress: %q
peerAddress: %q
readinessAddress: %q
operatorPort: %d
targetAddress: %q
platformAddress: %q
keyLeaseSeconds: 5
configSeconds: 2
evacuationSeconds: 
graceSeconds: 6
retryShare: 0.2
retrySlack: 48
memoryMB: %v
maxFiles: %d
`, n.Name, n.Zone, n.Service, n.Entry, n.Peer, n.Ready, n.Operator, n.Target, store, l.MemoryMB, l.MaxFiles)
	n.settings = filepath.Join(dir, n.Name+".yaml")
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// Start starts the process with the run line of the deploy file.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := exec.Command(n.program, "mesh", "--config", n.settings)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = n.logs, n.logs
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	n.command, n.ended, n.startedAt = c, make(chan struct{}), time.Now()
	ended := n.ended
	go func() {
		err := c.Wait()
		n.mu.Lock()
		n.Exits = append(n.Exits, fmt.Sprintf("%s: %v", time.Now().Format("15:04:05.000"), err))
		n.mu.Unlock()
		close(ended)
	}()
	return nil
}

// StartedAt returns the time of the last start of the process.
func (n *Node) StartedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startedAt
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(s)
	}
}

// lastExit returns the latest end of the process.
func (n *Node) lastExit() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.Exits) == 0 {
		return ""
	}
	return n.Exits[len(n.Exits)-1]
}

// Running reports whether the process has not ended.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// Wait waits for the end of the process.
func (n *Node) Wait(limit time.Duration) bool {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// ResidentMB returns the resident memory of the process in MB, without the pages of its program file; 0 if it has ended.
func (n *Node) ResidentMB() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(raw) {
		if text, ok := strings.CutPrefix(string(line), "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(text)[0], 64)
			mb := kb * 1024 / 1e6
			n.PeakMB = max(n.PeakMB, mb)
			return mb
		}
	}
	return 0
}

// IsReady asks the node whether it is ready, as the platform does.
func (n *Node) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.Ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
