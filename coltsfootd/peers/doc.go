// Package peers tracks which other nodes can be reached, and keeps the connections to them.
package peers
