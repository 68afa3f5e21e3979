package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	quotaRate    = 20
	quotaBurst   = 150
	quotaWindow  = 5 * time.Second
	quotaOver    = 0.25
	quotaSlack   = 20
	quotaTenants = 20
	// A tenant usually sends usualPerSecond requests a second, which is its rate divided by 1.6, and then 7.2 times as many.
	usualPerSecond = 12.5
	hotPerSecond   = 90
	hotTime        = 9 * time.Second
)

// playQuota plays a scale-in while tenants send many times their usual: of each service one of three backends is taken away.
func playQuota(f *fleet, trouble bool) (bool, error) {
	const work = 3 * time.Millisecond
	services := []string{"riders", "voids", "signings", "trails"}
	for _, service := range services {
		for _, zone := range []string{"z-a", "z-b", "z-c"} {
			f.add(service, zone, 100, work)
		}
	}
	var tenants []row
	for i := range quotaTenants {
		tenants = append(tenants, row{fmt.Sprintf("t%02d", i), []string{tenantKey(i)}, 1, quotaRate, quotaBurst})
	}
	var routes []row
	for _, service := range services {
		routes = append(routes, row{"r-" + service, apiHost, "/" + service + "/", "unsafe", 2, 0.5, 1, nil, 1, false, service})
	}
	f.publish(1, routes, tenants)
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	var hot atomic.Bool
	var group sync.WaitGroup
	for i := range quotaTenants {
		group.Go(func() { f.loadTenant(i, services, &hot, stop) })
	}
	time.Sleep(3 * time.Second)
	if trouble {
		group.Go(func() { f.scaleIn(services) })
	}
	f.record.add("tenants send %d a second each, instead of %g", hotPerSecond, usualPerSecond)
	hot.Store(true)
	time.Sleep(hotTime)
	close(stop)
	group.Wait()
	broken, worst, worstTenant := f.quotaExcess()
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	f.verdict("QUOTA", broken, fmt.Sprintf("tenants over their quota of %d; worst: %s with %d runs in %.0f s, allowed %.0f", quotaTenants,
		worstTenant, worst, quotaWindow.Seconds(), allowed))
	return broken > 0, nil
}

func tenantKey(i int) string { return fmt.Sprintf("keyoftenant%09d", i) }

// loadTenant sends the requests of one tenant from the machines in turn.
func (f *fleet) loadTenant(i int, services []string, hot *atomic.Bool, stop chan struct{}) {
	clients := map[*machine]*http.Client{}
	var group sync.WaitGroup
	next := time.Now().Add(time.Duration(i) * time.Millisecond)
	for n := 0; ; n++ {
		select {
		case <-stop:
			group.Wait()
			return
		case <-time.After(time.Until(next)):
		}
		perSecond := usualPerSecond
		if hot.Load() {
			perSecond = hotPerSecond
		}
		next = next.Add(time.Duration(float64(time.Second) / perSecond))
		machines := f.listed()
		m := machines[(n+i)%len(machines)]
		if m.out.Load() {
			continue
		}
		client := clients[m]
		if client == nil {
			client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
			clients[m] = client
		}
		id := fmt.Sprintf("t%02d-%05d", i, n)
		url := fmt.Sprintf("http://%s/%s/%d", m.entry(), services[n%len(services)], n)
		group.Go(func() { f.post(client, url, id, tenantKey(i)) })
	}
}

// post sends one request on a kept connection.
func (f *fleet) post(client *http.Client, url, id, key string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		return
	}
	r.Host = apiHost
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "2000")
	r.Header.Set("Authorization", "Token "+key)
	f.mu.Lock()
	f.sentAt[id] = time.Now()
	f.mu.Unlock()
	f.record.add("sent id=%s %s", id, url)
	response, err := client.Do(r)
	if err != nil {
		f.record.add("answered id=%s status=0 err=%v", id, err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	f.record.add("answered id=%s status=%d", id, response.StatusCode)
}

// scaleIn takes one backend of each service away, together with its machine.
func (f *fleet) scaleIn(services []string) {
	var group sync.WaitGroup
	for s := range services {
		group.Go(func() { f.machines[3*s].takeAway() })
		time.Sleep(300 * time.Millisecond)
	}
	group.Wait()
}

// takeAway drains the backend, ends it and stops the node beside it.
func (m *machine) takeAway() {
	m.backend.drain()
	m.fleet.record.add("draining backend=%s machine=%s", m.backend.id, m.name)
	time.Sleep(drainBound + 300*time.Millisecond)
	m.gone.Store(true)
	m.backend.unlist()
	_ = m.backend.server.Close()
	m.fleet.record.add("backend gone, SIGTERM backend=%s machine=%s", m.backend.id, m.name)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
	}
}

// listed returns the machines whose clients send requests.
func (f *fleet) listed() []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var machines []*machine
	for _, m := range f.machines {
		if m.added.Load() && !m.gone.Load() {
			machines = append(machines, m)
		}
	}
	return machines
}

// quotaExcess returns the number of tenants of which more requests were sent and run in some window than their quota allows, and
// the most of one tenant.
func (f *fleet) quotaExcess() (broken, worst int, worstTenant string) {
	type request struct{ sent, run time.Time }
	requests := map[string][]request{}
	for _, m := range f.machines {
		for _, n := range m.backend.allRuns() {
			requests[n.tenant] = append(requests[n.tenant], request{f.sentAt[n.id], n.start})
		}
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	for tenant, all := range requests {
		sort.Slice(all, func(a, b int) bool { return all[a].sent.Before(all[b].sent) })
		most, at := 0, time.Time{}
		for i, first := range all {
			count := 0
			for _, other := range all[i:] {
				if other.run.Sub(first.sent) < quotaWindow {
					count++
				}
			}
			if count > most {
				most, at = count, first.sent
			}
		}
		f.record.add("tenant %s runs=%d most_in_window=%d from=%s", tenant, len(all), most, f.record.at(at))
		if float64(most) > allowed {
			broken++
		}
		if most > worst {
			worst, worstTenant = most, tenant
		}
	}
	return broken, worst, worstTenant
}
