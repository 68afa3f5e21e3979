package directory

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/peers"
	"coltsfootusher.example/core/clock"
)

// The paths of control messages between nodes.
const (
	SyncPath  = "/coltsfoot/sync"
	LeavePath = "/coltsfoot/leave"
)

const (
	syncTimeout              = 300 * time.Millisecond
	syncRetryMs clock.Millis = 200
	// startupSyncRetryMs is the delay between the sync requests of a node that has just started.
	startupSyncRetryMs clock.Millis = 80
	pushTimeout                     = 400 * time.Millisecond
	// announcedPerOtherDomain is the number of nodes of each other failure domain to which an announcement is sent.
	announcedPerOtherDomain = 2
)

// ownState returns a message with the versions of this node's values, but without the values.
func (d *Directory) ownState(now clock.Millis) syncMessage {
	m := syncMessage{From: d.Address, Incarnation: d.Incarnation, AgeMs: -1, PolicyVersion: d.policyVersion()}
	if d.targetsKnown {
		position := d.roster.Position()
		m.Epoch, m.Revision = position.Epoch, position.Revision
	}
	if age := d.lease.Age(now); age != clock.Never {
		m.AgeMs = age
	}
	m.Evacuations = d.evacuations.message(now)
	return m
}

// startSync asks a peer for a newer confirmation and newer values.
func (d *Directory) startSync(ctx context.Context, nodes Nodes, now clock.Millis) {
	address := d.newerPeer
	d.newerPeer = ""
	if address == "" {
		address = d.nextSyncPeer(nodes, now)
	}
	if address == "" {
		d.syncAfter = now + syncRetryMs
		return
	}
	d.syncing = true
	message := d.ownState(now)
	if message.Evacuations != nil && len(message.Evacuations.Entries) == 0 {
		message.Evacuations = nil // The end of an evacuation is learned from replies, which keeps requests short.
	}
	go func() {
		var reply syncMessage
		err := d.Peers.Call(ctx, address, SyncPath, syncTimeout, message, &reply)
		if err == nil {
			err = reply.Validate()
		}
		d.enqueue(func(done clock.Millis) { d.finishSync(address, reply, err, now, done) })
	}()
}

// nextSyncPeer returns the node to ask: first the update sources; while those have nothing newer, random nodes of the own failure
// domain; and finally random nodes of the whole fleet.
func (d *Directory) nextSyncPeer(nodes Nodes, now clock.Millis) string {
	const (
		maxUpdateSources   = 2
		sameDomainAttempts = 5
		// startupAttemptsPerPeer is how often a node that has just started asks the same peer: the whole fleet may have started
		// at the same time, and the update sources will have the values first.
		startupAttemptsPerPeer = 8
	)
	attempts := d.syncAttempts
	if d.starting(now) {
		attempts /= startupAttemptsPerPeer
	}
	if sources := nodes.updateSources(d.Address, maxUpdateSources, d.Peers.Usable); attempts < len(sources) {
		return sources[attempts]
	}
	if attempts < sameDomainAttempts {
		if address := d.randomReachable(nodes.SameDomain); address != "" {
			return address
		}
	}
	return d.randomReachable(nodes.All)
}

// randomReachable returns a random reachable node other than this one, or "".
func (d *Directory) randomReachable(addresses []string) string {
	var candidates []string
	for _, address := range addresses {
		if address != d.Address && d.Peers.Reachable(address) {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[d.random.IntN(len(candidates))]
}

func (d *Directory) finishSync(address string, reply syncMessage, err error, sentAt, now clock.Millis) {
	d.syncing = false
	evacuationsConfirmed := false
	if err == nil {
		d.heardFromPeer = true
		d.applyMessage(reply, address, now)
		evacuationsConfirmed = d.confirmEvacuations(reply.Evacuations, sentAt)
		if reply.AgeMs >= 0 {
			// The peer measured its age after this request was sent, so counting back from sentAt never makes the confirmation
			// newer than it is.
			d.confirmFromPeer(reply, sentAt, address)
		}
	}
	policyConfirmed := err == nil && reply.PolicyVersion == d.policyVersion() &&
		reply.AgeMs >= 0 && reply.AgeMs < confirmationSchedule.TakeoverMs
	if policyConfirmed && evacuationsConfirmed {
		d.syncAttempts = 0
		d.syncAfter = now + confirmationSchedule.NextAskDelay(d.rank(d.nodes()), reply.AgeMs)
		return
	}
	d.syncAttempts++
	d.syncAfter = now + syncRetryMs
	if d.starting(now) {
		d.syncAfter = now + startupSyncRetryMs
	}
}

func (d *Directory) confirmFromPeer(reply syncMessage, sentAt clock.Millis, address string) {
	if reply.PolicyVersion == d.policyVersion() {
		d.confirm(reply.PolicyVersion, sentAt-reply.AgeMs, address)
	}
}

// applyMessage applies the values in a message.
func (d *Directory) applyMessage(m syncMessage, source string, now clock.Millis) {
	if m.Revision > 0 {
		d.noteEpoch(m.Epoch, source, now)
	}
	d.applyEvacuationMessage(m.Evacuations, source, now)
	if m.Policy != nil {
		d.applyPolicy(*m.Policy, source)
	}
	if m.Roster != nil {
		d.applyTargets(*m.Roster, nil, source, now)
	}
	if m.ServingTarget != "" {
		d.confirmServing(m.ServingTarget, source, now)
	}
}

// askNewerPeer asks the sender of a message next if it has a newer policy than this node, or a clearly newer confirmation. A
// pushed confirmation is not used itself, because the time that the message took is not known.
func (d *Directory) askNewerPeer(m syncMessage, now clock.Millis) {
	newerPolicy := m.Policy == nil && m.PolicyVersion > d.policyVersion()
	confirmed := m.AgeMs >= 0 && m.PolicyVersion == d.policyVersion()
	newerConfirmation := confirmed && d.confirmationAge(now)-m.AgeMs >= confirmationSchedule.ReadEveryMs
	if m.From != "" && (newerPolicy || newerConfirmation) {
		d.newerPeer, d.syncAfter = m.From, min(d.syncAfter, now)
	}
}

// propagate passes an update on. A node that received it from the platform sends it to its own failure domain and to the leader
// of each other domain. A domain leader that received it from another domain sends it to its own.
func (d *Directory) propagate(source string, m syncMessage) {
	nodes := d.nodes()
	fromPlatform := source == platformSource
	if !fromPlatform && (slices.Contains(nodes.SameDomain, source) || !nodes.isDomainLeader(d.Address, d.Peers.Usable)) {
		return
	}
	m.From, m.Incarnation, m.AgeMs = d.Address, d.Incarnation, -1
	d.broadcast(nodes.SameDomain, SyncPath, m)
	if !fromPlatform {
		return
	}
	for _, other := range nodes.OtherDomains {
		d.broadcast(firstUsable(other, 1, d.Peers.Usable), SyncPath, m)
	}
}

// announce sends a message to the announcement peers, if the list of nodes is known.
func (d *Directory) announce(path string, message any) {
	if v := d.view.Load(); v != nil {
		d.broadcast(v.announcementPeers(announcedPerOtherDomain, d.Peers.Usable), path, message)
	}
}

// AnnouncePresence tells the announcement peers that this node has started.
func (d *Directory) AnnouncePresence() {
	d.enqueue(func(now clock.Millis) { d.announce(SyncPath, d.ownState(now)) })
}

// AnnounceLeaving tells the announcement peers, and those with calls of this node, that this node accepts no new work, and for
// how long it still passes on responses.
func (d *Directory) AnnounceLeaving(answersForMs clock.Millis) {
	m := LeaveMessage{From: d.Address, Incarnation: d.Incarnation, AnswersForMs: answersForMs}
	addresses := d.Peers.WithCalls()
	if v := d.view.Load(); v != nil {
		addresses = append(addresses, v.announcementPeers(announcedPerOtherDomain, d.Peers.Usable)...)
	}
	slices.Sort(addresses)
	d.broadcast(slices.Compact(addresses), LeavePath, m)
}

// broadcast sends a message to those of the nodes that can be reached, and once more to those for which that fails.
func (d *Directory) broadcast(addresses []string, path string, message any) {
	encoded, err := json.Marshal(message)
	if err != nil {
		_ = level.Error(d.Logger).Log("msg", "message can't be encoded", "path", path, "err", err)
		return
	}
	for _, address := range addresses {
		if address == d.Address || !d.Peers.Reachable(address) {
			continue
		}
		go func() {
			err := d.send(address, path, encoded)
			if err != nil {
				err = d.send(address, path, encoded)
			}
			if err != nil {
				_ = level.Debug(d.Logger).Log("msg", "message could not be sent to peer", "peer", address, "path", path, "err", err)
			}
		}()
	}
}

func (d *Directory) send(address, path string, encoded json.RawMessage) error {
	return d.Peers.Call(context.Background(), address, path, pushTimeout, encoded, nil)
}

// ServeSync handles sync requests and pushed updates from other nodes.
func (d *Directory) ServeSync(w http.ResponseWriter, r *http.Request) {
	m, err := decodeMessage(http.MaxBytesReader(w, r.Body, peers.MaxMessageBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if m.From != "" && m.Incarnation != 0 {
		d.Peers.MarkPresent(m.From, m.Incarnation)
	}
	reply := make(chan syncMessage, 1)
	d.enqueue(func(now clock.Millis) {
		d.applyMessage(m, m.From, now)
		d.askNewerPeer(m, now)
		reply <- d.replyTo(m, now)
	})
	select {
	case own := <-reply:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(own) // This fails only if the peer has disconnected.
	case <-r.Context().Done():
	case <-d.stopped:
		http.Error(w, "the node stops", http.StatusServiceUnavailable)
	}
}

// replyTo returns the values that the sender of m lacks. The reply to a pushed update carries no values.
func (d *Directory) replyTo(m syncMessage, now clock.Millis) syncMessage {
	own := d.ownState(now)
	if m.Policy != nil || m.Roster != nil || m.ServingTarget != "" {
		return own
	}
	if d.policy != nil && m.PolicyVersion < d.policy.Version {
		own.Policy = d.policy
	}
	if d.targetsKnown && m.position().Before(d.roster.Position()) {
		delta := d.roster.DeltaSince(m.position())
		delta.LapseGraceMs = d.roster.LapseGrace(now)
		own.Roster = &delta
	}
	return own
}

// ServeLeave records that a peer accepts no new work.
func (d *Directory) ServeLeave(w http.ResponseWriter, r *http.Request) {
	var m LeaveMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, peers.MaxMessageBytes)).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := m.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.Peers.MarkLeaving(m.From, m.Incarnation)
	if d.OnLeave != nil && m.AnswersForMs > 0 {
		d.OnLeave(m.Incarnation, m.AnswersForMs)
	}
	w.WriteHeader(http.StatusOK)
}
