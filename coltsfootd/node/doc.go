// Package node creates the components of a node, starts them and shuts them down in order.
package node
