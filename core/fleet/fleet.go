package fleet

import (
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/preset"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/service"
	"coltsfootusher.example/core/vm"
)

// Error is the class of errors about snapshots.
var Error = errs.Class("fleet")

// SectionName is the name of a published section.
type SectionName string

// The published sections.
const (
	Presets  SectionName = "presets"
	Accounts SectionName = "accounts"
	Routes   SectionName = "routes"
	Services SectionName = "services"
	VMs      SectionName = "vms"
)

// SectionNames lists all published sections.
func SectionNames() []SectionName {
	return []SectionName{Presets, Accounts, Routes, Services, VMs}
}

// Snapshot is an immutable set of decoded sections with the indexes that request handling needs.
type Snapshot struct {
	// Versions holds the published versions of the sections; a section that was never read has no entry.
	Versions map[SectionName]int64

	Presets  preset.Section
	Accounts account.Section
	Routes   route.Section
	Services service.Section
	VMs      vm.Section

	accountsByHash map[string]*account.Account
	accountsByID   map[string]*account.Account
	vmsByName      map[string]*vm.VM
	vmsByService   map[string][]vm.VM
	vmsByDomain    map[string][]vm.VM
	servicesByName map[string]*service.Service
	routes         routeIndex
}

// WithSection returns a copy of the snapshot in which one section has the given version and value. On error, the snapshot is
// unchanged and the error says what is wrong with the value.
func (s *Snapshot) WithSection(name SectionName, version int64, value json.RawMessage) (*Snapshot, error) {
	next := *s
	var err error
	switch name {
	case Presets:
		next.Presets, err = preset.Decode(value)
	case Accounts:
		next.Accounts, err = account.Decode(value)
	case Routes:
		next.Routes, err = route.Decode(value)
	case Services:
		next.Services, err = service.Decode(value)
	case VMs:
		next.VMs, err = vm.Decode(value)
	default:
		err = Error.New("unknown section %q", name)
	}
	if err != nil {
		return nil, err
	}
	next.Versions = make(map[SectionName]int64, len(s.Versions)+1)
	for n, v := range s.Versions {
		next.Versions[n] = v
	}
	next.Versions[name] = version
	next.buildIndexes()
	return &next, nil
}

// NewSnapshot returns a snapshot of sections that were published in another format and have been validated already.
func NewSnapshot(
	version int64, routes []route.Route, accounts []account.Account, services []service.Service, vms []vm.VM,
) *Snapshot {
	s := &Snapshot{Versions: map[SectionName]int64{Routes: version, Accounts: version, Services: version}}
	s.Routes.Routes = routes
	s.Accounts.Accounts = accounts
	s.Services.Services = services
	s.VMs.VMs = vms
	s.buildIndexes()
	return s
}

// WithVMs returns a copy of the snapshot with another list of VMs. The copy shares all other indexes.
func (s *Snapshot) WithVMs(vms []vm.VM) *Snapshot {
	next := *s
	next.VMs.VMs = vms
	next.buildVMIndexes()
	return &next
}

func (s *Snapshot) buildIndexes() {
	s.accountsByHash = make(map[string]*account.Account)
	s.accountsByID = make(map[string]*account.Account, len(s.Accounts.Accounts))
	for i := range s.Accounts.Accounts {
		a := &s.Accounts.Accounts[i]
		s.accountsByID[a.ID] = a
		for _, hash := range a.KeyHashes {
			s.accountsByHash[hash] = a
		}
	}
	s.buildVMIndexes()
	s.servicesByName = make(map[string]*service.Service, len(s.Services.Services))
	for i := range s.Services.Services {
		s.servicesByName[s.Services.Services[i].Name] = &s.Services.Services[i]
	}
	s.routes = newRouteIndex(s.Routes.Routes)
}

func (s *Snapshot) buildVMIndexes() {
	s.vmsByName = make(map[string]*vm.VM, len(s.VMs.VMs))
	s.vmsByService = make(map[string][]vm.VM)
	s.vmsByDomain = make(map[string][]vm.VM)
	for i := range s.VMs.VMs {
		v := &s.VMs.VMs[i]
		s.vmsByName[v.Name] = v
		s.vmsByService[v.Service] = append(s.vmsByService[v.Service], *v)
		s.vmsByDomain[v.FailureDomain] = append(s.vmsByDomain[v.FailureDomain], *v)
	}
}

// Complete reports whether every section has been read.
func (s *Snapshot) Complete() bool {
	return len(s.Versions) == len(SectionNames())
}

// AccountByKey returns the client account that owns the API key.
func (s *Snapshot) AccountByKey(key string) (account.Account, bool) {
	var hash [account.KeyHashBytes]byte
	a, ok := s.accountsByHash[string(account.AppendKeyHash(hash[:0], key))]
	if !ok {
		return account.Account{}, false
	}
	return *a, true
}

// Account returns the client account with the given id.
func (s *Snapshot) Account(id string) (account.Account, bool) {
	a, ok := s.accountsByID[id]
	if !ok {
		return account.Account{}, false
	}
	return *a, true
}

// Route returns the route with the longest prefix that matches the path. A path with ".." segments matches none.
func (s *Snapshot) Route(path string) (route.Route, bool) {
	if strings.Contains(path, "/../") || strings.HasSuffix(path, "/..") {
		return route.Route{}, false
	}
	return s.routes.find(path, func(*route.Route) bool { return true })
}

// RouteForHost returns the route with the longest prefix that matches the path, among the routes of the host or any host.
func (s *Snapshot) RouteForHost(host, path string) (route.Route, bool) {
	return s.routes.find(path, func(r *route.Route) bool { return r.Host == "" || r.Host == host })
}

// VM returns the VM with the given name.
func (s *Snapshot) VM(name string) (vm.VM, bool) {
	v, ok := s.vmsByName[name]
	if !ok {
		return vm.VM{}, false
	}
	return *v, true
}

// VMsOfService returns the VMs whose targets run the service. Callers must not modify the slice.
func (s *Snapshot) VMsOfService(name string) []vm.VM {
	return s.vmsByService[name]
}

// VMsOfDomain returns the VMs of the failure domain. Callers must not modify the slice.
func (s *Snapshot) VMsOfDomain(domain string) []vm.VM {
	return s.vmsByDomain[domain]
}

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (service.Service, bool) {
	svc, ok := s.servicesByName[name]
	if !ok {
		return service.Service{}, false
	}
	return *svc, true
}
