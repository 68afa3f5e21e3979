// Package node asks the operator addresses of nodes.
package node
