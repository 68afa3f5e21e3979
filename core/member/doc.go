// Package member holds what a node knows of its peers: incarnations, leaving notices and contacts.
package member
