package cmd

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// Version is the version of coltsfootctl.
const Version = "0.1.0"

// Exit codes of coltsfootctl.
const (
	exitOK = 0
	// exitFailure means that a check failed, a node did not answer, or versions differ between nodes.
	exitFailure = 1
	exitUsage   = 2
)

const help = `Checks settings and published values, and shows the state of a fleet of coltsfootusher.

Examples:
  coltsfootctl check examples/sablons
  coltsfootctl check coltsfootd.yaml accounts.json routes.json
  coltsfootctl status --node 127.0.0.1:21301 --node 127.0.0.1:21302
  coltsfootctl status --nodes-file operators.txt --output json
  coltsfootctl explain --nodes-file operators.txt 5f0c2a9e6b1d4c3a8e7f0b12
  coltsfootctl route --node 127.0.0.1:21301 --host api.example --key-stdin /orders/7 < key.txt
  coltsfootctl hash-key < key.txt

Completion in bash or zsh:
  eval "$(coltsfootctl --completion-script-bash)"
  eval "$(coltsfootctl --completion-script-zsh)"`

// streams are the standard streams of the process.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// command is a subcommand. Its run function returns an exit code; an error always leads to exitFailure.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context, s streams) (int, error)
}

// exitCode is the panic value that makes Main return the code.
type exitCode int

// Main runs the command line and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) (code int) {
	app := kingpin.New("coltsfootctl", help)
	app.Version(Version)
	app.HelpFlag.Short('h')
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	// After printing help or a completion script, kingpin would continue to parse if the terminate function returned.
	app.Terminate(func(code int) { panic(exitCode(code)) })
	defer func() {
		switch reason := recover().(type) {
		case nil:
		case exitCode:
			code = int(reason)
		default:
			panic(reason)
		}
	}()
	commands := []command{checkCommand(app), statusCommand(app), explainCommand(app), routeCommand(app), hashKeyCommand(app)}

	name, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "coltsfootctl: %v, try --help\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, c := range commands {
		if c.clause.FullCommand() != name {
			continue
		}
		code, err := c.run(ctx, streams{in: stdin, out: stdout, err: stderr})
		if err != nil {
			_, _ = fmt.Fprintf(stderr, "coltsfootctl: %v\n", err)
			return exitFailure
		}
		return code
	}
	return exitUsage
}
