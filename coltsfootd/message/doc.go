// Package message passes HTTP messages on from one hop to the next.
package message
