// Package soak runs nodes as separate processes under random faults and checks what operators were promised.
package soak
