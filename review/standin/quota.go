package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

const (
	quotaRate    = 20
	quotaBurst   = 100
	quotaWindow  = 5 * time.Second
	quotaOver    = 0.25
	quotaSlack   = 20
	quotaTenants = 40
	// hotFactor is how many times its rate each tenant sends: 7.5 times its usual, of which its rate is 1.6 times.
	hotFactor = 4
)

// playQuota plays a release: of each service two of three backends are replaced, one after the other, together with their machines.
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
		routes = append(routes, row{"r-" + service, apiHost, "/" + service + "/", "safe", 2, 0.5, 1, nil, 1, false, service})
	}
	f.publish(1, routes, tenants)
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range quotaTenants {
		group.Go(func() { f.loadTenant(i, services, stop) })
	}
	time.Sleep(8 * time.Second)
	if trouble {
		group.Go(func() { f.releaseAll(services) })
	}
	time.Sleep(16 * time.Second)
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
func (f *fleet) loadTenant(i int, services []string, stop chan struct{}) {
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
		next = next.Add(time.Second / (quotaRate * hotFactor))
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
		group.Go(func() { get(client, url, id, tenantKey(i)) })
	}
}

func get(client *http.Client, url, id, key string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return
	}
	r.Host = apiHost
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "2000")
	r.Header.Set("Authorization", "Token "+key)
	response, err := client.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// releaseAll replaces two of the three backends of each service at once, one after the other.
func (f *fleet) releaseAll(services []string) {
	var group sync.WaitGroup
	for s := range services {
		group.Go(func() {
			var inner sync.WaitGroup
			for k := range 2 {
				old := f.machines[3*s+k]
				inner.Go(func() { f.replace(old) })
				time.Sleep(740 * time.Millisecond)
			}
			inner.Wait()
		})
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
}

// replace starts a new machine, then drains the old backend, ends it and stops the node beside it.
func (f *fleet) replace(old *machine) {
	f.mu.Lock()
	m := f.add(old.backend.service, old.zone, old.backend.capacity, old.backend.work)
	f.mu.Unlock()
	if err := m.startNode(); err != nil {
		f.record.add("start failed machine=%s err=%v", m.name, err)
		return
	}
	time.Sleep(time.Second)
	if err := m.backend.start(); err != nil {
		f.record.add("start failed backend=%s err=%v", m.backend.id, err)
		return
	}
	f.record.add("added machine=%s backend=%s service=%s", m.name, m.backend.id, m.backend.service)
	m.added.Store(true)
	go m.poll()
	old.backend.drain()
	f.record.add("draining backend=%s", old.backend.id)
	time.Sleep(drainBound + 300*time.Millisecond)
	old.gone.Store(true)
	old.backend.unlist()
	_ = old.backend.server.Close()
	f.record.add("backend gone, SIGTERM machine=%s backend=%s", old.name, old.backend.id)
	old.signal(syscall.SIGTERM)
	select {
	case <-old.exited:
	case <-time.After(grace):
		old.signal(syscall.SIGKILL)
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

// quotaExcess returns the number of tenants of which more requests ran in some window than their quota allows, and the most that
// ran in one.
func (f *fleet) quotaExcess() (broken, worst int, worstTenant string) {
	starts := map[string][]time.Time{}
	for _, m := range f.machines {
		for _, n := range m.backend.allRuns() {
			starts[n.tenant] = append(starts[n.tenant], n.start)
		}
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	for tenant, times := range starts {
		sort.Slice(times, func(a, b int) bool { return times[a].Before(times[b]) })
		most, first, at := 0, 0, time.Time{}
		for i, t := range times {
			for t.Sub(times[first]) >= quotaWindow {
				first++
			}
			if i-first+1 > most {
				most, at = i-first+1, times[first]
			}
		}
		f.record.add("tenant %s runs=%d most_in_window=%d from=%s", tenant, len(times), most, f.record.at(at))
		if float64(most) > allowed {
			broken++
		}
		if most > worst {
			worst, worstTenant = most, tenant
		}
	}
	return broken, worst, worstTenant
}
