package soak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of the soak itself.
var Error = errs.Class("soak")

const (
	// recoverTime is the time after the last fault within which every node serves again.
	recoverTime = 15 * time.Second
	// settleTime is the time for requests to run that were refused wrongly.
	settleTime = time.Second
	minNodes   = 4
	maxNodes   = 200
)

// Options are the parameters of a run.
type Options struct {
	// Bin is the directory of the programs, Work one for settings and logs.
	Bin, Work string
	Seed      uint64
	// Nodes is the number of VMs, each with a node and a target.
	Nodes int
	// Duration is the time in which faults begin.
	Duration time.Duration
	// Evacuate makes operators evacuate domains during the run.
	Evacuate bool
	// Log takes the faults as they are played; nil for none.
	Log io.Writer
}

// Result is what a run has shown.
type Result struct {
	// Violations are the promises that were broken.
	Violations []string
	// Calls, Successes, Runs and Faults count what happened.
	Calls, Successes, Runs, Faults int
	// Recovered is the time after the last fault until every node served again.
	Recovered time.Duration
}

// String summarises the result.
func (r Result) String() string {
	return fmt.Sprintf("faults=%d calls=%d successes=%d runs=%d recovered=%s violations=%d",
		r.Faults, r.Calls, r.Successes, r.Runs, r.Recovered.Round(time.Millisecond), len(r.Violations))
}

// Run plays one run. The error says that the run itself failed; broken promises are in the result.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.Nodes < minNodes || o.Nodes > maxNodes {
		return Result{}, Error.New("nodes must be between %d and %d, got %d", minNodes, maxNodes, o.Nodes)
	}
	f, err := startFleet(ctx, o)
	defer f.stop()
	if err != nil {
		return Result{}, err
	}
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	var group sync.WaitGroup
	for _, v := range f.vms {
		group.Go(func() { f.load(sending, v) })
	}
	group.Go(func() { f.operate(sending) })
	evacuating, stopEvacuating := context.WithCancel(sending)
	defer stopEvacuating()
	if o.Evacuate {
		group.Go(func() { f.evacuateDomains(evacuating) })
	}
	faults := schedule(o.Seed, o.Nodes, o.Duration)
	f.play(ctx, faults)
	stopEvacuating()
	begin := time.Now()
	f.awaitRecovery(ctx)
	recovered := time.Since(begin)
	stopSending()
	group.Wait()
	time.Sleep(settleTime)
	if ctx.Err() != nil {
		return Result{}, ctx.Err()
	}
	r := Result{Faults: len(faults), Recovered: recovered}
	for _, v := range f.violations() {
		r.Violations = append(r.Violations, v.String())
	}
	r.Calls, r.Successes, r.Runs = f.history.counts()
	return r, nil
}

// awaitRecovery waits until each node serves calls of every kind.
func (f *fleet) awaitRecovery(ctx context.Context) {
	var group sync.WaitGroup
	for _, v := range f.vms {
		group.Go(func() {
			round := 0
			err := f.await(ctx, recoverTime, v.name+" serves", func() bool {
				round++
				return f.serves(ctx, v, round)
			})
			if err != nil {
				f.report(violation{"nodes serve again after the last fault", err.Error()})
			}
		})
	}
	group.Wait()
}

func (f *fleet) logf(format string, values ...any) {
	if f.Log != nil {
		_, _ = fmt.Fprintf(f.Log, format+"\n", values...) // The log is a help; the result does not depend on it.
	}
}
