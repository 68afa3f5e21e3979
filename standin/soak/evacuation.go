package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"coltsfootusher.example/platform/platformtest"
)

const (
	// evacuationTime is the time within which an evacuation takes effect, unservedTime what machines that can't reach the store have
	// beyond it.
	evacuationTime = 5 * time.Second
	unservedTime   = 5 * time.Second
	// evacuationLength and evacuationPause are the times for which domains are evacuated and given back.
	evacuationLength = 18 * time.Second
	evacuationPause  = 2 * time.Second
)

// evacuation is the time for which a domain must receive no calls. until is zero while it lasts.
type evacuation struct {
	domain      string
	from, until time.Time
}

// period is a time in which the store was away before it returned from a copy.
type period struct {
	from, until time.Time
}

// evacuateDomains evacuates one domain after the other until ctx ends.
func (f *fleet) evacuateDomains(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.Seed, 3))
	wait := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	for ctx.Err() == nil {
		domain := f.vms[random.IntN(len(f.vms))].domain
		f.setEvacuated(domain)
		wait(evacuationLength)
		f.setEvacuated("")
		wait(evacuationPause)
	}
}

// setEvacuated evacuates the domain, or none, in place of the one before.
func (f *fleet) setEvacuated(domain string) {
	f.policyMu.Lock()
	defer f.policyMu.Unlock()
	if f.evacuated != "" {
		f.history.evacuationEnds()
		f.store.EndEvacuation(f.evacuated)
	}
	f.logf("evacuated: %q", domain)
	f.evacuated, f.lastEvacuated = domain, f.evacuated
	if domain == "" {
		return
	}
	if err := f.store.Evacuate(domain); err != nil {
		f.report(violation{"the soak can play its faults", err.Error()})
	}
	f.history.evacuationBegins(domain)
}

// writeEvacuationAgain writes what the operator has last written about evacuations. policyMu must be held.
func (f *fleet) writeEvacuationAgain() error {
	if f.lastEvacuated != "" && f.lastEvacuated != f.evacuated {
		f.store.EndEvacuation(f.lastEvacuated)
	}
	if f.evacuated != "" {
		return f.store.Evacuate(f.evacuated)
	}
	return nil
}

func (h *history) evacuationBegins(domain string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations = append(h.evacuations, evacuation{domain: domain, from: time.Now()})
}

func (h *history) evacuationEnds() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations[len(h.evacuations)-1].until = time.Now()
}

func (h *history) storeTroubled(from time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.troubles = append(h.troubles, period{from: from, until: time.Now()})
}

// inForceAt returns the time from which on the evacuation must be in force everywhere. A store that does not work delays it.
func (h *history) inForceAt(e evacuation) time.Time {
	at := e.from.Add(evacuationTime + unservedTime)
	for range h.troubles {
		for _, p := range h.troubles {
			if after := p.until.Add(evacuationTime + unservedTime); p.until.After(e.from) && p.from.Before(at) && after.After(at) {
				at = after
			}
		}
	}
	return at
}

// checkEvacuations checks that no call ran in an evacuated domain that was sent once the evacuation had to be in force.
func (h *history) checkEvacuations(runs map[string][]platformtest.Run) []violation {
	var found []violation
	for _, e := range h.evacuations {
		at := h.inForceAt(e)
		for _, c := range h.calls {
			for _, r := range runs[c.ID] {
				late := c.sent.After(at) && (e.until.IsZero() || r.At.Before(e.until))
				if late && h.domainOf(r.Target) == e.domain {
					found = append(found, violation{"an evacuated domain gets no calls", fmt.Sprintf(
						"%s was sent to node %d %s after the key of %s was written, and ran at %s",
						c.ID, c.node, c.sent.Sub(e.from), e.domain, r.Target)})
				}
			}
		}
	}
	return found
}

// domainOf returns the domain of a target by its id.
func (f *fleet) domainOf(target string) string {
	var number, start int
	if _, err := fmt.Sscanf(target, "t%d-%d", &number, &start); err != nil || number >= len(f.vms) {
		return ""
	}
	return f.vms[number].domain
}
