// Package control keeps the published values of a node up to date: it watches the platform, synchronizes with peers,
// and tracks which peers are leaving.
package control
