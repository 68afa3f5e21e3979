package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	apiHost = "voids.example"
	apiKey  = "k3yofthetenantplain0"
)

// load sends requests at a steady rate from the machines in turn.
type load struct {
	fleet    *fleet
	rate     atomic.Int64 // requests per second, all machines together
	stopped  chan struct{}
	group    sync.WaitGroup
	mu       sync.Mutex
	requests []*sent
	method   string
	path     string
	key      string
	deadline time.Duration
	prefix   string
}

func (f *fleet) startLoad(perSecond int64, method, path, key string, deadline time.Duration, prefix string) *load {
	l := &load{fleet: f, stopped: make(chan struct{}), method: method, path: path, key: key, deadline: deadline, prefix: prefix}
	l.rate.Store(perSecond)
	go l.run()
	return l
}

func (l *load) run() {
	next := time.Now()
	for n := 0; ; n++ {
		select {
		case <-l.stopped:
			return
		case <-time.After(time.Until(next)):
		}
		next = next.Add(time.Second / time.Duration(l.rate.Load()))
		m := l.fleet.machines[n%len(l.fleet.machines)]
		if m.out.Load() {
			continue
		}
		id := fmt.Sprintf("%s%05d", l.prefix, n)
		l.group.Go(func() {
			s := l.fleet.send(m, id, l.method, apiHost, l.path, l.key, 400, l.deadline)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.requests = append(l.requests, s)
		})
	}
}

// stop stops sending, waits for all answers, and returns the requests.
func (l *load) stop() []*sent {
	close(l.stopped)
	l.group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests
}
