// Package vm holds the published list of VMs.
package vm
