package launch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	randv2 "math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/standin/fleetfile"
	"coltsfootusher.example/standin/journal"
	"coltsfootusher.example/standin/link"
	"coltsfootusher.example/standin/platform"
	"coltsfootusher.example/standin/server"
)

// network is the first half of the fleet's IP addresses. It differs between launching processes, because two fleets with
// the same addresses take each other's free ports before their nodes listen.
var network = fmt.Sprintf("127.%d", firstNetwork+os.Getpid()%networks)

const (
	firstNetwork = 16
	networks     = 200
)

// Error is the class of errors of the launcher.
var Error = errs.Class("launch")

// PlatformDomain is the name under which the platform stands in the network.
const PlatformDomain = "platform"

const (
	secretFile   = "fleet-secret"
	stopTimeout  = 40 * time.Second
	parallelism  = 16
	coltsfootd   = "coltsfootd"
	standin      = "standin"
	seedOfTarget = 1000
)

// Options say what to start.
type Options struct {
	// Bin is the directory with the programs.
	Bin string
	// Profile is the directory with the fleet file and the published values.
	Profile string
	// Work is the directory for settings, logs and journals.
	Work string
	// Seed makes the targets' service times repeatable.
	Seed uint64
	// LateMs is the delay of requests marked "late".
	LateMs int64
	// NodeSettings are added to each node's settings file.
	NodeSettings map[string]any
	// Values replace published values of the profile.
	Values map[fleet.SectionName]json.RawMessage
}

// VM is one machine of the launched fleet.
type VM struct {
	fleetfile.VM
	Entry    string
	Peer     string
	Egress   string
	Operator string
	Target   string
	Admin    string
	// Published is the address of the link in front of the peer address.
	Published string

	Node          *Process
	TargetProcess *Process
}

// Fleet is a running fleet.
type Fleet struct {
	Options  Options
	File     fleetfile.Fleet
	Keys     fleetfile.Keys
	Platform *platform.Platform
	Network  *link.Network
	VMs      []*VM

	platformServer *server.Server
	platformLink   *link.Link
	links          []*link.Link
	stopped        sync.Once
}

// Start launches the fleet; on error everything that was started is stopped.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	file, keys, err := fleetfile.Read(o.Profile)
	if err != nil {
		return nil, err
	}
	// A relative path in a settings file would start at the directory of that file.
	if o.Work, err = filepath.Abs(o.Work); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := os.MkdirAll(o.Work, 0o750); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := writeSecret(filepath.Join(o.Work, secretFile)); err != nil {
		return nil, err
	}
	f := &Fleet{Options: o, File: file, Keys: keys, Platform: platform.New(), Network: link.NewNetwork()}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func platformIP() string { return network + ".0.1" }

func writeSecret(path string) error {
	const secretBytes = 32
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, []byte(hex.EncodeToString(secret)), 0o600))
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.addVMs(); err != nil {
		return err
	}
	if err := f.publishAll(); err != nil {
		return err
	}
	return f.each(func(v *VM) error {
		if err := f.StartTarget(ctx, v); err != nil {
			return err
		}
		return f.StartNode(ctx, v)
	})
}

// each runs the function for all VMs, some at a time, and joins the errors.
func (f *Fleet) each(do func(v *VM) error) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var failures errs.Group
	slots := make(chan struct{}, parallelism)
	for _, v := range f.VMs {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			err := do(v)
			mu.Lock()
			defer mu.Unlock()
			failures.Add(err)
		})
	}
	group.Wait()
	return failures.Err()
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	srv, err := f.Platform.Start(ctx, platformIP()+":0")
	if err != nil {
		return err
	}
	f.platformServer = srv
	f.Network.Place(netip.MustParseAddr(platformIP()), PlatformDomain)
	f.platformLink, err = link.New(f.Network, platformIP()+":0", srv.Address(), PlatformDomain)
	if err != nil {
		return Error.Wrap(err)
	}
	for i, a := range f.File.FailureDomains {
		for _, b := range f.File.FailureDomains[i+1:] {
			f.Network.SetDelay(a, b, time.Duration(f.File.DomainDelayMs*float64(time.Millisecond)))
		}
	}
	return nil
}

func (f *Fleet) addVMs() error {
	domains := make(map[string]int, len(f.File.FailureDomains))
	for i, d := range f.File.FailureDomains {
		domains[d] = i + 1
	}
	for i, described := range f.File.VMs {
		ip := fmt.Sprintf("%s.%d.%d", network, domains[described.FailureDomain], i+1)
		v := &VM{VM: described}
		addresses := []*string{&v.Entry, &v.Peer, &v.Egress, &v.Operator, &v.Target, &v.Admin}
		if err := freeAddresses(ip, addresses); err != nil {
			return err
		}
		f.Network.Place(netip.MustParseAddr(ip), described.FailureDomain)
		l, err := link.New(f.Network, ip+":0", v.Peer, described.FailureDomain)
		if err != nil {
			return Error.Wrap(err)
		}
		f.links = append(f.links, l)
		v.Published = l.Address()
		f.VMs = append(f.VMs, v)
	}
	return nil
}

// LinkTo adds a link in front of an address of the VM and returns the link's address.
func (f *Fleet) LinkTo(v *VM, address string) (string, error) {
	host, _, err := net.SplitHostPort(v.Peer)
	if err != nil {
		return "", Error.Wrap(err)
	}
	l, err := link.New(f.Network, net.JoinHostPort(host, "0"), address, v.FailureDomain)
	if err != nil {
		return "", Error.Wrap(err)
	}
	f.links = append(f.links, l)
	return l.Address(), nil
}

// The ports of processes lie below the range from which Linux chooses the ports of outgoing connections (32768 and
// up). Nodes dial from their own IP addresses, and such a connection, also one of another fleet, would keep a process
// from listening on its port after a restart.
const (
	firstPort    = 10_000
	lastPort     = 32_000
	portAttempts = 100
)

// freeAddresses fills in addresses with free ports; all are held open until each has one, so that they differ.
func freeAddresses(ip string, addresses []*string) error {
	for _, address := range addresses {
		listener, err := listenOnFreePort(ip)
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*address = listener.Addr().String()
	}
	return nil
}

// chosen holds the addresses that fleets of this process have taken, because an address is free for a moment between
// its choice and the start of the process that listens there, and another fleet must not take it then.
var chosen sync.Map

func listenOnFreePort(ip string) (net.Listener, error) {
	var err error
	for range portAttempts {
		var listener net.Listener
		port := firstPort + randv2.IntN(lastPort-firstPort)
		if _, taken := chosen.LoadOrStore(fmt.Sprintf("%s:%d", ip, port), true); taken {
			continue
		}
		if listener, err = server.Listen(context.Background(), fmt.Sprintf("%s:%d", ip, port)); err == nil {
			return listener, nil
		}
	}
	return nil, Error.New("no free port at %s: %v", ip, err)
}

func (f *Fleet) publishAll() error {
	for _, name := range fleet.SectionNames() {
		value, ok := f.Options.Values[name]
		if !ok && name == fleet.VMs {
			value = f.VMList(nil)
			ok = true
		}
		if !ok {
			data, err := os.ReadFile(filepath.Join(f.Options.Profile, string(name)+".json"))
			if err != nil {
				return Error.Wrap(err)
			}
			value = data
		}
		if _, err := f.Platform.Publish(string(name), value, platform.AnyVersion); err != nil {
			return err
		}
	}
	return nil
}

// VMList returns the value of the section "vms"; VMs without an entry in states are live, and those with an empty
// state are left out.
func (f *Fleet) VMList(states map[string]vm.State) json.RawMessage {
	var section vm.Section
	for _, v := range f.VMs {
		state, ok := states[v.Name]
		if !ok {
			state = vm.Live
		}
		if state == "" {
			continue
		}
		section.VMs = append(section.VMs, vm.VM{
			Name: v.Name, FailureDomain: v.FailureDomain, Service: v.Service, PeerAddress: v.Published, State: state,
		})
	}
	value, err := json.Marshal(section)
	if err != nil {
		panic(err) // The section holds only strings.
	}
	return value
}

// VM returns the VM with the name.
func (f *Fleet) VM(name string) *VM {
	for _, v := range f.VMs {
		if v.Name == name {
			return v
		}
	}
	return nil
}

// Entries returns the entry addresses of all VMs.
func (f *Fleet) Entries() []string {
	entries := make([]string, 0, len(f.VMs))
	for _, v := range f.VMs {
		entries = append(entries, v.Entry)
	}
	return entries
}

// StartTarget starts the target process of the VM.
func (f *Fleet) StartTarget(ctx context.Context, v *VM) error {
	svc, ok := f.File.Service(v.Service)
	if !ok {
		return Error.New("VM %q: unknown service %q", v.Name, v.Service)
	}
	settings := f.File.TargetSettings(svc, v.VM)
	settings.ListenAddress, settings.AdminAddress, settings.EgressAddress = v.Target, v.Admin, v.Egress
	settings.LateMs = f.Options.LateMs
	settings.JournalFile = f.journalFile(v)
	settings.Seed = f.Options.Seed*seedOfTarget + uint64(len(v.Name))
	config, err := f.writeYAML(v.Name+"-target.yaml", settings)
	if err != nil {
		return err
	}
	v.TargetProcess, err = StartProcess(ctx, f.path(v.Name+"-target.log"), f.program(standin), "target", "--config", config)
	return err
}

// StartNode starts the node process of the VM.
func (f *Fleet) StartNode(ctx context.Context, v *VM) error {
	settings := map[string]any{
		"nodeName": v.Name, "failureDomain": v.FailureDomain, "service": v.Service,
		"entryAddress": v.Entry, "peerAddress": v.Peer, "egressAddress": v.Egress, "operatorAddress": v.Operator,
		"targetAddress": v.Target, "platformAddress": f.platformLink.Address(),
		"fleetSecretFile": f.path(secretFile), "bootstrapPeers": f.bootstrapPeers(v),
	}
	for key, value := range f.Options.NodeSettings {
		settings[key] = value
	}
	config, err := f.writeYAML(v.Name+"-node.yaml", settings)
	if err != nil {
		return err
	}
	v.Node, err = StartProcess(ctx, f.path(v.Name+"-node.log"), f.program(coltsfootd), "run", "--config", config)
	return err
}

// bootstrapPeers are the next VMs in the list, which lie in different failure domains.
func (f *Fleet) bootstrapPeers(v *VM) []string {
	const count = 3
	var peers []string
	for i, other := range f.VMs {
		if other != v {
			continue
		}
		for j := 1; j <= count && j < len(f.VMs); j++ {
			next := f.VMs[(i+j)%len(f.VMs)]
			peers = append(peers, next.Name+"="+next.Published)
		}
	}
	return peers
}

// Journals returns what all targets executed, from their journal files.
func (f *Fleet) Journals() ([]journal.Entry, error) {
	var all []journal.Entry
	for _, v := range f.VMs {
		entries, err := journal.ReadFile(f.journalFile(v))
		if err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}

// Stop ends all processes and links; further calls do nothing.
func (f *Fleet) Stop() {
	f.stopped.Do(f.stop)
}

func (f *Fleet) stop() {
	_ = f.each(func(v *VM) error {
		if v.Node != nil {
			v.Node.Kill()
		}
		if v.TargetProcess != nil {
			v.TargetProcess.Kill()
		}
		return nil
	})
	for _, l := range f.links {
		_ = l.Close()
	}
	if f.platformLink != nil {
		_ = f.platformLink.Close()
	}
	if f.platformServer != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = f.platformServer.Stop(ctx)
	}
}

// Shutdown stops the node gracefully, as an operator would, and returns an error if it cut requests.
func (v *VM) Shutdown() error {
	return v.Node.Stop(stopTimeout)
}

func (f *Fleet) journalFile(v *VM) string { return f.path(v.Name + "-journal.jsonl") }

func (f *Fleet) path(name string) string { return filepath.Join(f.Options.Work, name) }

func (f *Fleet) program(name string) string { return filepath.Join(f.Options.Bin, name) }

func (f *Fleet) writeYAML(name string, value any) (string, error) {
	data, err := yaml.Marshal(value)
	if err != nil {
		return "", Error.Wrap(err)
	}
	path := f.path(name)
	return path, Error.Wrap(os.WriteFile(path, data, 0o600))
}
