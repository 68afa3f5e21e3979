// Package localtarget admits requests to the target beside the node, and is the only way to it.
package localtarget
