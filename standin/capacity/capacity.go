package capacity

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of the measurements.
var Error = errs.Class("capacity")

// DefaultMinCPU is the processor time of one measurement; shorter ones vary with the state of the caches.
const DefaultMinCPU = 60 * time.Millisecond

// Options say what to measure.
type Options struct {
	Out io.Writer
	// Divisor divides all sizes, so that tests finish soon; 1 measures the sizes of docs/CAPACITY.md.
	Divisor int
	// MinCPU is the processor time that each measurement takes at least.
	MinCPU time.Duration
}

// Run prints key=value lines; each key ends in its unit. Processor time is that of the whole process, user and system,
// with the garbage collector's; of several measurements the lowest counts.
func Run(ctx context.Context, o Options) error {
	r := &run{ctx: ctx, out: o.Out, divisor: max(1, o.Divisor), minCPU: o.MinCPU}
	r.printf("go=%s", runtime.Version())
	r.printf("cpus=%d", runtime.NumCPU())
	for _, measure := range []func() error{
		r.accounts, r.vms, r.members, r.readers, r.balancers, r.gates, r.calls, r.messages, r.operations, r.limits,
	} {
		if err := measure(); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return Error.Wrap(ctx.Err())
		}
	}
	return nil
}

type run struct {
	ctx     context.Context
	out     io.Writer
	divisor int
	minCPU  time.Duration
	points  map[string][]point
}

type point struct{ size, value float64 }

// sizes returns the sizes divided by the divisor, at least 2 and 4 and so on, so that they stay different.
func (r *run) sizes(sizes ...int) []int {
	scaled := make([]int, len(sizes))
	for i, size := range sizes {
		scaled[i] = max(2*(i+1), size/r.divisor)
	}
	return scaled
}

func (r *run) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// record prints one value and remembers it for the slope of its metric.
func (r *run) record(part string, size int, metric string, value float64) {
	r.printf("%s.%d.%s=%.4g", part, size, metric, value)
	if r.points == nil {
		r.points = make(map[string][]point)
	}
	key := part + "." + metric
	r.points[key] = append(r.points[key], point{float64(size), value})
}

// slope prints the least-squares line through the values of a metric: its growth per unit of size and its value at 0.
func (r *run) slope(part, metric, per string) {
	slope, base := fit(r.points[part+"."+metric])
	r.printf("%s.%sPer%s=%.4g", part, metric, per, slope)
	r.printf("%s.%sBase=%.4g", part, metric, base)
}

// fit returns slope and intercept of the least-squares line.
func fit(points []point) (slope, base float64) {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.size
		sumY += p.value
		sumXX += p.size * p.size
		sumXY += p.size * p.value
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return slope, (sumY - slope*sumX) / n
}

// rounds is the number of measurements of which the lowest counts, since other load on the machine only adds time.
const rounds = 3

// cpuMicros returns the processor time of one call of work in microseconds.
func (r *run) cpuMicros(work func()) float64 {
	work()
	lowest := math.Inf(1)
	for range rounds {
		runtime.GC()
		lowest = min(lowest, r.round(work))
	}
	return lowest
}

func (r *run) round(work func()) float64 {
	for count := 1; ; count *= 2 {
		before := processorTime()
		for range count {
			work()
		}
		if used := processorTime() - before; used >= r.minCPU || r.ctx.Err() != nil {
			return float64(used.Microseconds()) / float64(count)
		}
	}
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // Getrusage of the own process fails only for a bad argument.
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// retainedBytes returns the heap that the value of build keeps alive.
func retainedBytes(build func() any) float64 {
	before := heapBytes()
	value := build()
	after := heapBytes()
	runtime.KeepAlive(value)
	return max(0, float64(after)-float64(before))
}

func heapBytes() uint64 {
	// Finalizers and pools need a second collection.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
