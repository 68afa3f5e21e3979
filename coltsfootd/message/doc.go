// Package message forwards HTTP messages from one hop to the next.
package message
