// Package directory keeps the published policy and the list of targets current, from the platform and from peers.
package directory
