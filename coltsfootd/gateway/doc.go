// Package gateway admits calls to the local target, sends them to it and checks the answers.
package gateway
