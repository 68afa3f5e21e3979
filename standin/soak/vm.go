package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"coltsfootusher.example/platform/platformtest"
)

// Ports on the IP address of a VM. Traffic to peerPort, targetPort and storePort passes a link.
const (
	entryPort        = 7100
	peerPort         = 7101
	peerListenPort   = 7102
	targetPort       = 7103
	targetListenPort = 7104
	storePort        = 7105
	readinessPort    = 7106
	operatorPort     = 7107
)

const (
	targetSlots = 8
	targetWork  = 10 * time.Millisecond
	// graceTime is the time between the order to stop and the end of the process.
	graceTime = 6 * time.Second
)

// vm is a virtual machine with a node and a target.
type vm struct {
	fleet             *fleet
	number            int
	name, ip          string
	service, domain   string
	settingsFile, log string

	// restarting is held from the order to stop the node until it is started again.
	restarting sync.Mutex

	mu sync.Mutex
	// process is the running node, nil while it is stopped on purpose.
	process *exec.Cmd
	ended   chan struct{}
	target  *platformtest.Target
	entry   platformtest.Entry
	starts  int
	// behaviours counts the changes of the behaviour of this VM's targets.
	behaviours int
}

func (v *vm) address(port int) string {
	return fmt.Sprintf("%s:%d", v.ip, port)
}

func (v *vm) writeSettings() error {
	settings := map[string]any{
		"nodeName": v.name, "failureDomain": v.domain, "service": v.service,
		"entryAddress": v.address(entryPort), "peerAddress": v.address(peerPort), "peerListenAddress": v.address(peerListenPort),
		"readinessAddress": v.address(readinessPort), "operatorPort": operatorPort, "targetAddress": v.address(targetPort),
		"platformAddress": v.address(storePort), "keyLeaseSeconds": revokeTime.Seconds(), "graceSeconds": graceTime.Seconds(),
	}
	if v.fleet.Evacuate {
		settings["evacuationSeconds"] = evacuationTime.Seconds()
	}
	raw, err := yaml.Marshal(settings)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(v.settingsFile, raw, 0o600))
}

// startNode starts the process of the node.
func (v *vm) startNode() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	logs, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = logs.Close() }()
	program := filepath.Join(v.fleet.Bin, "coltsfootd")
	//nolint:gosec // The program is the project's own.
	process := exec.CommandContext(context.Background(), program, "mesh", "--config", v.settingsFile)
	process.Stdout, process.Stderr = logs, logs
	// A program built with the race detector ends at the first race.
	process.Env = append(os.Environ(), "GORACE=halt_on_error=1")
	if err := process.Start(); err != nil {
		return Error.Wrap(err)
	}
	ended := make(chan struct{})
	v.process, v.ended = process, ended
	go func() {
		err := process.Wait()
		v.fleet.history.nodeEnded()
		close(ended)
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.process == process {
			v.process = nil
			v.fleet.report(violation{"nodes do not end by themselves", fmt.Sprintf("%s: %v, see %s", v.name, err, v.log)})
		}
	}()
	return nil
}

// stopNode sends the signal, which ends the node, and waits for the end, at most for the grace time.
func (v *vm) stopNode(s syscall.Signal) {
	v.mu.Lock()
	process, ended := v.process, v.ended
	v.process = nil
	v.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(s) // It has ended if this fails.
	select {
	case <-ended:
	case <-time.After(graceTime + time.Second):
		_ = process.Process.Kill()
		<-ended
	}
}

// signalNode sends a signal to the node if it runs.
func (v *vm) signalNode(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(s) // It has ended if this fails.
	}
}

// ready reports whether the node says that it takes work.
func (v *vm) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address(readinessPort)+"/v1/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startTarget starts a target and publishes it; it has the id of its predecessor or a new one.
func (v *vm) startTarget(sameID bool) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.target != nil {
		return nil
	}
	v.starts++
	if !sameID || v.entry.ID == "" {
		if v.entry.ID != "" {
			v.fleet.store.RemoveTarget(v.entry.ID) // A restored store may list the former target again.
		}
		v.entry.ID = fmt.Sprintf("t%d-%d", v.number, v.starts)
	}
	v.entry.Service, v.entry.FailureDomain, v.entry.Address = v.service, v.domain, v.address(targetPort)
	v.entry.Slots, v.entry.Draining, v.entry.Sequence, v.entry.BornMs = targetSlots, false, 1, time.Now().UnixMilli()
	target, err := platformtest.StartTarget(v.entry, v.address(targetListenPort), v.address(entryPort), &v.fleet.history,
		platformtest.Behaviour{WorkTime: targetWork})
	if err != nil {
		return Error.Wrap(err)
	}
	v.target = target
	v.behaviours++
	return Error.Wrap(v.fleet.store.PublishTarget(v.entry))
}

// stopTarget ends the target as a crash does; its entry stays.
func (v *vm) stopTarget() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.target != nil {
		v.target.Stop()
		v.target = nil
	}
}

// publishLeaving publishes that the target is about to leave.
func (v *vm) publishLeaving() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.entry.Draining = true
	v.entry.Sequence++
	return Error.Wrap(v.fleet.store.PublishTarget(v.entry))
}

// publishAgain publishes the entry of a running target again.
func (v *vm) publishAgain() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.target == nil {
		return nil
	}
	v.entry.Sequence++
	return Error.Wrap(v.fleet.store.PublishTarget(v.entry))
}

func (v *vm) removeEntry() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet.store.RemoveTarget(v.entry.ID)
}

// targetID returns the id of the target.
func (v *vm) targetID() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.entry.ID
}

// behave changes how the target treats its requests, and returns the number of changes so far.
func (v *vm) behave(b platformtest.Behaviour) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.behaviours++
	if v.target != nil {
		v.target.SetBehaviour(b)
	}
	return v.behaviours
}
