package published

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/preset"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/service"
	"coltsfootusher.example/core/vm"
)

// fileSet holds the decoded files; a section without a file has no document.
type fileSet struct {
	documents map[fleet.SectionName]*document

	presets  preset.Section
	accounts account.Section
	routes   route.Section
	services service.Section
	vms      vm.Section
}

// Check reads the files, at most one per section, and returns their problems sorted by file and line. References between
// two files are checked only if both are given and could be decoded.
func Check(paths map[fleet.SectionName]string) []Problem {
	s := &fileSet{documents: make(map[fleet.SectionName]*document, len(paths))}
	for name, path := range paths {
		s.documents[name] = readDocument(path, s.sectionPointer(name))
		if len(s.documents[name].problems) == 0 {
			s.validateSection(name)
		}
	}
	s.checkReferences()
	var problems []Problem
	for _, d := range s.documents {
		problems = append(problems, d.problems...)
	}
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return problems
}

func (s *fileSet) sectionPointer(name fleet.SectionName) any {
	return map[fleet.SectionName]any{
		fleet.Presets: &s.presets, fleet.Accounts: &s.accounts, fleet.Routes: &s.routes,
		fleet.Services: &s.services, fleet.VMs: &s.vms,
	}[name]
}

// validateSection validates each item by itself, so that a problem is reported at the line of its item, and then the whole
// section as a node does, so that nothing passes that a node would reject.
func (s *fileSet) validateSection(name fleet.SectionName) {
	d := s.documents[name]
	var sectionErr error
	switch name {
	case fleet.Presets:
		for key, p := range s.presets.Presets {
			d.reportInvalid("presets."+key, p.Validate())
		}
		sectionErr = s.presets.Validate()
	case fleet.Accounts:
		for i, a := range s.accounts.Accounts {
			limits := a
			limits.KeyHashes = nil
			d.reportInvalid(itemPath("accounts", i), limits.Validate())
		}
		s.checkKeyHashes()
		checkUnique(d, "accounts", "id", s.accounts.Accounts, func(a account.Account) string { return a.ID })
		sectionErr = s.accounts.Validate()
	case fleet.Routes:
		for i, r := range s.routes.Routes {
			d.reportInvalid(itemPath("routes", i), r.Validate())
		}
		checkUnique(d, "routes", "prefix", s.routes.Routes, func(r route.Route) string { return r.Prefix })
		sectionErr = s.routes.Validate()
	case fleet.Services:
		for i, svc := range s.services.Services {
			d.reportInvalid(itemPath("services", i), svc.Validate())
		}
		checkUnique(d, "services", "name", s.services.Services, func(svc service.Service) string { return svc.Name })
		s.checkServiceDomains()
		sectionErr = s.services.Validate()
	case fleet.VMs:
		for i, v := range s.vms.VMs {
			d.reportInvalid(itemPath("vms", i), v.Validate())
		}
		checkUnique(d, "vms", "name", s.vms.VMs, func(v vm.VM) string { return v.Name })
		checkUnique(d, "vms", "peerAddress", s.vms.VMs, func(v vm.VM) string { return v.PeerAddress })
		sectionErr = s.vms.Validate()
	}
	if len(d.problems) == 0 {
		d.reportInvalid("", sectionErr)
	}
}

// reportInvalid reports a validation error at the field that its message names, or at the item if it names no field.
func (d *document) reportInvalid(path string, err error) {
	if err == nil {
		return
	}
	message := err.Error()
	// The text up to the last quoted name identifies the item; the text after it names the field.
	detail := message[strings.LastIndex(message, "\": ")+1:]
	for _, word := range strings.FieldsFunc(detail, func(r rune) bool { return strings.ContainsRune(" :,\"", r) }) {
		field := strings.TrimPrefix(path+"."+word, ".")
		if _, ok := d.lines[field]; ok {
			path = field
			break
		}
	}
	d.report(path, "%s", message)
}

func itemPath(list string, index int) string {
	return fmt.Sprintf("%s[%d]", list, index)
}

func checkUnique[T any](d *document, list, field string, items []T, valueOf func(T) string) {
	firstIndex := make(map[string]int, len(items))
	for i, it := range items {
		value := valueOf(it)
		path := itemPath(list, i) + "." + field
		if other, ok := firstIndex[value]; ok {
			d.report(path, "%s %q is listed twice, first at line %d", field, value, d.lines[itemPath(list, other)+"."+field])
			continue
		}
		firstIndex[value] = i
	}
}

// checkKeyHashes reports invalid and duplicate hashes. A hash with upper-case letters is an error because nodes compare
// with lower-case hashes, so that no key would match it.
func (s *fileSet) checkKeyHashes() {
	d := s.documents[fleet.Accounts]
	owners := make(map[string]string)
	for i, a := range s.accounts.Accounts {
		for j, hash := range a.KeyHashes {
			path := itemPath(itemPath("accounts", i)+".keyHashes", j)
			single := account.Account{ID: a.ID, RatePerSecond: 1, Burst: 1, KeyHashes: []string{hash}}
			if err := single.Validate(); err != nil {
				d.report(path, "%v", err)
			}
			if hash != strings.ToLower(hash) {
				d.report(path, "account %q: key hash must be in lower case, otherwise no key matches it", a.ID)
			}
			if owner, ok := owners[hash]; ok {
				d.report(path, "account %q: key hash is listed for account %q too; each key must belong to one account", a.ID, owner)
			}
			if hash == account.HashKey("") {
				d.report(path, "account %q: key hash is the hash of an empty key", a.ID)
			}
			owners[hash] = a.ID
		}
	}
}

func (s *fileSet) checkServiceDomains() {
	d := s.documents[fleet.Services]
	for i, svc := range s.services.Services {
		for j, domain := range svc.FailureDomains {
			if !slices.Contains(s.services.FailureDomains, domain) {
				d.report(itemPath(itemPath("services", i)+".failureDomains", j),
					"service %q: unknown failure domain %q, expected one of %q", svc.Name, domain, s.services.FailureDomains)
			}
		}
	}
}
