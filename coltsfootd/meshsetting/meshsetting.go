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
	"coltsfootusher.example/core/workcost"
)

// Error is the class of errors in settings.
var Error = errs.Class("settings")

// minMaxFiles is the lowest accepted value of maxFiles; with fewer open files a node can't work.
const minMaxFiles = 64

// Seconds is a duration in seconds; fractions are allowed.
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
	// Service is the service of the local target.
	Service string `yaml:"service"`

	// EntryAddress serves callers and the local target, PeerAddress serves other nodes, and ReadinessAddress serves the
	// readiness probes of the platform.
	EntryAddress     string `yaml:"entryAddress"`
	PeerAddress      string `yaml:"peerAddress"`
	ReadinessAddress string `yaml:"readinessAddress"`
	// PeerListenAddress is the address on which the node listens for other nodes if traffic to PeerAddress is forwarded to
	// it. The default is PeerAddress.
	PeerListenAddress string `yaml:"peerListenAddress"`
	// OperatorPort serves metrics, status and explanations on the IP address of PeerAddress.
	OperatorPort uint16 `yaml:"operatorPort"`

	TargetAddress   string `yaml:"targetAddress"`
	PlatformAddress string `yaml:"platformAddress"`

	// KeyLeaseSeconds is the time within which a revoked key must stop working at every node.
	KeyLeaseSeconds Seconds `yaml:"keyLeaseSeconds"`
	// ConfigSeconds is the time within which a new policy must be in force at every node.
	ConfigSeconds Seconds `yaml:"configSeconds"`
	// EvacuationSeconds is the time within which no node sends requests to an evacuated failure domain; 0 means that the node
	// doesn't follow the evacuations.
	EvacuationSeconds Seconds `yaml:"evacuationSeconds"`
	// GraceSeconds is the time from the stop signal to the exit of the process.
	GraceSeconds Seconds `yaml:"graceSeconds"`
	// RetryShare and RetrySlack limit the retries of the whole fleet for a service within ten seconds: to a share of its
	// requests plus a fixed number.
	RetryShare float64 `yaml:"retryShare"`
	RetrySlack float64 `yaml:"retrySlack"`

	// CostPlacement says for which services targets are chosen by the expected cost of requests: those whose targets report their
	// slowness (auto), all (on) or none (off).
	CostPlacement workcost.Mode `yaml:"costPlacement"`

	// ShortageThrottle makes the node admit fewer lookups while a service that more important requests need is short of capacity.
	ShortageThrottle bool `yaml:"shortageThrottle"`

	// MemoryMB is the memory limit of the process, in MB; 0 means no limit.
	MemoryMB float64 `yaml:"memoryMB"`

	// MaxFiles is the maximum number of open files and connections of the process.
	MaxFiles int `yaml:"maxFiles"`

	// EntryConnectionShare and PeerConnectionShare are the parts of the usable files for the connections at EntryAddress and at
	// PeerAddress; 0 means no limit.
	EntryConnectionShare float64 `yaml:"entryConnectionShare"`
	PeerConnectionShare  float64 `yaml:"peerConnectionShare"`
	// ProbeConnections is the maximum number of connections at ReadinessAddress, and at OperatorPort; 0 means no limit.
	ProbeConnections int `yaml:"probeConnections"`
	// HeaderMemoryShare is the part of MemoryMB for the headers of requests at EntryAddress; those at PeerAddress and those of
	// responses get half of it each, and those at the two other addresses an eighth; 0 means no limit.
	HeaderMemoryShare float64 `yaml:"headerMemoryShare"`
	// ResponseStallSeconds is the time for which a client may leave a response unread; 0 means no limit.
	ResponseStallSeconds Seconds `yaml:"responseStallSeconds"`

	LogLevel  string `yaml:"logLevel"`
	LogFormat string `yaml:"logFormat"`
	// LogLinesPerSecond limits the log lines about decisions; omitted lines are counted.
	LogLinesPerSecond int `yaml:"logLinesPerSecond"`
}

// Default returns the default settings. The required settings are empty.
func Default() Settings {
	return Settings{
		KeyLeaseSeconds: 5, ConfigSeconds: 2, GraceSeconds: 6, RetryShare: 0.2, RetrySlack: 48, MaxFiles: 4096,
		EntryConnectionShare: 0.5, PeerConnectionShare: 0.3, ProbeConnections: 48, HeaderMemoryShare: 0.05, ResponseStallSeconds: 30,
		CostPlacement: workcost.Auto, LogLevel: "info", LogFormat: "logfmt", LogLinesPerSecond: 30,
	}
}

// Load reads and validates a settings file. For a syntax error or an unknown key, the error contains its position.
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
	if !(s.EvacuationSeconds >= 0) {
		return Error.New("evacuationSeconds must not be negative, got %v", s.EvacuationSeconds)
	}
	if s.RetryShare < 0 || s.RetrySlack < 0 || s.MemoryMB < 0 || s.LogLinesPerSecond < 0 {
		return Error.New("retryShare, retrySlack, memoryMB and logLinesPerSecond must not be negative")
	}
	if !s.CostPlacement.IsValid() {
		return Error.New("costPlacement must be auto, on or off, got %q", s.CostPlacement)
	}
	return s.validateClientLimits()
}

func (s Settings) validateClientLimits() error {
	shares := []struct {
		key   string
		value float64
	}{
		{"entryConnectionShare", s.EntryConnectionShare}, {"peerConnectionShare", s.PeerConnectionShare},
		{"headerMemoryShare", s.HeaderMemoryShare},
	}
	for _, share := range shares {
		if !(share.value >= 0 && share.value <= 1) {
			return Error.New("%s must be between 0 and 1, got %v", share.key, share.value)
		}
	}
	if s.EntryConnectionShare+s.PeerConnectionShare > 1 {
		return Error.New("entryConnectionShare and peerConnectionShare must not exceed 1 together")
	}
	if s.ProbeConnections < 0 || !(s.ResponseStallSeconds >= 0) {
		return Error.New("probeConnections and responseStallSeconds must not be negative")
	}
	return nil
}

// PeerListen returns the address on which the node listens for other nodes.
func (s Settings) PeerListen() string {
	return cmp.Or(s.PeerListenAddress, s.PeerAddress)
}

// PeerAddrPort returns the parsed peer address.
func (s Settings) PeerAddrPort() netip.AddrPort {
	return netip.MustParseAddrPort(s.PeerAddress)
}
