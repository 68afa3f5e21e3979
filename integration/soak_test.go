package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/standin/soak"
)

// Guards against guarantees that fail when faults overlap: nodes in platform mode run for a few seconds with random faults.
// The first seed is the short run of each build. Every further seed has failed once; add its cause beside it.
func TestSoak(t *testing.T) {
	for _, c := range []struct {
		seed     uint64
		nodes    int
		duration time.Duration
	}{
		{seed: 1, nodes: 6, duration: 15 * time.Second},
	} {
		t.Run(fmt.Sprintf("seed=%d", c.seed), func(t *testing.T) {
			runSoak(t, soak.Options{Seed: c.seed, Nodes: c.nodes, Duration: c.duration})
		})
	}
}

// Guards against calls in an evacuated domain while nodes, links and the store fail: a store that is restored from a copy, nodes
// that start, and machines that are cut off.
func TestSoakWithEvacuations(t *testing.T) {
	runSoak(t, soak.Options{Seed: 1, Nodes: 9, Duration: 45 * time.Second, Evacuate: true})
}

func runSoak(t *testing.T, o soak.Options) {
	t.Helper()
	o.Bin, o.Work = programDir(t), workDir(t)
	faults, err := os.Create(filepath.Join(o.Work, "faults.log"))
	assert.NilError(t, err)
	defer func() { _ = faults.Close() }()
	o.Log = faults
	result, err := soak.Run(t.Context(), o)
	assert.NilError(t, err)
	t.Log(result)
	if len(result.Violations) > 0 {
		t.Fatal(strings.Join(result.Violations, "\n"))
	}
	assert.Assert(t, result.Successes > 0 && result.Faults > 0)
}
