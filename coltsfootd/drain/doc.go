// Package drain stops HTTP servers without breaking requests that are just arriving on kept-alive connections.
package drain
