// Package quota divides the rate and burst of a client account among the nodes of a fleet.
package quota
