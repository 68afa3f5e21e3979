package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/standin/platform"
)

func platformCommand(app *kingpin.Application) command {
	clause := app.Command("platform", "Serve the published values.")
	address := clause.Flag("listen", "IP address and port.").Default("127.0.0.1:0").String()
	directory := clause.Flag("values", "Directory with presets.json and the other sections to publish first.").String()
	return command{clause: clause, run: func(ctx context.Context, out io.Writer) error {
		p := platform.New()
		if *directory != "" {
			if err := PublishDirectory(p, *directory); err != nil {
				return err
			}
		}
		srv, err := p.Start(ctx, *address)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "address=%s\n", srv.Address())
		<-ctx.Done()
		// Waiting watches are ended, as otherwise stopping would take as long as their wait.
		if err := p.SetBehaviour("", platform.Behaviour{Mode: platform.Down}); err != nil {
			return err
		}
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		return srv.Stop(stopCtx)
	}}
}

// PublishDirectory publishes NAME.json of the directory for each section.
func PublishDirectory(p *platform.Platform, directory string) error {
	for _, name := range fleet.SectionNames() {
		data, err := os.ReadFile(filepath.Join(directory, string(name)+".json")) // #nosec G304 -- named by the operator
		if err != nil {
			return err
		}
		if _, err := p.Publish(string(name), data, platform.AnyVersion); err != nil {
			return err
		}
	}
	return nil
}
