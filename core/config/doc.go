// Package config holds the versioned sections of a node and decides whom to ask for newer ones.
package config
