package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"coltsfootusher.example/platform/platformtest"
	"coltsfootusher.example/standin/link"
)

const (
	// faultsPerSecond, shortestFault and longestFault shape the schedule; faults overlap.
	faultsPerSecond = 1.2
	shortestFault   = 100 * time.Millisecond
	longestFault    = 6 * time.Second
	// longFactor makes faults that keep nodes from learning of a withdrawn key outlast the lease of keys.
	longFactor = 2
	// drainTime is the time between a target's announcement that it leaves and its end.
	drainTime = 2 * time.Second
	linkDelay = 60 * time.Millisecond
	slowStore = 700 * time.Millisecond
	// highestLimit is above the highest limit that a target names, in requests per second.
	highestLimit = 40
	// policyEvery is the time between the policies that are published beside the faults.
	policyEvery = 2500 * time.Millisecond
	// mostPolicies is the largest number of policies that follow each other at once.
	mostPolicies = 3
	// oldestCopy is the age of the oldest copy from which the store is restored, entryLife the time for which it keeps entries that
	// are no longer written.
	oldestCopy = 8 * time.Second
	entryLife  = 4 * time.Second
)

// subject is what a fault has to work on.
type subject struct {
	fleet      *fleet
	one, other *vm
	length     time.Duration
	random     uint64
	wait       func(d time.Duration)
}

// kind is a kind of fault; run returns when the fault is over.
type kind struct {
	name string
	run  func(s subject) error
}

var kinds = []kind{
	{"kill node", func(s subject) error { return s.restart(syscall.SIGKILL) }},
	{"stop node", func(s subject) error { return s.restart(syscall.SIGTERM) }},
	{"pause node", func(s subject) error {
		s.one.signalNode(syscall.SIGSTOP)
		s.wait(s.length)
		s.one.signalNode(syscall.SIGCONT)
		return nil
	}},
	{"reload node", func(s subject) error { s.one.signalNode(syscall.SIGHUP); return nil }},
	{"crash target", func(s subject) error { return s.replace(s.random%2 == 0) }},
	{"replace target", func(s subject) error {
		if err := s.one.publishLeaving(); err != nil {
			return err
		}
		s.wait(drainTime)
		s.one.removeEntry()
		return s.replace(false)
	}},
	{"slow target", func(s subject) error {
		return s.misbehave(platformtest.Behaviour{WorkTime: 20 * targetWork})
	}},
	{"target loses answers", func(s subject) error {
		return s.misbehave(platformtest.Behaviour{WorkTime: targetWork, LoseAnswers: true})
	}},
	{"target cuts answers", func(s subject) error {
		return s.misbehave(platformtest.Behaviour{WorkTime: targetWork, TruncateAnswers: true})
	}},
	{"target answers twice", func(s subject) error {
		return s.misbehave(platformtest.Behaviour{WorkTime: targetWork, ExtraAnswers: true})
	}},
	{"target names a limit", func(s subject) error {
		s.length *= longFactor
		limit := float64(s.random % highestLimit)
		return s.state(statement{limited: true, limit: limit}, platformtest.Behaviour{
			WorkTime: targetWork, Limit: strconv.FormatFloat(limit, 'f', -1, 64),
		})
	}},
	{"target says it leaves", func(s subject) error {
		if err := s.state(statement{leaving: true}, platformtest.Behaviour{WorkTime: targetWork, Leaving: true}); err != nil {
			return err
		}
		// Nothing but a restart makes it stay.
		return s.replace(s.random%2 == 0)
	}},
	{"cut one way", func(s subject) error { return s.cut(link.Direction{From: s.one.name, To: s.other.name}) }},
	{"cut both ways", func(s subject) error { return s.cut(both(s.one.name, s.other.name)...) }},
	{"reset connections", func(s subject) error {
		s.length = 0
		return s.cut(both(s.one.name, s.other.name)...)
	}},
	{"isolate node", func(s subject) error {
		directions := both("", s.one.storeEnd())
		for _, v := range s.fleet.vms {
			if v != s.one {
				directions = append(directions, both(s.one.name, v.name)...)
			}
		}
		s.length *= longFactor
		return s.cut(directions...)
	}},
	{"cut from store", func(s subject) error { return s.cut(both("", s.one.storeEnd())...) }},
	{"silent target", func(s subject) error { return s.cut(both("", s.one.targetEnd())...) }},
	{"delay link", func(s subject) error {
		s.fleet.network.SetDelay(s.one.name, s.other.name, linkDelay)
		s.wait(s.length)
		s.fleet.network.SetDelay(s.one.name, s.other.name, 0)
		return nil
	}},
	{"store is down", func(s subject) error { return s.trouble(platformtest.Fault{Refuse: true}) }},
	{"store is slow", func(s subject) error { return s.trouble(platformtest.Fault{Delay: slowStore}) }},
	{"store loses answers", func(s subject) error { return s.trouble(platformtest.Fault{LoseAnswers: true}) }},
	{"store is restored", func(s subject) error { return s.restoreStore() }},
	{"store forgets history", func(s subject) error { s.fleet.store.ForgetHistory(); return nil }},
	{"new policy", func(s subject) error {
		for range 1 + s.random%mostPolicies {
			if err := s.fleet.publishNext(); err != nil {
				return err
			}
			s.wait(shortestFault)
		}
		return nil
	}},
}

func both(a, b string) []link.Direction {
	return []link.Direction{{From: a, To: b}, {From: b, To: a}}
}

// restoreStore takes the store away for a moment and brings it back from a copy. The operator and the targets write again what it
// has lost.
func (s subject) restoreStore() error {
	f := s.fleet
	from := time.Now()
	f.store.SetFault(platformtest.Fault{Refuse: true})
	s.wait(s.length / 4)
	f.store.Restore(time.Duration(s.random % uint64(oldestCopy)))
	f.store.SetFault(platformtest.Fault{})
	f.history.storeTroubled(from)
	if err := f.publishAgain(); err != nil {
		return err
	}
	for _, v := range f.vms {
		if err := v.publishAgain(); err != nil {
			return err
		}
	}
	s.wait(entryLife)
	f.removeDeadEntries()
	return nil
}

func (s subject) restart(signal syscall.Signal) error {
	// As on the platform, a process is not started while its predecessor still ends.
	s.one.restarting.Lock()
	defer s.one.restarting.Unlock()
	s.one.stopNode(signal)
	s.wait(s.length / 4)
	return s.one.startNode()
}

func (s subject) replace(sameID bool) error {
	s.one.stopTarget()
	s.wait(s.length)
	if !sameID {
		s.one.removeEntry()
	}
	return s.one.startTarget(sameID)
}

func (s subject) misbehave(b platformtest.Behaviour) error {
	s.one.behave(b)
	s.wait(s.length)
	s.one.behave(platformtest.Behaviour{WorkTime: targetWork})
	return nil
}

// state lets the target state something about itself for a while.
func (s subject) state(st statement, b platformtest.Behaviour) error {
	st.target, st.from = s.one.targetID(), time.Now()
	change := s.one.behave(b)
	s.wait(s.length)
	st.until = time.Now()
	// Another fault may have changed the behaviour, or replaced the target, so that it no longer states this.
	if s.one.behave(platformtest.Behaviour{WorkTime: targetWork}) == change+1 && s.one.targetID() == st.target {
		s.fleet.history.stated(st)
	}
	return nil
}

func (s subject) cut(directions ...link.Direction) error {
	for _, d := range directions {
		s.fleet.network.Cut(d)
	}
	s.wait(s.length)
	s.fleet.network.HealOnly(directions...)
	return nil
}

func (s subject) trouble(t platformtest.Fault) error {
	if s.fleet.Evacuate {
		return nil // The store would hardly ever work for long enough to check an evacuation.
	}
	s.fleet.store.SetFault(t)
	s.wait(longFactor * s.length)
	s.fleet.store.SetFault(platformtest.Fault{})
	return nil
}

// scheduled is a fault of the schedule; one and other are numbers of VMs.
type scheduled struct {
	at, length time.Duration
	kind       kind
	one, other int
	random     uint64
}

// String describes the fault for the log of a run.
func (s scheduled) String() string {
	return fmt.Sprintf("%6.2f s: %s, n%d (n%d), %s", s.at.Seconds(), s.kind.name, s.one, s.other, s.length.Round(time.Millisecond))
}

// schedule draws the faults of a run, in the order in which they begin.
func schedule(seed uint64, nodes int, d time.Duration) []scheduled {
	random := rand.New(rand.NewPCG(seed, 1))
	var faults []scheduled
	for range int(d.Seconds() * faultsPerSecond) {
		one := random.IntN(nodes)
		faults = append(faults, scheduled{
			at:     time.Duration(random.Int64N(int64(d))),
			length: shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))),
			kind:   kinds[random.IntN(len(kinds))], one: one, other: (one + 1 + random.IntN(nodes-1)) % nodes, random: random.Uint64(),
		})
	}
	slices.SortFunc(faults, func(a, b scheduled) int { return int(a.at - b.at) })
	return faults
}

// operate publishes policies until ctx ends.
func (f *fleet) operate(ctx context.Context) {
	ticker := time.NewTicker(policyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := f.publishNext(); err != nil {
				f.report(violation{"the soak can play its faults", err.Error()})
			}
		}
	}
}

// play runs the faults and returns when all are over.
func (f *fleet) play(ctx context.Context, faults []scheduled) {
	var group sync.WaitGroup
	begin := time.Now()
	for _, s := range faults {
		wait := func(d time.Duration) {
			select {
			case <-time.After(d):
			case <-ctx.Done():
			}
		}
		wait(time.Until(begin.Add(s.at)))
		f.logf("%s", s)
		group.Go(func() {
			err := s.kind.run(subject{
				fleet: f, one: f.vms[s.one], other: f.vms[s.other], length: s.length, random: s.random, wait: wait,
			})
			if err != nil {
				f.report(violation{"the soak can play its faults", fmt.Sprintf("%s: %v", s, err)})
			}
		})
	}
	group.Wait()
}
