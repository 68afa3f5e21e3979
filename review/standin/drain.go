package main

import (
	"fmt"
	"time"
)

// playDrain plays a backend that leaves without a report that it drains while its service is in a burst of traffic.
func playDrain(f *fleet, trouble bool) (bool, error) {
	const (
		work     = time.Second
		slots    = 5
		deadline = 10 * time.Second
		// usual is below what the two backends can do (2 x 5 / 1 s = 10 a second); the burst is 1.8 times as much.
		usual, burst = 9, 16
	)
	leaving := f.add("voids", "z-a", slots, work)
	f.add("voids", "z-b", slots, work)
	f.add("riders", "z-a", slots, work)
	f.add("riders", "z-b", slots, work)
	f.publish(1, []row{{"r-void", apiHost, "/void/", "unsafe", 10, 1.5, 0, nil, 2, false, "voids"}},
		[]row{{"plain", []string{apiKey}, 1, 0, 0}})
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	l := f.startLoad(usual, "POST", "/void/1", apiKey, deadline, "d")
	time.Sleep(4 * time.Second)
	f.record.add("burst from=%d to=%d a second", usual, burst)
	l.rate.Store(burst)
	time.Sleep(9 * time.Second)
	var ack time.Time
	if trouble {
		ack = leaving.backend.unlist()
		f.record.add("entry removed backend=%s", leaving.backend.id)
	}
	time.Sleep(5 * time.Second)
	requests := l.stop()
	late, latest := 0, time.Duration(0)
	for _, n := range leaving.backend.allRuns() {
		if ack.IsZero() || n.start.Sub(ack) <= drainBound {
			continue
		}
		late++
		latest = max(latest, n.start.Sub(ack))
		f.record.add("late id=%s backend=%s after_ack=%.3fs", n.id, n.instance, n.start.Sub(ack).Seconds())
	}
	f.verdict("DRAIN", late, fmt.Sprintf("latest request reached the backend %.2f s after the ack of its removal (bound %.0f s), of %d requests",
		latest.Seconds(), drainBound.Seconds(), len(requests)))
	return late > 0, nil
}
