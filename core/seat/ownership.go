package seat

import (
	"slices"

	"coltsfootusher.example/core/clock"
)

const (
	// DefaultFence is the time for which a new owner waits after a majority has reached its list.
	DefaultFence clock.Millis = 5000
	// DefaultMargin is the time by which the previous owner stops before a new owner can start.
	DefaultMargin clock.Millis = 1000
	// maxEpochs bounds the number of lists that are kept to find the start of a range and the previous owner.
	maxEpochs = 16
)

// Config holds the times of the seat ownership in milliseconds; zero values mean the defaults.
type Config struct {
	Fence  clock.Millis
	Margin clock.Millis
}

// Report is a node's statement about the list that it holds.
type Report struct {
	VM          string
	Incarnation uint64
	Version     int64
	// HeldFor is the time for which the process has held this version.
	HeldFor clock.Millis
	// OnFirstList is true as long as the process has held no other version.
	OnFirstList bool
	// Voting is false as long as the process has not run long enough for its reports to count.
	Voting bool
}

// ReleaseRequest asks the previous owner of a seat to release it to the owner under Version.
type ReleaseRequest struct {
	Key     string
	Owner   string
	Version int64
}

// Release is the statement of a previous owner that it no longer uses a seat.
type Release struct {
	Key string
	// LastOwned is the last list version under which the sender owned the seat and could use it.
	LastOwned int64
}

// period is the interval from since to until; since is Never if there is none at the moment.
type period struct {
	since clock.Millis
	until clock.Millis
}

// epoch is a list that this node holds or has held.
type epoch struct {
	list      List
	reachedAt clock.Millis
	// follows is true if the epoch before this one has the directly preceding version.
	follows bool
	// confirmed is the period in which recent reports of a majority confirm a range that starts here.
	confirmed period
	// fenced is the part of it in which that majority has also been within the range for the fence time.
	fenced period
	// usable holds the start versions of the ranges that were fenced when the next list arrived.
	usable map[int64]bool
}

// peerReport is the last report of another VM.
type peerReport struct {
	Report
	sentAt clock.Millis
	// reached holds, by epoch version, the latest time at which the reporting process can have reached that version.
	reached map[int64]clock.Millis
}

// Ownership decides which seats one node owns within one set of VMs. It is not safe for concurrent use.
type Ownership struct {
	self        string
	incarnation uint64
	config      Config
	startedAt   clock.Millis
	freshFleet  bool
	epochs      []epoch
	peers       map[string]*peerReport
	takeovers   map[string]takeover
	released    map[string]releasedSeat
}

// takeover records that the previous owner released a seat to this node.
type takeover struct {
	version int64
	at      clock.Millis
}

// releasedSeat records that this node released a seat, up to and including a list version.
type releasedSeat struct {
	version   int64
	wasUsable bool
}

// New returns the seat ownership of the node on the VM self, which owns nothing until it has a list.
func New(self string, incarnation uint64, config Config) *Ownership {
	if config.Fence == 0 {
		config.Fence = DefaultFence
	}
	if config.Margin == 0 {
		config.Margin = DefaultMargin
	}
	return &Ownership{
		self: self, incarnation: incarnation, config: config, peers: make(map[string]*peerReport),
		takeovers: make(map[string]takeover), released: make(map[string]releasedSeat),
	}
}

// SetList replaces the VM list if the given one is newer. After a list that skips versions, the node acquires every seat
// anew, because the skipped versions may have had other owners.
func (o *Ownership) SetList(list List, now clock.Millis) {
	next := epoch{list: list, reachedAt: now, confirmed: period{since: clock.Never}, fenced: period{since: clock.Never}}
	if len(o.epochs) == 0 {
		o.startedAt = now
	} else {
		last := o.currentEpoch()
		if list.Version <= last.list.Version {
			return
		}
		next.follows = list.Version == last.list.Version+1
		last.usable = make(map[int64]bool)
		for i := range o.epochs {
			if o.epochs[i].fenced.includes(now) {
				last.usable[o.epochs[i].list.Version] = true
			}
		}
	}
	o.epochs = append(o.epochs, next)
	o.epochs = slices.Delete(o.epochs, 0, max(0, len(o.epochs)-maxEpochs))
	o.prune()
	o.update(now)
}

// HandleReport records a report that was requested at sentAt and received at now.
func (o *Ownership) HandleReport(report Report, sentAt, now clock.Millis) {
	if report.VM == o.self || !o.listed(report.VM) {
		return
	}
	p := o.peers[report.VM]
	if p != nil && sentAt < p.sentAt {
		return
	}
	if p == nil || p.Incarnation != report.Incarnation {
		p = &peerReport{reached: make(map[int64]clock.Millis)}
		o.peers[report.VM] = p
	}
	p.Report, p.sentAt = report, sentAt
	for _, e := range o.epochs {
		if report.Version < e.list.Version {
			continue
		}
		reachedAt := now - report.HeldFor
		if earlier, ok := p.reached[e.list.Version]; !ok || reachedAt < earlier {
			p.reached[e.list.Version] = reachedAt
		}
	}
	o.update(now)
}

// Tick updates the ownership as time passes; the caller invokes it a few times per margin.
func (o *Ownership) Tick(now clock.Millis) {
	o.update(now)
}

// HandlePause discards all confirmations because the process was paused. Other VMs must report again before this node
// uses a seat.
func (o *Ownership) HandlePause(now clock.Millis) {
	for _, p := range o.peers {
		p.Voting = false
	}
	for i := range o.epochs {
		o.epochs[i].confirmed.since, o.epochs[i].fenced.since = clock.Never, clock.Never
	}
	o.update(now)
}

// Report returns this node's statement about its list; its version is 0 if the node has no list.
func (o *Ownership) Report(now clock.Millis) Report {
	r := Report{VM: o.self, Incarnation: o.incarnation}
	if len(o.epochs) > 0 {
		e := o.currentEpoch()
		r.Version, r.HeldFor, r.OnFirstList, r.Voting = e.list.Version, now-e.reachedAt, len(o.epochs) == 1, o.voting(now)
	}
	return r
}

// CurrentList returns the list in use.
func (o *Ownership) CurrentList() List {
	if len(o.epochs) == 0 {
		return List{}
	}
	return o.currentEpoch().list
}

// Owner returns the VM that nodes ask for the seat, or "" without a list.
func (o *Ownership) Owner(key string) string {
	return o.CurrentList().Owner(key)
}

// OwnedSince reports whether this node may use the seat now, and since when without interruption.
func (o *Ownership) OwnedSince(key string, now clock.Millis) (since clock.Millis, ok bool) {
	if o.Owner(key) != o.self {
		return 0, false
	}
	start := o.rangeStart(key, len(o.epochs)-1)
	if released, isReleased := o.released[key]; isReleased && released.version >= start.list.Version {
		return 0, false
	}
	if taken, takenOver := o.takeovers[key]; takenOver && taken.version == start.list.Version && start.confirmed.includes(now) {
		return max(taken.at, start.confirmed.since), true
	}
	if !start.fenced.includes(now) {
		return 0, false
	}
	return start.fenced.since, true
}

// ReleaseRequests returns the release requests to send for those of the keys that this node owns but that a known
// previous owner may still use.
func (o *Ownership) ReleaseRequests(keys []string, now clock.Millis) []ReleaseRequest {
	var requests []ReleaseRequest
	for _, key := range keys {
		if o.Owner(key) != o.self {
			continue
		}
		start := o.rangeStart(key, len(o.epochs)-1)
		if _, takenOver := o.takeovers[key]; takenOver || start.fenced.includes(now) || !start.follows {
			continue
		}
		previous := o.epochs[o.lastEpochBefore(start.list.Version)].list
		if owner := previous.Owner(key); owner != o.self {
			requests = append(requests, ReleaseRequest{Key: key, Owner: owner, Version: start.list.Version})
		}
	}
	return requests
}

// Release releases a seat to its owner under the list version. It returns false if this node was not the owner under the
// preceding version or could not use the seat; the requesting node then waits for the fence time. The caller must stop
// using the seat before it replies. A repeated request gets the same answer, because the first reply may be lost.
func (o *Ownership) Release(key string, version int64, now clock.Millis) (Release, bool) {
	i := o.lastEpochBefore(version)
	if i < 0 || o.epochs[i].list.Version != version-1 || o.epochs[i].list.Owner(key) != o.self {
		return Release{}, false
	}
	release := Release{Key: key, LastOwned: version - 1}
	start := o.rangeStart(key, i)
	if released, isReleased := o.released[key]; isReleased && released.version >= start.list.Version {
		return release, released.wasUsable && released.version == version-1
	}
	usable := o.epochs[i].usable[start.list.Version]
	if i == len(o.epochs)-1 {
		_, usable = o.OwnedSince(key, now)
	}
	o.released[key] = releasedSeat{version: version - 1, wasUsable: usable}
	return release, usable
}

// HandleRelease records the reply of a previous owner, and reports whether this node may now take over the seat without
// the fence time.
func (o *Ownership) HandleRelease(release Release, now clock.Millis) bool {
	if o.Owner(release.Key) != o.self {
		return false
	}
	start := o.rangeStart(release.Key, len(o.epochs)-1)
	_, takenOver := o.takeovers[release.Key]
	if takenOver || release.LastOwned+1 != start.list.Version || start.fenced.includes(now) {
		return false
	}
	o.takeovers[release.Key] = takeover{version: start.list.Version, at: now}
	return true
}

func (p period) includes(now clock.Millis) bool {
	return p.since <= now && now < p.until
}

// extend prolongs the period to until, or starts a new one if it ended before now.
func (p *period) extend(until, now clock.Millis) {
	switch {
	case until <= now:
		p.since = clock.Never
	case p.since == clock.Never || p.until <= now:
		p.since = now
	}
	p.until = until
}

func (o *Ownership) currentEpoch() *epoch {
	return &o.epochs[len(o.epochs)-1]
}

func (o *Ownership) listed(name string) bool {
	return slices.ContainsFunc(o.epochs, func(e epoch) bool { return e.list.contains(name) })
}

// lastEpochBefore returns the index of the last epoch with a version below the given one, or -1.
func (o *Ownership) lastEpochBefore(version int64) int {
	i := len(o.epochs) - 1
	for i >= 0 && o.epochs[i].list.Version >= version {
		i--
	}
	return i
}

// rangeStart returns the first epoch of this node's range of the seat that includes the epoch at index.
func (o *Ownership) rangeStart(key string, index int) *epoch {
	released, isReleased := o.released[key]
	for index > 0 && o.epochs[index].follows {
		previous := o.epochs[index-1].list
		if previous.Owner(key) != o.self || isReleased && released.version == previous.Version {
			break
		}
		index--
	}
	return &o.epochs[index]
}

// voting reports whether this node's reports count: the process has run for the fence time, after which an earlier
// fallback to a lower list does no harm, or the fleet is new.
func (o *Ownership) voting(now clock.Millis) bool {
	return o.freshFleet || len(o.epochs) > 0 && now >= o.startedAt+o.config.Fence
}

func (o *Ownership) update(now clock.Millis) {
	if len(o.epochs) == 0 {
		return
	}
	o.freshFleet = o.freshFleet || o.allOnFirstList()
	for i := range o.epochs {
		e := &o.epochs[i]
		e.confirmed.extend(o.majorityUntil(i, now, clock.Never), now)
		latest := now - o.config.Fence
		if o.freshFleet && e.reachedAt == o.startedAt && i == 0 {
			latest = clock.Never
		}
		e.fenced.extend(o.majorityUntil(i, now, latest), now)
	}
}

// majorityUntil returns the time until which a majority is confirmed, counting the VMs that reached the epoch at index by
// latest and have not gone beyond the current list. It returns 0 if there is no majority.
func (o *Ownership) majorityUntil(index int, now, latest clock.Millis) clock.Millis {
	start, list := o.epochs[index], o.currentEpoch().list
	if !list.contains(o.self) || !o.voting(now) || start.reachedAt > latest {
		return 0
	}
	needed := len(list.VMs) / 2
	var previous List
	if now < start.reachedAt+2*o.config.Fence && !o.freshFleet {
		// Until removed VMs have stopped, the majority must also overlap with every majority of the previous list.
		if start.follows && index > 0 {
			previous = o.epochs[index-1].list
		} else {
			needed = min(needed+1, len(list.VMs)-1)
		}
	}
	neededPrevious := (len(previous.VMs) + 1) / 2
	if previous.contains(o.self) {
		neededPrevious--
	}
	var sentTimes, sentTimesPrevious []clock.Millis
	for name, p := range o.peers {
		reachedAt, reached := p.reached[start.list.Version]
		if !p.Voting || !reached || reachedAt > latest || p.Version < start.list.Version || p.Version > list.Version {
			continue
		}
		if list.contains(name) {
			sentTimes = append(sentTimes, p.sentAt)
		}
		if previous.contains(name) {
			sentTimesPrevious = append(sentTimesPrevious, p.sentAt)
		}
	}
	until := min(nthLatest(sentTimes, needed), nthLatest(sentTimesPrevious, neededPrevious))
	if until == clock.Never {
		return until
	}
	return until + o.config.Fence - o.config.Margin
}

// nthLatest returns the n-th latest of the times, Never for n = 0, or a time long ago if there are fewer.
func nthLatest(times []clock.Millis, n int) clock.Millis {
	if n <= 0 {
		return clock.Never
	}
	if len(times) < n {
		return -1 << 40
	}
	slices.Sort(times)
	return times[len(times)-n]
}

// allOnFirstList reports whether this node and every VM on its first list hold that list as their first one.
func (o *Ownership) allOnFirstList() bool {
	if len(o.epochs) != 1 {
		return false
	}
	list := o.epochs[0].list
	for _, name := range list.VMs {
		if name == o.self {
			continue
		}
		if p := o.peers[name]; p == nil || !p.OnFirstList || p.Version != list.Version {
			return false
		}
	}
	return list.contains(o.self)
}

// prune removes what none of the kept lists refers to any more.
func (o *Ownership) prune() {
	oldest, list := o.epochs[0].list.Version, o.currentEpoch().list
	for name, p := range o.peers {
		if !o.listed(name) {
			delete(o.peers, name)
			continue
		}
		for version := range p.reached {
			if version < oldest {
				delete(p.reached, version)
			}
		}
	}
	for key, released := range o.released {
		if released.version < oldest {
			delete(o.released, key)
		}
	}
	for key := range o.takeovers {
		if list.Owner(key) != o.self {
			delete(o.takeovers, key)
		}
	}
}
