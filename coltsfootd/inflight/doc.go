// Package inflight holds the requests that the local target is running, under the handles given to the target.
package inflight
