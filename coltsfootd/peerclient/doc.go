// Package peerclient makes signed control calls to the nodes of other VMs.
package peerclient
