package cmd

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"coltsfootusher.example/standin/capacity"
)

func capacityCommand(app *kingpin.Application) command {
	clause := app.Command("capacity", "Measure how the cost of the core and the codecs grows with the size of a fleet.")
	divisor := clause.Flag("divide", "Divide all sizes, for a quick look.").Default("1").Int()
	return command{clause: clause, run: func(ctx context.Context, out io.Writer) error {
		return capacity.Run(ctx, capacity.Options{Out: out, Divisor: *divisor, MinCPU: capacity.DefaultMinCPU})
	}}
}
