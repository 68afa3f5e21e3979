// Package node builds the parts of a node, starts them and shuts them down in order.
package node
