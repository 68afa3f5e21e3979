// Package setting reads and checks the settings of a node.
package setting
