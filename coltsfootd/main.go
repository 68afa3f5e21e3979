// Command coltsfootd is the node process that runs beside the target on each target VM.
package main

import (
	"os"

	"coltsfootusher.example/coltsfootd/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
