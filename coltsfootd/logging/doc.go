// Package logging builds the structured logger of the node.
package logging
