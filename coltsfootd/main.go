// Command coltsfootd is the node that runs in the slot of each target VM.
package main

import (
	"os"

	"coltsfootusher.example/coltsfootd/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
