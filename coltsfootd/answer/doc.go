// Package answer holds the answer to a call on its way back to the caller.
package answer
