// Package auth signs and verifies the requests between nodes with the fleet secret.
package auth
