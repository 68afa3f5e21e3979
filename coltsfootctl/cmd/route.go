package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs"

	"coltsfootusher.example/coltsfootctl/node"
	"coltsfootusher.example/coltsfootctl/routing"
)

// maxKeyBytes limits the size of a key on standard input.
const maxKeyBytes = 4096

func routeCommand(app *kingpin.Application) command {
	clause := app.Command("route", "Show where nodes on the users' platform would send a request now, and why. Nothing is sent. "+
		"The exit status is 1 if a node does not answer or would refuse the request.")
	flags := addNodeFlags(clause)
	r := node.RouteRequest{}
	clause.Flag("method", "Method of the request.").Default("GET").StringVar(&r.Method)
	clause.Flag("host", "Host of the request.").StringVar(&r.Host)
	clause.Flag("body-bytes", "Size of the body.").IntVar(&r.BodyBytes)
	keyOnInput := clause.Flag("key-stdin", "Read the caller's key from standard input.").Bool()
	output := clause.Flag("output", "Output format: table or json.").Short('o').Default("table").Enum("table", "json")
	clause.Arg("path", "Path of the request.").Required().StringVar(&r.Path)
	return command{clause: clause, run: func(ctx context.Context, s streams) (int, error) {
		addresses, err := node.CollectAddresses(*flags.nodes, *flags.file)
		if err != nil {
			return exitFailure, err
		}
		if *keyOnInput {
			key, err := io.ReadAll(io.LimitReader(s.in, maxKeyBytes))
			if err != nil {
				return exitFailure, errs.Wrap(err)
			}
			r.Key = strings.TrimSpace(string(key))
		}
		code := exitOK
		for _, result := range node.FetchRoutes(ctx, addresses, r, *flags.timeout) {
			switch {
			case result.Err != nil:
				_, _ = fmt.Fprintf(s.err, "%s: no answer: %v\n", result.Address, result.Err)
				code = exitFailure
				continue
			case !routing.HasTarget(result.Value):
				code = exitFailure
			}
			if *output == "json" {
				if err := json.NewEncoder(s.out).Encode(result.Value); err != nil {
					return exitFailure, errs.Wrap(err)
				}
				continue
			}
			if err := routing.WriteTable(s.out, result.Value); err != nil {
				return exitFailure, err
			}
		}
		return code, nil
	}}
}
