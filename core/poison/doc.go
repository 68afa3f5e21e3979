// Package poison detects requests that crash the targets that run them, and isolates and refuses them.
//
// Each request in flight at a target that dies becomes a suspect. Suspects of a service run at only one target in the failure
// domain, the one that ranks first by rendezvous hashing over the live targets, and there only one suspect runs at a time.
// No lock service is needed: nodes with the same list of targets choose the same target, and the gate of that target
// enforces the limit. While the lists differ, two targets may each run one suspect. A non-idempotent operation cannot be moved
// to another target and runs at its home target, where also only one suspect runs at a time.
//
// A request is confirmed as poison, and refused, after two crashes of which at least one is proof: the request ran as a suspect
// or was the only one in flight. Without the proof, two targets that crash at about the same time would confirm every common
// request that was running at both. A suspect that completes is cleared of the crashes known at that time.
package poison
