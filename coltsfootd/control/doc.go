// Package control keeps the published values of a node current: it watches the platform, synchronizes with peers,
// and knows which peers are leaving.
package control
