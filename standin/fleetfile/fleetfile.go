package fleetfile

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/target"
)

// Error is the class of errors about fleet files.
var Error = errs.Class("fleetfile")

// Names of the files in the directory of a profile.
const (
	FleetName = "fleet.yaml"
	KeysName  = "demo-keys.yaml"
)

// VM is one machine with its target and its node.
type VM struct {
	Name          string `yaml:"name"`
	FailureDomain string `yaml:"failureDomain"`
	Service       string `yaml:"service"`
}

// Service describes the targets of one service.
type Service struct {
	Name        string              `yaml:"name"`
	Slots       int                 `yaml:"slots"`
	Connections int                 `yaml:"connections"`
	ServiceTime target.Distribution `yaml:"serviceTime"`
	ColdStartMs int64               `yaml:"coldStartMs"`
	// ColdFactor multiplies service times during the cold start.
	ColdFactor float64       `yaml:"coldFactor"`
	Plans      []target.Plan `yaml:"plans,omitempty"`
}

// Load describes the callers.
type Load struct {
	// TimeoutMs is how long a caller waits for one attempt.
	TimeoutMs int64 `yaml:"timeoutMs"`
	// Retries is the number of immediate retries of an impatient caller.
	Retries int            `yaml:"retries"`
	Routes  []caller.Route `yaml:"routes"`
}

// Fleet describes a deployment.
type Fleet struct {
	Profile string `yaml:"profile"`
	// ClientDelayMs is the time of one direction between callers and entries.
	ClientDelayMs float64 `yaml:"clientDelayMs"`
	// DomainDelayMs is the time of one direction between failure domains.
	DomainDelayMs float64 `yaml:"domainDelayMs"`
	// ConnectMs is the time that a target needs for a new connection.
	ConnectMs float64 `yaml:"connectMs"`
	// DeepestService is the service that limits the fleet and that becomes slow in slowdeep.
	DeepestService string `yaml:"deepestService"`
	// CapacityPerSecond is the number of root calls per second that the deepest service can carry.
	CapacityPerSecond float64   `yaml:"capacityPerSecond"`
	FailureDomains    []string  `yaml:"failureDomains"`
	VMs               []VM      `yaml:"vms"`
	Services          []Service `yaml:"services"`
	Load              Load      `yaml:"load"`
}

// Key is the demo key of a client account.
type Key struct {
	Account string `yaml:"account"`
	Key     string `yaml:"key"`
}

// Keys is the content of the file with the demo keys.
type Keys struct {
	Keys []Key `yaml:"keys"`
}

// ReadYAML decodes a file into value; unknown keys are errors, and errors give the position in the file.
func ReadYAML(fileName string, value any) error {
	data, err := os.ReadFile(fileName) // #nosec G304 -- named by the operator
	if err != nil {
		return Error.Wrap(err)
	}
	if err := yaml.UnmarshalWithOptions(data, value, yaml.Strict()); err != nil {
		return Error.New("%s: %v", fileName, err)
	}
	return nil
}

// Read returns the fleet and the demo keys of a profile's directory.
func Read(directory string) (Fleet, Keys, error) {
	var f Fleet
	if err := ReadYAML(filepath.Join(directory, FleetName), &f); err != nil {
		return Fleet{}, Keys{}, err
	}
	if err := f.Validate(); err != nil {
		return Fleet{}, Keys{}, err
	}
	var keys Keys
	err := ReadYAML(filepath.Join(directory, KeysName), &keys)
	return f, keys, err
}

// Service returns the service with the name.
func (f Fleet) Service(name string) (Service, bool) {
	index := slices.IndexFunc(f.Services, func(s Service) bool { return s.Name == name })
	if index < 0 {
		return Service{}, false
	}
	return f.Services[index], true
}

// Validate reports the first contradiction in the file.
func (f Fleet) Validate() error {
	if f.Profile == "" || !(f.CapacityPerSecond > 0) {
		return Error.New("profile must be set and capacityPerSecond greater than 0")
	}
	if f.ClientDelayMs < 0 || f.DomainDelayMs < 0 || f.ConnectMs < 0 {
		return Error.New("clientDelayMs, domainDelayMs and connectMs must not be negative")
	}
	if _, ok := f.Service(f.DeepestService); !ok {
		return Error.New("deepestService %q is not a service", f.DeepestService)
	}
	names := make(map[string]bool, len(f.VMs))
	for _, v := range f.VMs {
		if v.Name == "" || names[v.Name] {
			return Error.New("VM name %q is empty or listed twice", v.Name)
		}
		names[v.Name] = true
		if !slices.Contains(f.FailureDomains, v.FailureDomain) {
			return Error.New("VM %q: unknown failure domain %q", v.Name, v.FailureDomain)
		}
		if _, ok := f.Service(v.Service); !ok {
			return Error.New("VM %q: unknown service %q", v.Name, v.Service)
		}
	}
	for _, s := range f.Services {
		if err := f.TargetSettings(s, VM{Name: s.Name}).Validate(); err != nil {
			return Error.New("service %q: %v", s.Name, err)
		}
	}
	for _, r := range f.Load.Routes {
		if err := r.Validate(); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// TargetSettings returns the settings of the VM's target; the caller replaces the addresses, the journal file and
// the seed.
func (f Fleet) TargetSettings(s Service, v VM) target.Settings {
	return target.Settings{
		Name:          v.Name,
		Service:       s.Name,
		ListenAddress: "127.0.0.1:0",
		EgressAddress: "127.0.0.1:0",
		Slots:         s.Slots,
		Connections:   s.Connections,
		ConnectMs:     f.ConnectMs,
		ServiceTime:   s.ServiceTime,
		Plans:         s.Plans,
		ColdStartMs:   s.ColdStartMs,
		ColdFactor:    s.ColdFactor,
	}
}
