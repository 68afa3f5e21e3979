// Command standin starts test stand-ins for the platform, the targets and the callers.
package main

import (
	"os"

	"coltsfootusher.example/standin/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
