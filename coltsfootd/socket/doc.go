// Package socket counts the open connections of the process and divides the available file descriptors among their uses.
package socket
