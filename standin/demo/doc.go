// Package demo runs a whole deployment on loopback, switches a preset and withdraws a key under load, and checks
// every answer.
package demo
