// Package cmd is the command line of coltsfootd.
package cmd
