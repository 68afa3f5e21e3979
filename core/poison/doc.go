// Package poison finds requests that crash the targets that run them and keeps them from spreading.
//
// Each request in flight at a target that dies becomes a suspect. A suspect runs only at one target of its service in
// the failure domain, the one that ranks first by rendezvous hashing over the live targets, and there only one suspect
// runs at a time. No lock service is needed: nodes with the same list choose the same target, and its gate counts.
// While lists differ, two targets may each run one suspect. A once-only operation cannot move and runs at its home, one
// suspect at a time there.
//
// A request is refused after two crashes, one of which must count as proof: the request ran as a suspect or was alone.
// Otherwise two targets that crash at about the same time would condemn each common request that both were running.
// A suspect that completes is cleared of the crashes that are known by then.
package poison
