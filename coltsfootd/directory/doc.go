// Package directory keeps the published policy and the list of targets up to date, from the platform and from peers.
package directory
