package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"coltsfootusher.example/platform/platformtest"
	"coltsfootusher.example/standin/link"
)

const (
	firstHost    = 10
	domainCount  = 3
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// fleet is a number of VMs with the store and the links between them.
type fleet struct {
	Options
	history history
	store   *platformtest.Store
	network *link.Network
	vms     []*vm
	links   []*link.Link
	server  *http.Server

	policyMu sync.Mutex
	policy   policy
	// evacuated is the domain that the operator has evacuated, lastEvacuated the one before; "" for none.
	evacuated, lastEvacuated string

	reportMu sync.Mutex
	reported []violation
}

// startFleet starts everything and waits until all nodes are ready.
func startFleet(ctx context.Context, o Options) (*fleet, error) {
	f := &fleet{Options: o, store: platformtest.NewStore(), network: link.NewNetwork(), policy: policy{version: firstVersion}}
	f.history.domainOf = f.domainOf
	// Runs at the same time must not share addresses, so the block is not drawn from the seed.
	block := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
	if err := f.startStore(block + ".1:" + fmt.Sprint(storePort)); err != nil {
		return f, err
	}
	domains := make([]string, 0, domainCount)
	for i := range domainCount {
		domains = append(domains, fmt.Sprintf("domain-%d", i))
	}
	for i := range o.Nodes {
		if err := f.addVM(i, fmt.Sprintf("%s.%d", block, firstHost+i), domains, block); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady(ctx)
}

func (f *fleet) startStore(address string) error {
	if err := f.store.PublishPolicy(f.policy.published()); err != nil {
		return Error.Wrap(err)
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(listener) }() // It ends with stop.
	return nil
}

func (f *fleet) addVM(i int, ip string, domains []string, block string) error {
	v := &vm{fleet: f, number: i, name: fmt.Sprintf("n%d", i), ip: ip, domain: domains[i%len(domains)], service: deepService}
	if i%2 == 1 {
		v.service = frontService
	}
	v.settingsFile, v.log = filepath.Join(f.Work, v.name+".yaml"), filepath.Join(f.Work, v.name+".log")
	f.vms = append(f.vms, v)
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return Error.Wrap(err)
	}
	f.network.Place(address, v.name)
	for _, l := range []struct{ listen, server, end string }{
		{v.address(peerPort), v.address(peerListenPort), v.name},
		{v.address(targetPort), v.address(targetListenPort), v.targetEnd()},
		{v.address(storePort), fmt.Sprintf("%s.1:%d", block, storePort), v.storeEnd()},
	} {
		added, err := link.New(f.network, l.listen, l.server, l.end)
		if err != nil {
			return Error.Wrap(err)
		}
		f.links = append(f.links, added)
	}
	if err := v.writeSettings(); err != nil {
		return err
	}
	if err := v.startTarget(false); err != nil {
		return err
	}
	return v.startNode()
}

// targetEnd and storeEnd name the far ends of a VM's links to its target and to the store.
func (v *vm) targetEnd() string { return "target-of-" + v.name }
func (v *vm) storeEnd() string  { return "store-of-" + v.name }

func (f *fleet) awaitReady(ctx context.Context) error {
	return f.await(ctx, readyTimeout, "all nodes are ready", func() bool {
		return !slices.ContainsFunc(f.vms, func(v *vm) bool { return !v.ready(ctx) })
	})
}

// await polls until the condition holds.
func (f *fleet) await(ctx context.Context, limit time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(limit); !condition(); time.Sleep(pollInterval) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(end) {
			return Error.New("not within %s: %s", limit, what)
		}
	}
	return nil
}

// publishNext publishes the next policy.
func (f *fleet) publishNext() error {
	f.policyMu.Lock()
	defer f.policyMu.Unlock()
	old := f.policy
	f.policy = old.next()
	if err := f.store.PublishPolicy(f.policy.published()); err != nil {
		return Error.Wrap(err)
	}
	f.history.withdrawn(old.revocable)
	return nil
}

// publishAgain publishes the current policy again.
func (f *fleet) publishAgain() error {
	f.policyMu.Lock()
	defer f.policyMu.Unlock()
	if err := f.store.PublishPolicy(f.policy.published()); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(f.writeEvacuationAgain())
}

// removeDeadEntries removes the entries of targets that have been replaced, which a restored store lists again.
func (f *fleet) removeDeadEntries() {
	current := make(map[string]bool, len(f.vms))
	for _, v := range f.vms {
		current[v.targetID()] = true
	}
	for _, id := range f.store.TargetIDs() {
		if !current[id] {
			f.store.RemoveTarget(id)
		}
	}
}

// revocable returns the number of the key that can be withdrawn next.
func (f *fleet) revocable() int {
	f.policyMu.Lock()
	defer f.policyMu.Unlock()
	return f.policy.revocable
}

func (f *fleet) report(v violation) {
	f.reportMu.Lock()
	defer f.reportMu.Unlock()
	f.reported = append(f.reported, v)
}

func (f *fleet) violations() []violation {
	f.reportMu.Lock()
	defer f.reportMu.Unlock()
	return append(slices.Clone(f.reported), f.history.check()...)
}

// stop ends all processes of the fleet.
func (f *fleet) stop() {
	var group sync.WaitGroup
	for _, v := range f.vms {
		group.Go(func() {
			v.signalNode(syscall.SIGCONT)
			v.stopNode(syscall.SIGKILL)
			v.stopTarget()
		})
	}
	group.Wait()
	for _, l := range f.links {
		_ = l.Close() // Its listener is closed even if this reports an error.
	}
	if f.server != nil {
		_ = f.server.Close()
	}
}
