// Package setting reads and validates the settings of a node.
package setting
