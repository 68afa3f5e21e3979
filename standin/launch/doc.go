// Package launch runs a whole fleet on loopback: the platform stand-in in this process, and each target and node
// as a process of its own, with the links between failure domains in between.
package launch
