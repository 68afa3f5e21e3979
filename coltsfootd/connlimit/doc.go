// Package connlimit bounds the memory and the number of the connections that clients open before they are known.
package connlimit
