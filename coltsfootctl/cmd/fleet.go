package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coltsfootusher.example/coltsfootctl/explanation"
	"coltsfootusher.example/coltsfootctl/key"
	"coltsfootusher.example/coltsfootctl/node"
	"coltsfootusher.example/coltsfootctl/status"
)

// nodeFlags are the flags that select the nodes to query.
type nodeFlags struct {
	nodes   *[]string
	file    *string
	timeout *time.Duration
}

func addNodeFlags(clause *kingpin.CmdClause) nodeFlags {
	return nodeFlags{
		nodes:   clause.Flag("node", "Operator address of a node, IP address and port; can be given several times.").Strings(),
		file:    clause.Flag("nodes-file", "File with operator addresses, one per line.").ExistingFile(),
		timeout: clause.Flag("timeout", "Timeout of the request to each node.").Default("2s").Duration(),
	}
}

func statusCommand(app *kingpin.Application) command {
	clause := app.Command("status", "Show the status of the nodes. "+
		"The exit status is 1 if a node does not answer, if versions differ or if a node has not applied a version.")
	flags := addNodeFlags(clause)
	output := clause.Flag("output", "Output format: table or json.").Short('o').Default("table").Enum("table", "json")
	return command{clause: clause, run: func(ctx context.Context, s streams) (int, error) {
		addresses, err := node.CollectAddresses(*flags.nodes, *flags.file)
		if err != nil {
			return exitFailure, err
		}
		report := status.New(node.FetchStatuses(ctx, addresses, *flags.timeout))
		write := report.WriteTable
		if *output == "json" {
			write = report.WriteJSON
		}
		if err := write(s.out); err != nil {
			return exitFailure, err
		}
		if !report.Consistent() {
			return exitFailure, nil
		}
		return exitOK, nil
	}}
}

func explainCommand(app *kingpin.Application) command {
	clause := app.Command("explain", "Show what the nodes decided about a request. "+
		"Nodes keep their last few thousand decisions.")
	flags := addNodeFlags(clause)
	id := clause.Arg("request-id", "The Coltsfoot-Request-Id of the response.").Required().String()
	return command{clause: clause, run: func(ctx context.Context, s streams) (int, error) {
		addresses, err := node.CollectAddresses(*flags.nodes, *flags.file)
		if err != nil {
			return exitFailure, err
		}
		results := node.FetchDecisions(ctx, addresses, *id, *flags.timeout)
		code := exitOK
		for _, a := range results {
			if a.Err != nil {
				_, _ = fmt.Fprintf(s.err, "%s: no answer: %v\n", a.Address, a.Err)
				code = exitFailure
			}
		}
		sentences := explanation.Sentences(results)
		for _, sentence := range sentences {
			_, _ = fmt.Fprintln(s.out, sentence)
		}
		if len(sentences) == 0 {
			_, _ = fmt.Fprintf(s.err, "no node that answered remembers request %s\n", *id)
			code = exitFailure
		}
		return code, nil
	}}
}

func hashKeyCommand(app *kingpin.Application) command {
	clause := app.Command("hash-key", "Read a key from standard input and print the hash to publish in accounts.json.")
	return command{clause: clause, run: func(_ context.Context, s streams) (int, error) {
		hash, err := key.Hash(s.in)
		if err != nil {
			return exitFailure, err
		}
		_, _ = fmt.Fprintln(s.out, hash)
		return exitOK, nil
	}}
}
