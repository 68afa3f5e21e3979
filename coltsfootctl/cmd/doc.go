// Package cmd implements the command line of coltsfootctl.
package cmd
