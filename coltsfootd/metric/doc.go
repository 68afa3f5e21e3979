// Package metric names the metrics of a node and publishes those that are read from its state.
package metric
