// Package member tracks the peers of a node: their incarnations, leaving notices and last contacts.
package member
