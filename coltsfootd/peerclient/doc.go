// Package peerclient makes signed control calls to peer nodes.
package peerclient
