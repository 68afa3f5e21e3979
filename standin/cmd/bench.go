package cmd

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"coltsfootusher.example/standin/bench"
)

func benchCommand(app *kingpin.Application) command {
	clause := app.Command("bench", "Measure a fleet under overload against the same fleet without overload control.")
	o := bench.Options{}
	clause.Flag("profile", "Deployment to run.").Default("sablons").EnumVar(&o.Profile, "sablons", "hanoi")
	clause.Flag("scenario", "What happens to the fleet.").Default(bench.Steady).EnumVar(&o.Scenario, bench.Scenarios()...)
	clause.Flag("seed", "Seed of the load and of the service times.").Default("1").Uint64Var(&o.Seed)
	clause.Flag("bin", "Directory with the programs.").Default("bin").StringVar(&o.Bin)
	clause.Flag("config-dir", "Directory with the deployments.").Default("examples").StringVar(&o.ConfigDir)
	clause.Flag("baseline", "Run the fleet without overload control as well.").Default("true").BoolVar(&o.Baseline)
	return command{clause: clause, run: func(ctx context.Context, out io.Writer) error {
		o.Out = out
		return bench.Run(ctx, o)
	}}
}
