// Package peerserver serves the calls and control messages of other nodes.
package peerserver
