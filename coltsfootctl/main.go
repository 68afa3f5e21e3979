// Command coltsfootctl checks settings and published values and shows the state of a fleet.
package main

import (
	"os"

	"coltsfootusher.example/coltsfootctl/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
