package main

import (
	"fmt"
	"time"
)

// playTakeover plays a backend that leaves without a report that it drains, just after the store has begun to turn away the one
// machine that reads it for the others.
func playTakeover(f *fleet, trouble bool) (bool, error) {
	const (
		work     = 20 * time.Millisecond
		slots    = 50
		deadline = 3 * time.Second
		perSec   = 150
	)
	for _, service := range []string{"riders", "voids"} {
		for _, zone := range []string{"z-a", "z-b", "z-c"} {
			f.add(service, zone, slots, work)
		}
	}
	f.publish(1, []row{{"r-rider", apiHost, "/rider/", "safe", 3, 1, 1, nil, 2, false, "riders"}},
		[]row{{"plain", []string{apiKey}, 1, 0, 0}})
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	l := f.startLoad(perSec, "GET", "/rider/1", apiKey, deadline, "r")
	time.Sleep(6 * time.Second)
	reader, err := f.reader()
	if err != nil {
		return false, err
	}
	leaving := f.machines[0]
	if leaving == reader {
		leaving = f.machines[1]
	}
	before, _ := reader.door.reads()
	for n := before; n == before; n, _ = reader.door.reads() {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	if trouble {
		reader.door.deny()
		f.record.add("store turns away machine=%s, which reads it for the others", reader.name)
	}
	time.Sleep(50 * time.Millisecond)
	ack := leaving.backend.unlist()
	f.record.add("entry removed backend=%s machine=%s", leaving.backend.id, leaving.name)
	time.Sleep(8 * time.Second)
	requests := l.stop()
	late, latest, last := 0, time.Duration(0), time.Duration(0)
	for _, n := range leaving.backend.allRuns() {
		after := n.start.Sub(ack)
		last = max(last, after)
		if after <= drainBound {
			continue
		}
		if f.tookFrom(requests, n.id) == reader {
			continue // This machine is not in touch: it has no path to the platform.
		}
		late++
		latest = max(latest, after)
		f.record.add("late id=%s backend=%s after_ack=%.3fs", n.id, n.instance, after.Seconds())
	}
	f.verdict("DRAIN", late, fmt.Sprintf("last request reached the backend %.2f s after the ack of its removal (bound %.0f s), of %d requests",
		last.Seconds(), drainBound.Seconds(), len(requests)))
	return late > 0, nil
}

// tookFrom returns the machine that took the request from the client.
func (f *fleet) tookFrom(requests []*sent, id string) *machine {
	for _, s := range requests {
		if s.id == id {
			return s.machine
		}
	}
	return nil
}

// reader returns the machine that read the configuration most often in the last seconds.
func (f *fleet) reader() (*machine, error) {
	counts := map[*machine]int{}
	for _, m := range f.machines {
		counts[m], _ = m.door.reads()
	}
	time.Sleep(3 * time.Second)
	var found *machine
	most := 0
	for _, m := range f.machines {
		n, _ := m.door.reads()
		if n-counts[m] > most {
			found, most = m, n-counts[m]
		}
	}
	if found == nil {
		return nil, fmt.Errorf("no machine reads the store")
	}
	return found, nil
}
