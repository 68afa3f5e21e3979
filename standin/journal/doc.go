// Package journal records what targets execute, in memory and optionally in a file that survives a killed process.
package journal
