// Package cmd is the command line of coltsfootctl.
package cmd
