// Package vm defines the published list of VMs.
package vm
