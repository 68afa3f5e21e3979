package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"coltsfootusher.example/standin/launch"
)

const (
	// ticksPerSecond is the unit of processor times in /proc, which Linux fixes at 100.
	ticksPerSecond = 100
	// The fields of /proc/PID/stat after the name of the program, which may contain spaces.
	userTimeField   = 11
	systemTimeField = 12
	kibiPerMebi     = 1024
)

// usage is what the node processes used.
type usage struct {
	// cpuPercent is the mean over the nodes, in percent of one core.
	cpuPercent float64
	// memoryMB is the largest resident size of a node, in MiB.
	memoryMB float64
}

type usageWatch struct {
	fleet *launch.Fleet
	begin time.Time
	ticks map[int]float64
}

func startUsage(f *launch.Fleet) *usageWatch {
	w := &usageWatch{fleet: f, begin: time.Now(), ticks: make(map[int]float64)}
	for _, v := range f.VMs {
		w.ticks[v.Node.PID()] = processTicks(v.Node.PID())
	}
	return w
}

// stop returns the use since the start; nodes that were replaced meanwhile count from their own start.
func (w *usageWatch) stop() usage {
	var u usage
	seconds := time.Since(w.begin).Seconds()
	for _, v := range w.fleet.VMs {
		pid := v.Node.PID()
		used := processTicks(pid) - w.ticks[pid]
		u.cpuPercent += max(0, used) / ticksPerSecond / seconds * 100 / float64(len(w.fleet.VMs))
		u.memoryMB = max(u.memoryMB, residentMB(pid))
	}
	return u
}

// processTicks returns the processor time of the process, or 0 when it has ended.
func processTicks(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) <= systemTimeField {
		return 0
	}
	return number(fields[userTimeField]) + number(fields[systemTimeField])
}

func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return number(strings.Fields(rest)[0]) / kibiPerMebi
		}
	}
	return 0
}

func number(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return value
}
