package main

import (
	"fmt"
	"time"
)

// playLost plays a rolling restart: six of twelve machines get SIGTERM, one a second, and are started again.
func playLost(f *fleet, trouble bool) (bool, error) {
	const (
		work     = 1400 * time.Millisecond
		slots    = 20
		deadline = 10 * time.Second
		// perSecond is below what the three backends can do (3 x 20 / 1.4 s = 43 a second).
		perSecond = 42
	)
	for _, zone := range []string{"z-a", "z-b", "z-c"} {
		f.add("voids", zone, slots, work)
	}
	for _, zone := range []string{"z-a", "z-b", "z-c", "z-a", "z-b", "z-c", "z-a", "z-b", "z-c"} {
		f.add("riders", zone, slots, work)
	}
	f.publish(1, []row{{"r-void", apiHost, "/void/", "unsafe", 10, 1.5, 0, nil, 2, false, "voids"}},
		[]row{{"plain", []string{apiKey}, 1, 0, 0}})
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	l := f.startLoad(perSecond, "POST", "/void/1", apiKey, deadline, "l")
	time.Sleep(6 * time.Second)
	if trouble {
		for _, i := range []int{0, 3, 1, 4, 2, 5} {
			f.machines[i].roll()
			time.Sleep(time.Second)
		}
	} else {
		time.Sleep(6 * time.Second)
	}
	time.Sleep(8 * time.Second)
	requests := l.stop()
	lost, statuses := 0, map[int]int{}
	for _, s := range requests {
		statuses[s.status]++
		if reason := f.lostReason(s); reason != "" {
			lost++
			f.record.add("lost id=%s machine=%s sent=%s ended_after=%.3fs %s", s.id, s.machine.name, f.record.at(s.sentAt),
				s.endedAt.Sub(s.sentAt).Seconds(), reason)
		}
	}
	f.verdict("LOST", lost, fmt.Sprintf("of %d requests; answers by status %v (0: connection ended without an answer)", len(requests),
		statuses))
	return lost > 0, nil
}

// lostReason returns why a request counts as lost around the SIGTERM of the machine that took it, or "". Not counted: the client's
// time was up, or the backend was still at work in the last sixth of the grace period on a request that was sent no later than
// 3 s after the SIGTERM.
func (f *fleet) lostReason(s *sent) string {
	m := s.machine
	took := s.endedAt.Sub(s.sentAt)
	if s.status != 0 || !s.connected || m.terminateAt.IsZero() || took <= lossSlack || took >= s.deadline {
		return ""
	}
	sinceTerm := s.sentAt.Sub(m.terminateAt)
	if s.endedAt.Before(m.terminateAt) || sinceTerm > grace+time.Second {
		return ""
	}
	for _, other := range f.machines {
		n := other.backend.runOf(s.id)
		if n == nil {
			continue
		}
		lastSixth := m.terminateAt.Add(grace * 5 / 6)
		if sinceTerm <= 3*time.Second && (n.end.IsZero() || n.end.After(lastSixth)) && n.start.Before(m.terminateAt.Add(grace)) {
			return ""
		}
		return "passed on to backend " + n.instance
	}
	return "no backend ever began to work on it"
}
