// Package egress accepts the inner calls that the local target makes to further services.
package egress
