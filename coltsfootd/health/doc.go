// Package health polls the health endpoint of the local target.
package health
