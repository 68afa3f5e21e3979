package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs"

	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/fleetfile"
)

func callersCommand(app *kingpin.Application) command {
	clause := app.Command("callers", "Send an open-loop load and check every response.")
	file := clause.Flag("config", "YAML file with the load's settings.").Required().String()
	resultFile := clause.Flag("result", "File for the result as JSON, with all once-only operations.").String()
	return command{clause: clause, run: func(ctx context.Context, out io.Writer) error {
		var settings caller.Settings
		if err := fleetfile.ReadYAML(*file, &settings); err != nil {
			return err
		}
		load, err := caller.New(settings)
		if err != nil {
			return err
		}
		result := load.Run(ctx)
		printResult(out, result)
		if *resultFile != "" {
			data, err := json.Marshal(result)
			if err != nil {
				return err
			}
			if err := os.WriteFile(*resultFile, data, 0o600); err != nil {
				return err
			}
		}
		if wrong := result.Total.ByVerdict[caller.Wrong]; wrong > 0 {
			return errs.New("%d responses were not the whole answer to their request", wrong)
		}
		return nil
	}}
}

func printResult(out io.Writer, r *caller.Result) {
	_, _ = fmt.Fprintf(out, "due=%d attempts=%d\n", r.Total.Due, r.Total.Attempts)
	for verdict, count := range r.Total.ByVerdict {
		_, _ = fmt.Fprintf(out, "%s=%d\n", verdict, count)
	}
	for kind, h := range r.Latencies {
		_, _ = fmt.Fprintf(out, "%s.p50Ms=%.1f %s.p99Ms=%.1f\n",
			kind, float64(h.ValueAtQuantile(50))/1000, kind, float64(h.ValueAtQuantile(99))/1000)
	}
	for _, mistake := range r.Mistakes {
		_, _ = fmt.Fprintf(out, "mistake=%q\n", mistake)
	}
}
