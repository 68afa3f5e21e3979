package setting

import (
	"bytes"
	"net/netip"
	"os"
	"strings"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/clock"
)

// Error is the class of errors about settings.
var Error = errs.Class("settings")

// Settings are the settings of one node; the example files name every key.
type Settings struct {
	NodeName      string `yaml:"nodeName"`
	FailureDomain string `yaml:"failureDomain"`
	// Service is the service of the local target.
	Service string `yaml:"service"`

	// Addresses are IP addresses with a port; port 0 lets the system choose one.
	EntryAddress    string `yaml:"entryAddress"`
	PeerAddress     string `yaml:"peerAddress"`
	EgressAddress   string `yaml:"egressAddress"`
	OperatorAddress string `yaml:"operatorAddress"`
	TargetAddress   string `yaml:"targetAddress"`
	// TargetConnections is the maximum number of connections to the target; 0 means the published number.
	TargetConnections int `yaml:"targetConnections"`
	// TargetHealthPath and TargetHealthIntervalMs configure the polling of the target's drain state.
	TargetHealthPath       string       `yaml:"targetHealthPath"`
	TargetHealthIntervalMs clock.Millis `yaml:"targetHealthIntervalMs"`

	PlatformAddress string `yaml:"platformAddress"`
	// FleetSecretFile is the file with the secret that all nodes share, at least 16 bytes. A relative path is resolved
	// against the directory of the settings file.
	FleetSecretFile string `yaml:"fleetSecretFile"`
	// BootstrapPeers are the peers that a starting node contacts, written as name=address.
	BootstrapPeers []string `yaml:"bootstrapPeers"`

	PauseThresholdMs    clock.Millis `yaml:"pauseThresholdMs"`
	ConfirmTimeoutMs    clock.Millis `yaml:"confirmTimeoutMs"`
	StartupTimeoutMs    clock.Millis `yaml:"startupTimeoutMs"`
	WatchWaitMs         clock.Millis `yaml:"watchWaitMs"`
	SeatFenceMs         clock.Millis `yaml:"seatFenceMs"`
	SeatFenceMarginMs   clock.Millis `yaml:"seatFenceMarginMs"`
	LeaseMs             clock.Millis `yaml:"leaseMs"`
	MaxClockSkewMs      clock.Millis `yaml:"maxClockSkewMs"`
	PeerRequestMaxAgeMs clock.Millis `yaml:"peerRequestMaxAgeMs"`
	DrainTimeoutMs      clock.Millis `yaml:"drainTimeoutMs"`

	OperationRetentionMs  clock.Millis `yaml:"operationRetentionMs"`
	OperationMaxEntries   int          `yaml:"operationMaxEntries"`
	OperationMaxBodyBytes int64        `yaml:"operationMaxBodyBytes"`

	MaxRequestBodyBytes int64 `yaml:"maxRequestBodyBytes"`
	MaxHeaderBytes      int   `yaml:"maxHeaderBytes"`
	BufferedAnswerBytes int64 `yaml:"bufferedAnswerBytes"`

	LogLevel  string `yaml:"logLevel"`
	LogFormat string `yaml:"logFormat"`
	// LogSamplePerSecond limits the decision lines per second; omitted lines are counted.
	LogSamplePerSecond int `yaml:"logSamplePerSecond"`
}

// Default returns the default settings; keys without a default are empty.
func Default() Settings {
	return Settings{
		TargetHealthPath:       "/health",
		TargetHealthIntervalMs: 500,
		PauseThresholdMs:       1_000,
		ConfirmTimeoutMs:       1_000,
		StartupTimeoutMs:       5_000,
		WatchWaitMs:            10_000,
		SeatFenceMs:            5_000,
		SeatFenceMarginMs:      1_000,
		LeaseMs:                2_000,
		MaxClockSkewMs:         5_000,
		PeerRequestMaxAgeMs:    10_000,
		DrainTimeoutMs:         30_000,
		OperationRetentionMs:   120_000,
		OperationMaxEntries:    100_000,
		OperationMaxBodyBytes:  16 << 20,
		MaxRequestBodyBytes:    1 << 20,
		MaxHeaderBytes:         32 << 10,
		BufferedAnswerBytes:    256 << 10,
		LogLevel:               "info",
		LogFormat:              "logfmt",
		LogSamplePerSecond:     200,
	}
}

// Load reads and checks a settings file. The error names the line of the first problem and counts the others.
func Load(path string) (Settings, error) {
	s, problems := Check(path)
	switch len(problems) {
	case 0:
		return s, nil
	case 1:
		return Settings{}, Error.Wrap(problems[0])
	default:
		return Settings{}, Error.New("%v (and %d more, run coltsfootd check)", problems[0], len(problems)-1)
	}
}

// MinSecretBytes is the minimum length of a fleet secret that peer authentication accepts.
const MinSecretBytes = 16

// FleetSecret reads the fleet secret from its file.
func (s Settings) FleetSecret() ([]byte, error) {
	data, err := os.ReadFile(s.FleetSecretFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	secret := bytes.TrimSpace(data)
	if len(secret) < MinSecretBytes {
		return nil, Error.New("%s holds %d bytes, at least %d are expected", s.FleetSecretFile, len(secret), MinSecretBytes)
	}
	return secret, nil
}

// SourceAddress returns the IP address from which the node dials peers and the platform: that of its peer address.
func (s Settings) SourceAddress() netip.Addr {
	address, err := netip.ParseAddrPort(s.PeerAddress)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr()
}

// BootstrapAddresses returns the addresses of the bootstrap peers by node name.
func (s Settings) BootstrapAddresses() (map[string]string, error) {
	peers := make(map[string]string, len(s.BootstrapPeers))
	for _, entry := range s.BootstrapPeers {
		name, address, err := parsePeer(entry)
		if err != nil {
			return nil, err
		}
		peers[name] = address
	}
	return peers, nil
}

func parsePeer(entry string) (name, address string, err error) {
	name, address, ok := strings.Cut(entry, "=")
	if !ok || name == "" {
		return "", "", Error.New("bootstrapPeers: %q must be written as name=address", entry)
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return "", "", Error.New("bootstrapPeers: %q: address must be an IP address and a port", entry)
	}
	return name, address, nil
}
