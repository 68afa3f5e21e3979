package launch

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is a child process that announces its start with one line on its standard output.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}

	mu  sync.Mutex
	err error
}

// startTimeout bounds the time until a process has announced its start.
const startTimeout = 20 * time.Second

// StartProcess starts the program, waits for its first line and appends its standard error to the log file.
func StartProcess(ctx context.Context, logFile, program string, args ...string) (*Process, error) {
	logs, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // The path is the launcher's own.
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = logs.Close() }()
	//nolint:gosec // The programs are the project's own.
	cmd := exec.CommandContext(context.WithoutCancel(ctx), program, args...)
	cmd.Stderr = logs
	// A program built with the race detector ends at the first race, so that a test notices it.
	cmd.Env = append(os.Environ(), "GORACE=halt_on_error=1")
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := cmd.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	announced := make(chan struct{})
	go p.watch(stdout, announced)
	select {
	case <-announced:
		return p, nil
	case <-p.done:
		return nil, Error.New("%s ended before it had started; see %s", program, logFile)
	case <-time.After(startTimeout):
		p.Kill()
		return nil, Error.New("%s did not start within %s; see %s", program, startTimeout, logFile)
	}
}

func (p *Process) watch(stdout io.Reader, announced chan struct{}) {
	reader := bufio.NewReader(stdout)
	if _, err := reader.ReadString('\n'); err == nil {
		close(announced)
	}
	_, _ = io.Copy(io.Discard, reader)
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// Signal sends the signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return Error.Wrap(p.cmd.Process.Signal(s))
}

// PID is the id of the process.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop asks the process to end, waits for it and returns its error.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return nil //nolint:nilerr // The process has ended already.
	}
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return Error.Wrap(p.err)
	case <-time.After(timeout):
		p.Kill()
		return Error.New("process %d did not stop within %s", p.PID(), timeout)
	}
}
