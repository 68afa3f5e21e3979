// Package operator serves metrics, the node's status and recent decisions to operators.
package operator
