// Package inflight holds the requests that the local target is processing, by the handles given to the target.
package inflight
