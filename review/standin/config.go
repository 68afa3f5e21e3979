package main

import (
	"fmt"
	"time"
)

const (
	configBound = 2 * time.Second
	// deniedMachines of twelve is a share of 0.33; the pages go to 0.35.
	deniedMachines = 4
	// settleTime lets the machines return to their usual reads after the store has turned some away.
	settleTime = 5 * time.Second
)

// playConfig plays a configuration that is written just after the store has begun to turn away a third of the machines, among them
// those that would read it for the others.
func playConfig(f *fleet, trouble bool) (bool, error) {
	const (
		work     = 10 * time.Millisecond
		slots    = 50
		deadline = 3 * time.Second
		perSec   = 300
	)
	for _, service := range []string{"riders", "voids"} {
		for i := range 6 {
			f.add(service, fmt.Sprintf("z-%c", 'a'+i%3), slots, work)
		}
	}
	tenants := []row{{"plain", []string{apiKey}, 1, 0, 0}}
	routes := func(service string) []row {
		return []row{{"r-rider", apiHost, "/rider/", "safe", 3, 1, 1, nil, 2, false, service}}
	}
	f.publish(1, routes("riders"), tenants)
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	readers, err := f.readersInTurn()
	if err != nil {
		return false, err
	}
	l := f.startLoad(perSec, "GET", "/rider/1", apiKey, deadline, "c")
	time.Sleep(settleTime)
	readers[0].awaitRead()
	time.Sleep(50 * time.Millisecond)
	out := map[*machine]bool{}
	for _, m := range readers {
		out[m] = true
		if trouble {
			m.door.deny()
			f.record.add("store turns away machine=%s", m.name)
		}
	}
	time.Sleep(50 * time.Millisecond)
	ack := f.publish(2, routes("voids"), tenants)
	f.record.add("configuration 2 acknowledged: the route goes to voids")
	time.Sleep(7 * time.Second)
	requests := l.stop()
	late, latest := 0, time.Duration(0)
	for _, s := range requests {
		after := s.sentAt.Sub(ack)
		if out[s.machine] || after <= configBound {
			continue
		}
		for _, m := range f.machines {
			if m.backend.service != "riders" || m.backend.runOf(s.id) == nil {
				continue
			}
			late++
			latest = max(latest, after)
			f.record.add("late id=%s machine=%s ran_by=%s sent_after_ack=%.3fs", s.id, s.machine.name, m.backend.id, after.Seconds())
		}
	}
	f.verdict("CONFIG", late, fmt.Sprintf("latest request run by the old service was sent %.2f s after the ack (bound %.0f s), of %d requests",
		latest.Seconds(), configBound.Seconds(), len(requests)))
	return late > 0, nil
}

// awaitRead waits until the machine has read the configuration once more.
func (m *machine) awaitRead() time.Time {
	before, _ := m.door.reads()
	for {
		if n, at := m.door.reads(); n > before {
			return at
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// readersInTurn returns the machine that reads the configuration for the others, and those that are the first to read it when the
// store turns away all before them.
func (f *fleet) readersInTurn() ([]*machine, error) {
	first, err := f.reader()
	if err != nil {
		return nil, err
	}
	found := []*machine{first}
	for len(found) < deniedMachines {
		first.awaitRead()
		for _, m := range found {
			m.door.deny()
		}
		next, err := f.firstToRead(time.Now())
		for _, m := range found {
			m.door.admit()
		}
		if err != nil {
			return nil, err
		}
		found = append(found, next)
		time.Sleep(settleTime)
	}
	for _, m := range found {
		f.record.add("reader machine=%s", m.name)
	}
	return found, nil
}

// firstToRead returns the machine that is the first to read the configuration after the time.
func (f *fleet) firstToRead(after time.Time) (*machine, error) {
	for end := after.Add(settleTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var found *machine
		earliest := time.Time{}
		for _, m := range f.machines {
			if _, at := m.door.reads(); at.After(after) && (found == nil || at.Before(earliest)) {
				found, earliest = m, at
			}
		}
		if found != nil {
			return found, nil
		}
	}
	return nil, fmt.Errorf("no machine reads the store")
}
