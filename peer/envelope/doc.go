// Package envelope encodes the call context and the result of a call for the headers between nodes.
package envelope
