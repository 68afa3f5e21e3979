package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const stopTimeout = 30 * time.Second

// command is one subcommand; run returns when its work is done or ctx ends.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context, out io.Writer) error
}

// Run executes the program with its arguments and returns the exit status: 0, 1 after a failure, 2 for bad arguments.
func Run(args []string, out, errOut io.Writer) int {
	app := kingpin.New("standin", "Test stand-ins for the systems around coltsfootusher.")
	app.UsageWriter(errOut).ErrorWriter(errOut)
	commands := []command{
		platformCommand(app), targetCommand(app), callersCommand(app), demoCommand(app), benchCommand(app),
		capacityCommand(app), soakCommand(app),
	}
	name, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "standin: %v\n", err)
		return 2
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	for _, c := range commands {
		if c.clause.FullCommand() != name {
			continue
		}
		if err := c.run(ctx, out); err != nil {
			_, _ = fmt.Fprintf(errOut, "standin %s: %v\n", name, err)
			return 1
		}
	}
	return 0
}
