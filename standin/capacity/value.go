package capacity

import (
	"encoding/json"
	"fmt"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/preset"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/service"
	"coltsfootusher.example/core/vm"
)

// The size to design for, from section 2 of docs/design.md.
const (
	domainCount  = 11
	serviceCount = 160
	targetCount  = 2500
)

func domainName(i int) string { return fmt.Sprintf("d%d", i%domainCount) }

func serviceName(i int) string { return fmt.Sprintf("service-%d", i%serviceCount) }

// accountsValue returns a section with one key for each account; the key of the last one depends on generation.
func accountsValue(count, generation int) json.RawMessage {
	section := account.Section{Accounts: make([]account.Account, count)}
	for i := range section.Accounts {
		key := fmt.Sprintf("key-%d", i)
		if i == count-1 {
			key = fmt.Sprintf("key-%d-%d", i, generation)
		}
		section.Accounts[i] = account.Account{
			ID: fmt.Sprintf("account-%d", i), KeyHashes: []string{account.HashKey(key)}, RatePerSecond: 48, Burst: 48, Weight: 1,
		}
	}
	return encode(section)
}

// vmsValue returns a section in which the last VM is replaced with each generation.
func vmsValue(count, generation int) json.RawMessage {
	return encode(vmsSection(count, generation))
}

func vmsSection(count, generation int) vm.Section {
	section := vm.Section{VMs: make([]vm.VM, count)}
	for i := range section.VMs {
		name := fmt.Sprintf("vm-%d", i)
		if i == count-1 {
			name = fmt.Sprintf("vm-%d-%d", i, generation)
		}
		// Neighbours in the list lie in different domains and run different services.
		section.VMs[i] = vm.VM{
			Name: name, FailureDomain: domainName(i), Service: serviceName(i / domainCount),
			PeerAddress: fmt.Sprintf("10.%d.%d.%d:7000", i%domainCount, i/200, 1+i%200), State: vm.Live,
		}
	}
	return section
}

func servicesValue() json.RawMessage {
	section := service.Section{SeatsPerDomain: 8}
	for i := range domainCount {
		section.FailureDomains = append(section.FailureDomains, domainName(i))
	}
	for i := range serviceCount {
		section.Services = append(section.Services, service.Service{
			Name: serviceName(i), SlotsPerTarget: 100, ConnectionsPerTarget: 800, ColdStartMs: 2000,
		})
	}
	return encode(section)
}

func routesValue() json.RawMessage {
	var section route.Section
	for i := range serviceCount {
		section.Routes = append(section.Routes, route.Route{
			Prefix: "/" + serviceName(i), Service: serviceName(i), Class: route.Lookup,
		})
	}
	return encode(section)
}

func presetsValue() json.RawMessage {
	return encode(preset.Section{Active: "ordinary", Presets: map[string]preset.Preset{"ordinary": {
		RetryAllowance: 2, RetryBudgetPercent: 10, QueueLimit: 60, QueueTimeoutMs: 300, DefaultDeadlineMs: 3000,
		LookupsAdmitted: true, Policy: preset.On,
	}}})
}

// snapshotOf returns complete sections with the given numbers of accounts and VMs.
func snapshotOf(accounts, vms int) (*fleet.Snapshot, error) {
	s := &fleet.Snapshot{}
	values := map[fleet.SectionName]json.RawMessage{
		fleet.Presets: presetsValue(), fleet.Accounts: accountsValue(accounts, 0), fleet.Routes: routesValue(),
		fleet.Services: servicesValue(), fleet.VMs: vmsValue(vms, 0),
	}
	for _, name := range fleet.SectionNames() {
		next, err := s.WithSection(name, 1, values[name])
		if err != nil {
			return nil, err
		}
		s = next
	}
	return s, nil
}

func encode(section any) json.RawMessage {
	data, err := json.Marshal(section)
	if err != nil {
		panic(err) // The sections hold only strings and numbers.
	}
	return data
}
