package seat

import (
	"slices"

	"coltsfootusher.example/core/clock"
)

const (
	// DefaultFence is the time that a new owner waits after a majority has reached its list.
	DefaultFence clock.Millis = 5000
	// DefaultMargin is the time by which an owner stops before a new owner can start.
	DefaultMargin clock.Millis = 1000
	// maxEpochs bounds the lists kept to find the start of a range and the earlier owner.
	maxEpochs = 16
)

// Config holds the times of the fence in milliseconds; zero values mean the defaults.
type Config struct {
	Fence  clock.Millis
	Margin clock.Millis
}

// Report is what a node says about the list that it holds.
type Report struct {
	VM          string
	Incarnation uint64
	Version     int64
	// HeldFor is the time for which the process has held the version.
	HeldFor clock.Millis
	// OnFirstList is true while the process has held no other version.
	OnFirstList bool
	// Voting is false while the process is too young for its reports to count.
	Voting bool
}

// ReleaseRequest asks the earlier owner of a seat to release it to the owner under Version.
type ReleaseRequest struct {
	Key     string
	Owner   string
	Version int64
}

// Release is an earlier owner's statement that it no longer uses a seat.
type Release struct {
	Key string
	// LastOwned is the last list version under which the sender owned the seat and could use it.
	LastOwned int64
}

// period is a period that lasts from since until until; since is Never outside a period.
type period struct {
	since clock.Millis
	until clock.Millis
}

// epoch is a list that this node holds or held.
type epoch struct {
	list      List
	reachedAt clock.Millis
	// follows is true when the earlier entry is the directly preceding version.
	follows bool
	// confirmed is the period in which a range that starts here has a fresh majority.
	confirmed period
	// fenced is the period in which, besides, that majority has been inside the range for a fence.
	fenced period
	// usable holds the start versions of the ranges that were fenced when the next list came.
	usable map[int64]bool
}

// peerReport is the last report of another VM.
type peerReport struct {
	Report
	sentAt clock.Millis
	// reached holds for each epoch version the latest time at which the peer's incarnation reached it.
	reached map[int64]clock.Millis
}

// Ownership is the seat ownership of one node within one set of VMs. It is not safe for concurrent use.
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

// takeover is a seat that its earlier owner released to this node.
type takeover struct {
	version int64
	at      clock.Millis
}

// releasedSeat is a seat that this node released up to and including a list version.
type releasedSeat struct {
	version   int64
	wasUsable bool
}

// New returns the seat ownership of the node on the VM self; it owns nothing until it has a list.
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

// SetList takes a newer VM list into use; a list that is not newer is ignored. A list that skips versions starts
// every seat anew, because the skipped versions may have had other owners.
func (f *Ownership) SetList(list List, now clock.Millis) {
	next := epoch{list: list, reachedAt: now, confirmed: period{since: clock.Never}, fenced: period{since: clock.Never}}
	if len(f.epochs) == 0 {
		f.startedAt = now
	} else {
		last := f.currentEpoch()
		if list.Version <= last.list.Version {
			return
		}
		next.follows = list.Version == last.list.Version+1
		last.usable = make(map[int64]bool)
		for i := range f.epochs {
			if f.epochs[i].fenced.includes(now) {
				last.usable[f.epochs[i].list.Version] = true
			}
		}
	}
	f.epochs = append(f.epochs, next)
	f.epochs = slices.Delete(f.epochs, 0, max(0, len(f.epochs)-maxEpochs))
	f.prune()
	f.update(now)
}

// HandleReport notes a report that answers a request sent at sentAt and was received at now.
func (f *Ownership) HandleReport(report Report, sentAt, now clock.Millis) {
	if report.VM == f.self || !f.listed(report.VM) {
		return
	}
	p := f.peers[report.VM]
	if p != nil && sentAt < p.sentAt {
		return
	}
	if p == nil || p.Incarnation != report.Incarnation {
		p = &peerReport{reached: make(map[int64]clock.Millis)}
		f.peers[report.VM] = p
	}
	p.Report, p.sentAt = report, sentAt
	for _, e := range f.epochs {
		if report.Version < e.list.Version {
			continue
		}
		at := now - report.HeldFor
		if old, ok := p.reached[e.list.Version]; !ok || at < old {
			p.reached[e.list.Version] = at
		}
	}
	f.update(now)
}

// Tick notes the passing of time; call it a few times per margin.
func (f *Ownership) Tick(now clock.Millis) {
	f.update(now)
}

// HandlePause discards all confirmations after the process was paused; other VMs must report again before a seat is used.
func (f *Ownership) HandlePause(now clock.Millis) {
	for _, p := range f.peers {
		p.Voting = false
	}
	for i := range f.epochs {
		f.epochs[i].confirmed.since, f.epochs[i].fenced.since = clock.Never, clock.Never
	}
	f.update(now)
}

// Report returns what this node tells others about its list; the version is 0 without a list.
func (f *Ownership) Report(now clock.Millis) Report {
	r := Report{VM: f.self, Incarnation: f.incarnation}
	if len(f.epochs) > 0 {
		e := f.currentEpoch()
		r.Version, r.HeldFor, r.OnFirstList, r.Voting = e.list.Version, now-e.reachedAt, len(f.epochs) == 1, f.voting(now)
	}
	return r
}

// CurrentList returns the list in use.
func (f *Ownership) CurrentList() List {
	if len(f.epochs) == 0 {
		return List{}
	}
	return f.currentEpoch().list
}

// Owner returns the VM that any node asks for the seat; empty without a list.
func (f *Ownership) Owner(key string) string {
	return f.CurrentList().Owner(key)
}

// OwnedSince reports whether this node may use the seat at now, and since when it could without interruption.
func (f *Ownership) OwnedSince(key string, now clock.Millis) (since clock.Millis, ok bool) {
	if f.Owner(key) != f.self {
		return 0, false
	}
	start := f.rangeStart(key, len(f.epochs)-1)
	if gone, was := f.released[key]; was && gone.version >= start.list.Version {
		return 0, false
	}
	if t, was := f.takeovers[key]; was && t.version == start.list.Version && start.confirmed.includes(now) {
		return max(t.at, start.confirmed.since), true
	}
	if !start.fenced.includes(now) {
		return 0, false
	}
	return start.fenced.since, true
}

// ReleaseRequests returns the releases to ask for among keys: seats of this node that a known earlier owner may still use.
func (f *Ownership) ReleaseRequests(keys []string, now clock.Millis) []ReleaseRequest {
	var requests []ReleaseRequest
	for _, key := range keys {
		if f.Owner(key) != f.self {
			continue
		}
		start := f.rangeStart(key, len(f.epochs)-1)
		if _, handed := f.takeovers[key]; handed || start.fenced.includes(now) || !start.follows {
			continue
		}
		before := f.epochs[f.lastEpochBefore(start.list.Version)].list
		if owner := before.Owner(key); owner != f.self {
			requests = append(requests, ReleaseRequest{Key: key, Owner: owner, Version: start.list.Version})
		}
	}
	return requests
}

// Release gives up a seat to the owner under the list version. The result is false if this node was not the owner
// under the preceding version or could not use the seat; the sender then waits for its fence. The caller stops using
// the seat before it replies. A repeated request gets the same answer, because the first reply may be lost.
func (f *Ownership) Release(key string, version int64, now clock.Millis) (Release, bool) {
	i := f.lastEpochBefore(version)
	if i < 0 || f.epochs[i].list.Version != version-1 || f.epochs[i].list.Owner(key) != f.self {
		return Release{}, false
	}
	release := Release{Key: key, LastOwned: version - 1}
	start := f.rangeStart(key, i)
	if gone, was := f.released[key]; was && gone.version >= start.list.Version {
		return release, gone.wasUsable && gone.version == version-1
	}
	held := f.epochs[i].usable[start.list.Version]
	if i == len(f.epochs)-1 {
		_, held = f.OwnedSince(key, now)
	}
	f.released[key] = releasedSeat{version: version - 1, wasUsable: held}
	return release, held
}

// HandleRelease notes an earlier owner's reply. It reports whether the reply ends the wait for the seat's fence.
func (f *Ownership) HandleRelease(release Release, now clock.Millis) bool {
	if f.Owner(release.Key) != f.self {
		return false
	}
	start := f.rangeStart(release.Key, len(f.epochs)-1)
	_, repeated := f.takeovers[release.Key]
	if repeated || release.LastOwned+1 != start.list.Version || start.fenced.includes(now) {
		return false
	}
	f.takeovers[release.Key] = takeover{version: start.list.Version, at: now}
	return true
}

func (s period) includes(now clock.Millis) bool {
	return s.since <= now && now < s.until
}

// extend continues the period to until, or starts a new one if it ended before now.
func (s *period) extend(until, now clock.Millis) {
	switch {
	case until <= now:
		s.since = clock.Never
	case s.since == clock.Never || s.until <= now:
		s.since = now
	}
	s.until = until
}

func (f *Ownership) currentEpoch() *epoch {
	return &f.epochs[len(f.epochs)-1]
}

func (f *Ownership) listed(name string) bool {
	return slices.ContainsFunc(f.epochs, func(e epoch) bool { return e.list.contains(name) })
}

// lastEpochBefore returns the last epoch below version, or -1.
func (f *Ownership) lastEpochBefore(version int64) int {
	i := len(f.epochs) - 1
	for i >= 0 && f.epochs[i].list.Version >= version {
		i--
	}
	return i
}

// rangeStart returns the first epoch of this node's range that includes epoch index.
func (f *Ownership) rangeStart(key string, index int) *epoch {
	gone, was := f.released[key]
	for index > 0 && f.epochs[index].follows {
		before := f.epochs[index-1].list
		if before.Owner(key) != f.self || was && gone.version == before.Version {
			break
		}
		index--
	}
	return &f.epochs[index]
}

// voting reports whether this process has run for a fence, so that a fall back to a lower list cannot do harm.
func (f *Ownership) voting(now clock.Millis) bool {
	return f.freshFleet || len(f.epochs) > 0 && now >= f.startedAt+f.config.Fence
}

func (f *Ownership) update(now clock.Millis) {
	if len(f.epochs) == 0 {
		return
	}
	f.freshFleet = f.freshFleet || f.allOnFirstList()
	for i := range f.epochs {
		e := &f.epochs[i]
		e.confirmed.extend(f.majorityUntil(i, now, clock.Never), now)
		latest := now - f.config.Fence
		if f.freshFleet && e.reachedAt == f.startedAt && i == 0 {
			latest = clock.Never
		}
		e.fenced.extend(f.majorityUntil(i, now, latest), now)
	}
}

// majorityUntil returns when the confirmations end of those VMs that reached epoch index at latest or before and
// have not gone past the current list; 0 if they are no majority.
func (f *Ownership) majorityUntil(index int, now, latest clock.Millis) clock.Millis {
	start, list := f.epochs[index], f.currentEpoch().list
	if !list.contains(f.self) || !f.voting(now) || start.reachedAt > latest {
		return 0
	}
	need := len(list.VMs) / 2
	var earlier List
	if now < start.reachedAt+2*f.config.Fence && !f.freshFleet {
		// Until removed VMs have stopped, the majority also meets every majority of the list before.
		if start.follows && index > 0 {
			earlier = f.epochs[index-1].list
		} else {
			need = min(need+1, len(list.VMs)-1)
		}
	}
	needEarlier := (len(earlier.VMs) + 1) / 2
	if earlier.contains(f.self) {
		needEarlier--
	}
	var sent, sentEarlier []clock.Millis
	for name, p := range f.peers {
		at, in := p.reached[start.list.Version]
		if !p.Voting || !in || at > latest || p.Version < start.list.Version || p.Version > list.Version {
			continue
		}
		if list.contains(name) {
			sent = append(sent, p.sentAt)
		}
		if earlier.contains(name) {
			sentEarlier = append(sentEarlier, p.sentAt)
		}
	}
	until := min(nthLatest(sent, need), nthLatest(sentEarlier, needEarlier))
	if until == clock.Never {
		return until
	}
	return until + f.config.Fence - f.config.Margin
}

// nthLatest returns the n-th latest of the times; Never for n = 0, and long ago if there are fewer.
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

// allOnFirstList reports whether every VM on this node's first list holds it as its first list too.
func (f *Ownership) allOnFirstList() bool {
	if len(f.epochs) != 1 {
		return false
	}
	list := f.epochs[0].list
	for _, name := range list.VMs {
		if name == f.self {
			continue
		}
		if p := f.peers[name]; p == nil || !p.OnFirstList || p.Version != list.Version {
			return false
		}
	}
	return list.contains(f.self)
}

// prune forgets what no remembered list refers to any more.
func (f *Ownership) prune() {
	oldest, list := f.epochs[0].list.Version, f.currentEpoch().list
	for name, p := range f.peers {
		if !f.listed(name) {
			delete(f.peers, name)
			continue
		}
		for version := range p.reached {
			if version < oldest {
				delete(p.reached, version)
			}
		}
	}
	for key, gone := range f.released {
		if gone.version < oldest {
			delete(f.released, key)
		}
	}
	for key := range f.takeovers {
		if list.Owner(key) != f.self {
			delete(f.takeovers, key)
		}
	}
}
