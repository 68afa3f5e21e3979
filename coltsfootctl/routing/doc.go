// Package routing shows where nodes would send a request.
package routing
