package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coltsfootusher.example/standin/soak"
)

func soakCommand(app *kingpin.Application) command {
	clause := app.Command("soak", "Run nodes under random faults and check what operators were promised.")
	seed := clause.Flag("seed", "First seed; 0 draws one.").Default("0").Uint64()
	runs := clause.Flag("runs", "Number of runs, each with the next seed.").Default("1").Int()
	nodes := clause.Flag("nodes", "Number of VMs, each with a node and a target.").Default("8").Int()
	duration := clause.Flag("duration", "Time in which faults begin.").Default("20s").Duration()
	bin := clause.Flag("bin", "Directory of the programs.").Default("bin").ExistingDir()
	work := clause.Flag("work", "Directory for the logs of the runs; those of good runs are removed.").Default("tmp/soak").String()
	return command{clause: clause, run: func(ctx context.Context, out io.Writer) error {
		first := *seed
		if first == 0 {
			first = uint64(time.Now().UnixNano()) % 1_000_000_000
		}
		failed := 0
		for i := range *runs {
			good, err := soakOnce(ctx, out, soak.Options{
				Bin: *bin, Work: filepath.Join(*work, fmt.Sprint(first+uint64(i))), Seed: first + uint64(i), Nodes: *nodes,
				Duration: *duration,
			})
			if err != nil {
				return err
			}
			if !good {
				failed++
			}
		}
		if failed > 0 {
			return fmt.Errorf("%d of %d runs broke a promise", failed, *runs)
		}
		return nil
	}}
}

// soakOnce plays one run and reports whether all promises were kept.
func soakOnce(ctx context.Context, out io.Writer, o soak.Options) (good bool, err error) {
	if err := os.MkdirAll(o.Work, 0o700); err != nil {
		return false, err
	}
	faults, err := os.Create(filepath.Join(o.Work, "faults.log"))
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, faults.Close()) }()
	o.Log = faults
	result, err := soak.Run(ctx, o)
	if err != nil {
		return false, fmt.Errorf("seed %d: %w; logs are in %s", o.Seed, err, o.Work)
	}
	if _, err := fmt.Fprintf(out, "seed=%d nodes=%d %s\n", o.Seed, o.Nodes, result); err != nil {
		return false, err
	}
	if len(result.Violations) == 0 {
		return true, os.RemoveAll(o.Work)
	}
	const shown = 10
	for _, v := range result.Violations[:min(shown, len(result.Violations))] {
		if _, err := fmt.Fprintf(out, "  %s\n", v); err != nil {
			return false, err
		}
	}
	_, err = fmt.Fprintf(out, "  logs are in %s\n", o.Work)
	return false, err
}
