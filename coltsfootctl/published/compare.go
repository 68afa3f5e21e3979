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

// compare reports names in one file that another file does not define.
func (s *set) compare() {
	if s.both(fleet.Routes, fleet.Services) {
		s.compareRouteServices()
	}
	if s.both(fleet.Routes, fleet.Accounts) {
		s.compareRouteAccounts()
	}
	if s.both(fleet.Presets, fleet.Routes) {
		s.compareClosedRoutes()
	}
	if s.both(fleet.VMs, fleet.Services) {
		s.compareVMs()
		s.compareTargets()
	}
}

// both reports whether the two files were given and read without a problem that leaves their content unknown.
func (s *set) both(a, b fleet.SectionName) bool {
	for _, name := range []fleet.SectionName{a, b} {
		if d, ok := s.documents[name]; !ok || len(d.lines) == 0 {
			return false
		}
	}
	return true
}

func (s *set) compareRouteServices() {
	for i, r := range s.routes.Routes {
		if _, ok := s.service(r.Service); !ok && r.Service != "" {
			s.documents[fleet.Routes].report(item("routes", i)+".service",
				"prefix %q: service %q is not defined in %s", r.Prefix, r.Service, s.path(fleet.Services))
		}
	}
}

func (s *set) compareRouteAccounts() {
	for i, r := range s.routes.Routes {
		for j, id := range r.Accounts {
			if !slices.ContainsFunc(s.accounts.Accounts, func(a account.Account) bool { return a.ID == id }) {
				s.documents[fleet.Routes].report(item(item("routes", i)+".accounts", j),
					"prefix %q: account %q is not defined in %s", r.Prefix, id, s.path(fleet.Accounts))
			}
		}
	}
}

func (s *set) compareClosedRoutes() {
	for name, p := range s.presets.Presets {
		for i, closed := range p.ClosedRoutes {
			closes := preset.Preset{ClosedRoutes: []string{closed}}
			if !slices.ContainsFunc(s.routes.Routes, func(r route.Route) bool { return closes.ClosesRoute(r.Prefix) }) {
				s.documents[fleet.Presets].report(item(fmt.Sprintf("presets.%s.closedRoutes", name), i),
					"preset %q: closedRoutes names %q, which is no prefix in %s", name, closed, s.path(fleet.Routes))
			}
		}
	}
}

func (s *set) compareVMs() {
	d := s.documents[fleet.VMs]
	for i, v := range s.vms.VMs {
		svc, ok := s.service(v.Service)
		switch {
		case v.Service == "" || v.FailureDomain == "":
		case !ok:
			d.report(item("vms", i)+".service",
				"VM %q: service %q is not defined in %s", v.Name, v.Service, s.path(fleet.Services))
		case !slices.Contains(s.services.FailureDomains, v.FailureDomain):
			d.report(item("vms", i)+".failureDomain",
				"VM %q: unknown failure domain %q, expected one of %q", v.Name, v.FailureDomain, s.services.FailureDomains)
		case len(svc.FailureDomains) > 0 && !slices.Contains(svc.FailureDomains, v.FailureDomain):
			d.report(item("vms", i)+".failureDomain",
				"VM %q: service %q is not in failure domain %q, expected one of %q", v.Name, svc.Name, v.FailureDomain, svc.FailureDomains)
		}
	}
}

func (s *set) compareTargets() {
	for i, svc := range s.services.Services {
		runs := func(v vm.VM) bool { return v.Service == svc.Name && v.State == vm.Live }
		if !slices.ContainsFunc(s.vms.VMs, runs) {
			s.documents[fleet.Services].report(item("services", i)+".name",
				"service %q has no target: no live VM of it is in %s", svc.Name, s.path(fleet.VMs))
		}
	}
}

func (s *set) service(name string) (service.Service, bool) {
	i := slices.IndexFunc(s.services.Services, func(svc service.Service) bool { return svc.Name == name })
	if i < 0 {
		return service.Service{}, false
	}
	return s.services.Services[i], true
}

func (s *set) path(name fleet.SectionName) string {
	return s.documents[name].path
}
