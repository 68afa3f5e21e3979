package seat_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/seat"
)

var keys = func() (keys []string) {
	for i := range 16 {
		keys = append(keys, seat.Key("laurel", "a", i))
	}
	return keys
}()

// domain is a failure domain of simulated nodes that exchange reports and releases.
type domain struct {
	nodes       map[string]*seat.Ownership
	blocked     map[string]bool
	incarnation uint64
	now         clock.Millis
}

func newDomain(list seat.List) *domain {
	d := &domain{nodes: map[string]*seat.Ownership{}, blocked: map[string]bool{}, now: 100000}
	for _, name := range list.VMs {
		d.start(name, list)
	}
	return d
}

func (d *domain) start(name string, list seat.List) {
	d.incarnation++
	d.nodes[name] = seat.New(name, d.incarnation, seat.Config{})
	d.nodes[name].SetList(list, d.now)
}

// exchangeReports delivers the reports between all nodes that can reach each other, and advances the time.
func (d *domain) exchangeReports(step clock.Millis) {
	sentAt := d.now
	names := slices.Sorted(maps.Keys(d.nodes))
	for _, name := range names {
		n := d.nodes[name]
		for _, other := range names {
			o := d.nodes[other]
			if name != other && !d.blocked[name+other] && !d.blocked[other+name] {
				n.HandleReport(o.Report(sentAt), sentAt, d.now)
			}
		}
		n.Tick(d.now)
	}
	d.now += step
}

func (d *domain) owners(key string) (owners []string) {
	for name, n := range d.nodes {
		if _, ok := n.OwnedSince(key, d.now); ok {
			owners = append(owners, name)
		}
	}
	return owners
}

func (d *domain) ownedCount() (count int) {
	for _, key := range keys {
		count += len(d.owners(key))
	}
	return count
}

// Guards against nodes of a new fleet, or of a domain with one VM, that wait for previous owners which never existed.
func TestFreshFleetOwnsAllSeatsAtOnce(t *testing.T) {
	for _, names := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c", "d"}} {
		d := newDomain(seat.NewList(1, names))
		d.exchangeReports(1)
		d.exchangeReports(1)
		assert.Equal(t, d.ownedCount(), len(keys))
	}
}

// Guards against a joining VM that uses seats while the previous owner still uses them, or that never gets them.
func TestJoiningVMGetsSeatsByFenceOrRelease(t *testing.T) {
	for _, release := range []bool{false, true} {
		d := newDomain(seat.NewList(1, []string{"a", "b", "c"}))
		d.exchangeReports(1)
		d.now += 20000
		d.exchangeReports(500)
		d.exchangeReports(500)
		next := seat.NewList(2, []string{"a", "b", "c", "d"})
		d.start("d", next)
		for _, name := range []string{"a", "b", "c"} {
			d.nodes[name].SetList(next, d.now)
		}
		d.exchangeReports(500)
		assert.Assert(t, d.ownedCount() < len(keys), "the joining VM must wait")
		if release {
			third := seat.NewList(3, []string{"a", "b", "d"})
			for range 15 {
				d.exchangeReports(1000)
			}
			for _, n := range d.nodes {
				n.SetList(third, d.now)
			}
			d.exchangeReports(0)
			moved := 0
			for name, n := range d.nodes {
				for _, r := range n.ReleaseRequests(keys, d.now) {
					reply, ok := d.nodes[r.Owner].Release(r.Key, r.Version, d.now)
					assert.Assert(t, ok, "%s asks %s", name, r.Owner)
					assert.Assert(t, n.HandleRelease(reply, d.now))
					moved++
				}
			}
			delete(d.nodes, "c")
			assert.Assert(t, moved > 0)
			assert.Equal(t, d.ownedCount(), len(keys), "a release ends the wait")
			continue
		}
		for range 15 {
			d.exchangeReports(1000)
		}
		assert.Equal(t, d.ownedCount(), len(keys))
	}
}

// Guards against a node that keeps using its seats without a majority, after a pause, or right after a restart.
func TestOwnershipNeedsRecentConfirmation(t *testing.T) {
	cases := []struct {
		name  string
		event func(d *domain)
	}{
		{"cut off", func(d *domain) { d.now += 5000 }},
		{"paused", func(d *domain) { d.nodes["a"].HandlePause(d.now) }},
		{"restarted", func(d *domain) { d.start("a", seat.NewList(2, []string{"a", "b", "c"})) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDomain(seat.NewList(1, []string{"a", "b", "c"}))
			d.exchangeReports(0)
			for _, n := range d.nodes {
				n.SetList(seat.NewList(2, []string{"a", "b", "c"}), d.now)
			}
			d.exchangeReports(1000)
			c.event(d)
			for _, key := range keys {
				_, ok := d.nodes["a"].OwnedSince(key, d.now)
				assert.Assert(t, !ok)
			}
			for range 12 {
				d.exchangeReports(1000)
			}
			assert.Equal(t, d.ownedCount(), len(keys))
		})
	}
}

// Guards against two nodes that may use one seat at the same time. Lists are seen at different times and with gaps,
// reports are lost, delayed and repeated, and nodes restart into the list in use, pause and release seats.
func TestNoSeatHasTwoOwnersAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}
		lists := []seat.List{seat.NewList(1, names[:rapid.IntRange(1, 4).Draw(t, "size")])}
		d := newDomain(lists[0])
		d.exchangeReports(1)
		type delayedReport struct {
			to     string
			report seat.Report
			sent   clock.Millis
		}
		var delayed []delayedReport
		nextChange := clock.Millis(0)
		name := rapid.SampledFrom(names)
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			vmName := name.Draw(t, "vm")
			n := d.nodes[vmName]
			other := d.nodes[name.Draw(t, "other")]
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action == 0 && d.now > nextChange && len(lists[len(lists)-1].VMs) > 2:
				last := lists[len(lists)-1]
				var next []string
				for _, v := range last.VMs {
					if v != vmName {
						next = append(next, v)
					}
				}
				if len(next) == len(last.VMs) {
					next = append(next, vmName)
				}
				lists = append(lists, seat.NewList(last.Version+1, next))
				nextChange = d.now + 10000
			case action == 1 && n != nil:
				n.SetList(lists[len(lists)-1], d.now)
			case action == 1:
				d.start(vmName, lists[len(lists)-1])
			case action == 2 && n != nil:
				n.HandlePause(d.now)
			case action == 3 && n != nil && rapid.IntRange(0, 3).Draw(t, "restart") == 0:
				d.start(vmName, lists[len(lists)-1])
			case action == 4 && n != nil:
				for _, r := range n.ReleaseRequests(keys, d.now) {
					if owner := d.nodes[r.Owner]; owner != nil {
						if reply, ok := owner.Release(r.Key, r.Version, d.now); ok && rapid.Bool().Draw(t, "arrives") {
							n.HandleRelease(reply, d.now)
						}
					}
				}
			case action <= 6 && n != nil && other != nil:
				delayed = append(delayed, delayedReport{vmName, other.Report(d.now), d.now})
			case action == 7 && len(delayed) > 0:
				message := rapid.SampledFrom(delayed).Draw(t, "message")
				d.nodes[message.to].HandleReport(message.report, message.sent, d.now)
			default:
				d.now += clock.Millis(rapid.IntRange(0, 1500).Draw(t, "ms"))
				if rapid.Bool().Draw(t, "exchange") {
					d.exchangeReports(1)
				}
			}
			for _, key := range keys {
				if owners := d.owners(key); len(owners) > 1 {
					t.Fatalf("%s has owners %v at %d", key, owners, d.now)
				}
			}
		}
	})
}

// Guards against seats that move between VMs which stay when another VM is removed from the list.
func TestRemovedVMMovesOnlyItsOwnSeats(t *testing.T) {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("vm%02d", i))
	}
	full, reduced := seat.NewList(1, names), seat.NewList(2, names[:19])
	for i := range 1000 {
		key := seat.Key("laurel", "a", i)
		if owner := full.Owner(key); owner != "vm19" {
			assert.Equal(t, reduced.Owner(key), owner)
		}
	}
}
