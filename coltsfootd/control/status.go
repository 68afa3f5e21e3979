package control

import (
	"context"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
)

// Status is the state of the control loop for operators.
type Status struct {
	Ready bool
	// Held is true while requests wait because the process was paused.
	Held   bool
	Pauses int64
	// WatcherRank is this node's rank among the watchers of the platform in its failure domain, or -1.
	WatcherRank int
	Sections    []config.Status
	// LastContactMs holds the times since the platform and each peer last answered.
	LastContactMs map[string]clock.Millis
	// LeavingPeers are the nodes that get no new work.
	LeavingPeers []string
}

// Status returns the state of the loop, or an error if ctx or the loop ended first.
func (l *Loop) Status(ctx context.Context) (Status, error) {
	result := make(chan Status, 1)
	if l.post(ctx, func(now clock.Millis) { result <- l.status(now) }) {
		select {
		case s := <-result:
			return s, nil
		case <-l.stopped:
		case <-ctx.Done():
		}
	}
	return Status{}, Error.New("the control loop does not answer")
}

func (l *Loop) status(now clock.Millis) Status {
	s := Status{
		Ready: l.state.Load().ready, Held: l.pause.State().HoldsRequests(now), Pauses: l.pause.Count(),
		WatcherRank: l.reader.Rank(), Sections: l.store.Status(now), LastContactMs: make(map[string]clock.Millis),
	}
	var lastSent clock.Millis
	for _, name := range fleet.SectionNames() {
		lastSent = max(lastSent, l.platformSentAt[name])
	}
	if lastSent > 0 {
		s.LastContactMs[config.Platform] = now - lastSent
	}
	for _, v := range l.store.Snapshot().VMs.VMs {
		p, ok := l.members.Peer(v.Name, now)
		if !ok || v.Name == l.Node {
			continue
		}
		if p.Incarnation != 0 {
			s.LastContactMs[v.Name] = now - p.LastContactMs
		}
		if p.Leaving {
			s.LeavingPeers = append(s.LeavingPeers, v.Name)
		}
	}
	return s
}
