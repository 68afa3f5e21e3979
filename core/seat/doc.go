// Package seat decides, without a stored row per seat, which VM of a failure domain may use a seat and since when.
//
// A list version has one owner per seat. A node's range is the unbroken run of consecutive versions, up to its
// current list, under which it owns the seat; the ranges of different nodes are disjoint. A node may use the seat
// while a majority of the VMs on its list, itself included, has been inside the range for at least a fence and has
// reported so within the fence less a margin. Two nodes that may use a seat at once would share a VM that was inside
// both ranges within less than a fence, which is a contradiction. A seat that the owner under the directly preceding
// version releases is taken over without the wait, because no other owner lies between the two.
//
// Processes keep no state, so one that restarts may fall back to a lower list. Its reports count, for itself and for
// others, only a fence after its first list. This also holds for its own seats: resuming them at once would be unsafe
// if it released them before the restart. Only when every VM on the list reports that it holds its first list does
// nobody wait, because no process then owned a seat under another list. This is the start of a fresh fleet.
//
// Assumptions: clocks drift apart by less than the margin within a fence; a VM name is never used by two processes at
// once; a VM that the platform removed stops within two fences; a version that a node sees first replaces at most one
// VM of a domain; and a majority of a domain does not restart into a lower list within one fence. In a domain of one
// VM nobody can contradict the node, so replacing that VM while its process runs is not detected.
package seat
