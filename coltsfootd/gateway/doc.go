// Package gateway admits calls to the local target, runs them there and checks the answers.
package gateway
