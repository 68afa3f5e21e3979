// Package warmup decides whether a target is cold, how many requests a cold target gets, and which share of them
// one origin sends.
package warmup
