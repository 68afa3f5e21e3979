// Package drain shuts down HTTP servers without dropping requests that are arriving on keep-alive connections.
package drain
