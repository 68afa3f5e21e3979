// Package node queries nodes at their operator addresses.
package node
