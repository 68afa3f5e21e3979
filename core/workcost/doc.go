// Package workcost estimates how long a request holds a slot of a target, by service, route and size of the body.
//
// The estimates are learned from finished requests. The time of a request includes its inner calls to other services, because
// they hold its slot too. Estimates are in milliseconds at the usual speed; the slowness that a target reports scales them to its
// present speed.
//
// The types are not safe for concurrent use; their owner must hold a mutex.
package workcost
