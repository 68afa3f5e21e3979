package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"coltsfootusher.example/coltsfootd/node"
	"coltsfootusher.example/coltsfootd/setting"
)

// Version is the version of the program.
const Version = "0.1.0"

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// gcPercent lets the heap grow to three times the live data before a garbage collection. At the default of 100, the
// collections of a heap of a few megabytes made the slowest calls slower; at 400, a node came close to using 48 of the
// 64 MB for control.
const gcPercent = 200

const help = `The coltsfootusher node, which runs beside the target on each target VM.

Examples:
  coltsfootd check examples/sablons/coltsfootd.yaml
  coltsfootd run --config examples/sablons/coltsfootd.yaml`

// exitCode is the panic value that ends Main with the code.
type exitCode int

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) (code int) {
	app := kingpin.New("coltsfootd", help)
	app.Version(Version)
	app.HelpFlag.Short('h')
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	// kingpin continues to parse after printing help or a completion script unless this function does not return.
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

	runCommand := app.Command("run", "Run the node until it receives SIGTERM or SIGINT.")
	runConfig := runCommand.Flag("config", "Settings file (YAML).").Required().ExistingFile()
	meshCommand := app.Command("mesh", "Run a node on the users' platform until it receives SIGTERM or SIGINT.")
	meshConfig := meshCommand.Flag("config", "Settings file (YAML).").Required().ExistingFile()
	checkCommand := app.Command("check", "Check a settings file and exit.")
	checkMesh := checkCommand.Flag("mesh", "Check a file for the command mesh.").Bool()
	checkConfig := checkCommand.Arg("file", "Settings file (YAML).").Required().ExistingFile()

	command, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "coltsfootd: %v, try --help\n", err)
		return exitUsage
	}
	switch command {
	case runCommand.FullCommand():
		err = runNode(*runConfig, stdout, stderr)
	case meshCommand.FullCommand():
		err = runMesh(*meshConfig, stdout)
	case checkCommand.FullCommand():
		if *checkMesh {
			return checkMeshSettings(*checkConfig, stdout, stderr)
		}
		return checkSettings(*checkConfig, stdout, stderr)
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "coltsfootd: %v\n", err)
		return exitFailure
	}
	return exitOK
}

// checkSettings prints one line for each problem of the settings file.
func checkSettings(path string, stdout, stderr io.Writer) int {
	_, problems := setting.Check(path)
	for _, p := range problems {
		_, _ = fmt.Fprintln(stderr, p)
	}
	if len(problems) > 0 {
		return exitFailure
	}
	_, _ = fmt.Fprintf(stdout, "%s: settings are valid\n", path)
	return exitOK
}

func runNode(path string, stdout, stderr io.Writer) error {
	settings, err := setting.Load(path)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	n, err := node.New(settings, stderr)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return n.Run(ctx, stdout)
}
