// Package egress accepts the inner calls that the local target makes to other services.
package egress
