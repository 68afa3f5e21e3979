package cmd

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"coltsfootusher.example/standin/demo"
)

func demoCommand(app *kingpin.Application) command {
	clause := app.Command("demo", "Run a whole deployment on loopback and check every answer.")
	o := demo.Options{}
	clause.Flag("profile", "Deployment to run.").Default("sablons").EnumVar(&o.Profile, "sablons", "hanoi")
	clause.Flag("bin", "Directory with the programs.").Default("bin").StringVar(&o.Bin)
	clause.Flag("config-dir", "Directory with the deployments.").Default("examples").StringVar(&o.ConfigDir)
	clause.Flag("seed", "Seed of the load and of the service times.").Default("1").Uint64Var(&o.Seed)
	return command{clause: clause, run: func(ctx context.Context, out io.Writer) error {
		o.Out = out
		return demo.Run(ctx, o)
	}}
}
