package meshsetting

import (
	"bytes"
	"cmp"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"coltsfootusher.example/core/clock"
)

// Error is the class of errors about settings.
var Error = errs.Class("settings")

// minMaxFiles is the smallest number of files with which a node can work.
const minMaxFiles = 64

// Seconds is a duration in seconds with fractions.
type Seconds float64

// Millis returns the duration in milliseconds.
func (s Seconds) Millis() clock.Millis {
	return clock.FromDuration(s.Duration())
}

// Duration returns the duration as a time.Duration.
func (s Seconds) Duration() time.Duration {
	return time.Duration(float64(s) * float64(time.Second))
}

// Settings are the settings of one node.
type Settings struct {
	NodeName      string `yaml:"nodeName"`
	FailureDomain string `yaml:"failureDomain"`
	// Service is the service of the target beside the node.
	Service string `yaml:"service"`

	// EntryAddress serves callers and the local target, PeerAddress other nodes, ReadinessAddress the platform.
	EntryAddress     string `yaml:"entryAddress"`
	PeerAddress      string `yaml:"peerAddress"`
	ReadinessAddress string `yaml:"readinessAddress"`
	// PeerListenAddress is where the node listens for other nodes if traffic to PeerAddress is forwarded to it; empty means
	// PeerAddress itself.
	PeerListenAddress string `yaml:"peerListenAddress"`
	// OperatorPort serves metrics, status and explanations on the IP address of PeerAddress.
	OperatorPort uint16 `yaml:"operatorPort"`

	TargetAddress   string `yaml:"targetAddress"`
	PlatformAddress string `yaml:"platformAddress"`

	// KeyLeaseSeconds is the time within which a withdrawn key must stop working everywhere.
	KeyLeaseSeconds Seconds `yaml:"keyLeaseSeconds"`
	// ConfigSeconds is the time within which a new policy must be in force.
	ConfigSeconds Seconds `yaml:"configSeconds"`
	// GraceSeconds is the time between the order to stop and the end of the process.
	GraceSeconds Seconds `yaml:"graceSeconds"`
	// RetryShare and RetrySlack bound the repeats of the whole fleet for a service: a share of its requests, and a
	// number above it, in ten seconds.
	RetryShare float64 `yaml:"retryShare"`
	RetrySlack float64 `yaml:"retrySlack"`

	// MemoryMB is the memory that the process may use, in MB; 0 means no limit.
	MemoryMB float64 `yaml:"memoryMB"`

	// MaxFiles is the number of files and connections that the process may have open.
	MaxFiles int `yaml:"maxFiles"`

	LogLevel  string `yaml:"logLevel"`
	LogFormat string `yaml:"logFormat"`
	// LogLinesPerSecond bounds the decision lines; those left out are counted.
	LogLinesPerSecond int `yaml:"logLinesPerSecond"`
}

// Default returns the settings with every default filled in.
func Default() Settings {
	return Settings{
		KeyLeaseSeconds: 5, ConfigSeconds: 2, GraceSeconds: 6, RetryShare: 0.2, RetrySlack: 48, MaxFiles: 4096,
		LogLevel: "info", LogFormat: "logfmt", LogLinesPerSecond: 30,
	}
}

// Load reads and checks a settings file. The error names the position of the first problem.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	s := Default()
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&s); err != nil {
		return Settings{}, Error.New("%s: %v", path, err)
	}
	return s, s.Validate()
}

// Validate reports the first setting that is missing or out of range.
func (s Settings) Validate() error {
	required := []struct{ key, value string }{
		{"nodeName", s.NodeName}, {"failureDomain", s.FailureDomain}, {"service", s.Service},
	}
	for _, r := range required {
		if r.value == "" {
			return Error.New("%s is required", r.key)
		}
	}
	addresses := []struct{ key, value string }{
		{"entryAddress", s.EntryAddress}, {"peerAddress", s.PeerAddress}, {"readinessAddress", s.ReadinessAddress},
		{"targetAddress", s.TargetAddress}, {"platformAddress", s.PlatformAddress}, {"peerListenAddress", s.PeerListen()},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return Error.New("%s must be an IP address and a port, got %q", a.key, a.value)
		}
	}
	durations := []struct {
		key   string
		value Seconds
	}{{"keyLeaseSeconds", s.KeyLeaseSeconds}, {"configSeconds", s.ConfigSeconds}, {"graceSeconds", s.GraceSeconds}}
	for _, d := range durations {
		if !(d.value > 0) {
			return Error.New("%s must be greater than 0, got %v", d.key, d.value)
		}
	}
	if s.MaxFiles < minMaxFiles {
		return Error.New("maxFiles must be at least %d, got %d", minMaxFiles, s.MaxFiles)
	}
	if s.RetryShare < 0 || s.RetrySlack < 0 || s.MemoryMB < 0 || s.LogLinesPerSecond < 0 {
		return Error.New("retryShare, retrySlack, memoryMB and logLinesPerSecond must not be negative")
	}
	return nil
}

// PeerListen returns the address at which the node listens for other nodes.
func (s Settings) PeerListen() string {
	return cmp.Or(s.PeerListenAddress, s.PeerAddress)
}

// PeerAddrPort returns the parsed peer address.
func (s Settings) PeerAddrPort() netip.AddrPort {
	return netip.MustParseAddrPort(s.PeerAddress)
}
