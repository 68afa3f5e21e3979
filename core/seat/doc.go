// Package seat decides which VM of a failure domain may use a seat, and since when, without a stored row per seat.
//
// Each version of the VM list assigns every seat one owner. A node's range is the unbroken run of consecutive versions,
// up to its current list, under which it owns the seat; the ranges of different nodes are disjoint. A node may use the
// seat while a majority of the VMs on its list, itself included, has been within the range for at least the fence time
// and has reported this within the last fence time less the margin. If two nodes could use a seat at once, they would
// share a VM that was within both ranges in less than a fence time, which is a contradiction. A seat that is released by
// its owner under the directly preceding version is taken over without this wait, because no other owner lies between the
// two.
//
// Processes keep no state on disk, so a restarted process may fall back to a lower list version. Its reports, for itself
// and for others, only count one fence time after it got its first list. This also applies to the seats that it owned
// before: using them again at once would be unsafe if it had released them before the restart. Nobody waits if every VM
// on the list reports that it holds its first list, because then no process has owned a seat under another list. This is
// the start of a new fleet.
//
// Assumptions: clocks drift apart by less than the margin within a fence time; no two processes use one VM name at the
// same time; a VM that the platform has removed stops within two fence times; a version that a node sees first replaces
// at most one VM of a domain; and no majority of a domain restarts into a lower list version within one fence time. In a
// domain with a single VM nobody can contradict that node, so the replacement of this VM while its process still runs is
// not detected.
package seat
