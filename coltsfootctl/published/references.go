package published

import (
	"fmt"
	"slices"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/preset"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/service"
	"coltsfootusher.example/core/vm"
)

// checkReferences reports names that one file uses and another file should define but does not, and services without a
// live VM.
func (s *fileSet) checkReferences() {
	if s.bothDecoded(fleet.Routes, fleet.Services) {
		s.checkRouteServices()
	}
	if s.bothDecoded(fleet.Routes, fleet.Accounts) {
		s.checkRouteAccounts()
	}
	if s.bothDecoded(fleet.Presets, fleet.Routes) {
		s.checkClosedRoutes()
	}
	if s.bothDecoded(fleet.VMs, fleet.Services) {
		s.checkVMServicesAndDomains()
		s.checkServicesHaveTargets()
	}
}

// bothDecoded reports whether the two files were given and could be decoded; they may still have other problems.
func (s *fileSet) bothDecoded(a, b fleet.SectionName) bool {
	for _, name := range []fleet.SectionName{a, b} {
		if d, ok := s.documents[name]; !ok || len(d.lines) == 0 {
			return false
		}
	}
	return true
}

func (s *fileSet) checkRouteServices() {
	for i, r := range s.routes.Routes {
		if _, ok := s.findService(r.Service); !ok && r.Service != "" {
			s.documents[fleet.Routes].report(itemPath("routes", i)+".service",
				"prefix %q: service %q is not defined in %s", r.Prefix, r.Service, s.filePath(fleet.Services))
		}
	}
}

func (s *fileSet) checkRouteAccounts() {
	for i, r := range s.routes.Routes {
		for j, id := range r.Accounts {
			if !slices.ContainsFunc(s.accounts.Accounts, func(a account.Account) bool { return a.ID == id }) {
				s.documents[fleet.Routes].report(itemPath(itemPath("routes", i)+".accounts", j),
					"prefix %q: account %q is not defined in %s", r.Prefix, id, s.filePath(fleet.Accounts))
			}
		}
	}
}

func (s *fileSet) checkClosedRoutes() {
	for name, p := range s.presets.Presets {
		for i, closed := range p.ClosedRoutes {
			closesOne := preset.Preset{ClosedRoutes: []string{closed}}
			if !slices.ContainsFunc(s.routes.Routes, func(r route.Route) bool { return closesOne.ClosesRoute(r.Prefix) }) {
				s.documents[fleet.Presets].report(itemPath(fmt.Sprintf("presets.%s.closedRoutes", name), i),
					"preset %q: closedRoutes names %q, which is no prefix in %s", name, closed, s.filePath(fleet.Routes))
			}
		}
	}
}

func (s *fileSet) checkVMServicesAndDomains() {
	d := s.documents[fleet.VMs]
	for i, v := range s.vms.VMs {
		svc, ok := s.findService(v.Service)
		switch {
		case v.Service == "" || v.FailureDomain == "":
		case !ok:
			d.report(itemPath("vms", i)+".service",
				"VM %q: service %q is not defined in %s", v.Name, v.Service, s.filePath(fleet.Services))
		case !slices.Contains(s.services.FailureDomains, v.FailureDomain):
			d.report(itemPath("vms", i)+".failureDomain",
				"VM %q: unknown failure domain %q, expected one of %q", v.Name, v.FailureDomain, s.services.FailureDomains)
		case len(svc.FailureDomains) > 0 && !slices.Contains(svc.FailureDomains, v.FailureDomain):
			d.report(itemPath("vms", i)+".failureDomain",
				"VM %q: service %q is not in failure domain %q, expected one of %q", v.Name, svc.Name, v.FailureDomain, svc.FailureDomains)
		}
	}
}

func (s *fileSet) checkServicesHaveTargets() {
	for i, svc := range s.services.Services {
		isTarget := func(v vm.VM) bool { return v.Service == svc.Name && v.State == vm.Live }
		if !slices.ContainsFunc(s.vms.VMs, isTarget) {
			s.documents[fleet.Services].report(itemPath("services", i)+".name",
				"service %q has no target: %s lists no live VM for it", svc.Name, s.filePath(fleet.VMs))
		}
	}
}

func (s *fileSet) findService(name string) (service.Service, bool) {
	i := slices.IndexFunc(s.services.Services, func(svc service.Service) bool { return svc.Name == name })
	if i < 0 {
		return service.Service{}, false
	}
	return s.services.Services[i], true
}

func (s *fileSet) filePath(name fleet.SectionName) string {
	return s.documents[name].path
}
