// Package control keeps the node's view of the published values and of its peers.
package control
