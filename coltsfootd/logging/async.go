package logging

import (
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the maximum number of lines that wait for a slow writer.
const maxQueuedLines = 2048

// Async writes lines in the background, so that a stalled reader of the log never blocks the program. Lines that do not
// fit into the queue are dropped and counted.
type Async struct {
	lines    chan []byte
	stopping chan struct{}
	done     chan struct{}
	dropped  atomic.Int64
}

// NewAsync returns a writer that writes to w in the background.
func NewAsync(w io.Writer) *Async {
	a := &Async{
		lines: make(chan []byte, maxQueuedLines), stopping: make(chan struct{}), done: make(chan struct{}),
	}
	go a.run(w)
	return a
}

// Write queues a line, or drops it if the queue is full; it never fails or blocks.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines. Lines that are written afterwards are lost. It must be called once.
func (a *Async) Close() error {
	close(a.stopping)
	<-a.done
	return nil
}

func (a *Async) run(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.writeLine(w, line)
		case <-a.stopping:
			a.writeQueued(w)
			return
		}
	}
}

func (a *Async) writeQueued(w io.Writer) {
	for range len(a.lines) {
		a.writeLine(w, <-a.lines)
	}
}

func (a *Async) writeLine(w io.Writer, line []byte) {
	if dropped := a.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w, "part=logging msg=\"log lines left out, the reader is slow\" count=%d\n", dropped)
	}
	_, _ = w.Write(line) // There is nowhere to report that the log can't be written.
}
