// Package roster keeps the published list of targets, and decides which of them get new work.
package roster
