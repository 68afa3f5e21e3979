package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"coltsfootusher.example/standin/fleetfile"
	"coltsfootusher.example/standin/target"
)

func targetCommand(app *kingpin.Application) command {
	clause := app.Command("target", "Serve one target.")
	file := clause.Flag("config", "YAML file with the target's settings.").Required().String()
	return command{clause: clause, run: func(ctx context.Context, out io.Writer) error {
		var settings target.Settings
		if err := fleetfile.ReadYAML(*file, &settings); err != nil {
			return err
		}
		t, err := target.New(settings, nil)
		if err != nil {
			return err
		}
		if err := t.Start(ctx); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "address=%s\n", t.Address())
		<-ctx.Done()
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		return t.Stop(stopCtx)
	}}
}
