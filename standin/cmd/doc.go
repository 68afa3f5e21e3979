// Package cmd parses the arguments of the program standin and starts the chosen stand-in.
package cmd
