package setting

import (
	"net/netip"
	"strings"

	"coltsfootusher.example/core/clock"
)

// reportFunc receives a problem of one key.
type reportFunc func(key, format string, args ...any)

// validate reports every key whose value is missing, out of range or in conflict with another key.
func (s Settings) validate(report reportFunc) {
	s.validateNames(report)
	s.validateAddresses(report)
	s.validateDurations(report)
	s.validateHealthPath(report)
	s.validateSizes(report)
	s.validateLogging(report)
}

func (s Settings) validateNames(report reportFunc) {
	required := []struct{ key, value string }{
		{"nodeName", s.NodeName},
		{"failureDomain", s.FailureDomain},
		{"service", s.Service},
		{"fleetSecretFile", s.FleetSecretFile},
	}
	for _, r := range required {
		if r.value == "" {
			report(r.key, "%s is required", r.key)
		}
	}
	for i, entry := range s.BootstrapPeers {
		if _, _, err := parsePeer(entry); err != nil {
			report(itemKey("bootstrapPeers", i), "%s", messageWithoutClass(err))
		}
	}
	if s.FleetSecretFile == "" {
		return
	}
	if _, err := s.FleetSecret(); err != nil {
		report("fleetSecretFile", "fleetSecretFile cannot be used: %s", messageWithoutClass(err))
	}
}

// messageWithoutClass returns the message without the prefix of the error class.
func messageWithoutClass(err error) string {
	return strings.TrimPrefix(err.Error(), string(Error)+": ")
}

func (s Settings) validateAddresses(report reportFunc) {
	listenAddresses := []struct{ key, value string }{
		{"entryAddress", s.EntryAddress},
		{"peerAddress", s.PeerAddress},
		{"egressAddress", s.EgressAddress},
		{"operatorAddress", s.OperatorAddress},
	}
	keyByAddress := make(map[netip.AddrPort]string, len(listenAddresses))
	for _, l := range listenAddresses {
		address, err := netip.ParseAddrPort(l.value)
		if err != nil {
			report(l.key, "%s must be an IP address and a port, got %q", l.key, l.value)
			continue
		}
		if other, ok := keyByAddress[address]; ok && address.Port() != 0 {
			report(l.key, "%s and %s both listen on %s", other, l.key, address)
		}
		keyByAddress[address] = l.key
		if l.key == "egressAddress" && !address.Addr().IsLoopback() {
			report(l.key, "egressAddress must be a loopback address, got %s", address.Addr())
		}
	}
	for _, c := range []struct{ key, value string }{
		{"targetAddress", s.TargetAddress}, {"platformAddress", s.PlatformAddress},
	} {
		address, err := netip.ParseAddrPort(c.value)
		if err != nil || address.Port() == 0 {
			report(c.key, "%s must be an IP address and a port, got %q", c.key, c.value)
			continue
		}
		if ownKey, ok := keyByAddress[address]; ok {
			report(c.key, "%s is the node's own %s", c.key, ownKey)
		}
	}
}

func (s Settings) validateDurations(report reportFunc) {
	ranges := []struct {
		key      string
		value    clock.Millis
		from, to clock.Millis
	}{
		{"targetHealthIntervalMs", s.TargetHealthIntervalMs, 50, 2_000},
		{"pauseThresholdMs", s.PauseThresholdMs, 200, 10_000},
		{"confirmTimeoutMs", s.ConfirmTimeoutMs, 100, 10_000},
		{"startupTimeoutMs", s.StartupTimeoutMs, 100, 60_000},
		{"watchWaitMs", s.WatchWaitMs, 100, 60_000},
		{"seatFenceMs", s.SeatFenceMs, 500, 60_000},
		{"seatFenceMarginMs", s.SeatFenceMarginMs, 50, 10_000},
		{"leaseMs", s.LeaseMs, 100, 30_000},
		{"maxClockSkewMs", s.MaxClockSkewMs, 0, 60_000},
		{"peerRequestMaxAgeMs", s.PeerRequestMaxAgeMs, 1_000, 60_000},
		{"drainTimeoutMs", s.DrainTimeoutMs, 0, 600_000},
		{"operationRetentionMs", s.OperationRetentionMs, 1_000, 3_600_000},
	}
	for _, r := range ranges {
		if r.value < r.from || r.value > r.to {
			report(r.key, "%s must be from %d to %d ms, got %d", r.key, r.from, r.to, r.value)
		}
	}
	if s.SeatFenceMarginMs >= s.SeatFenceMs {
		report("seatFenceMarginMs", "seatFenceMarginMs (%d) must be less than seatFenceMs (%d)",
			s.SeatFenceMarginMs, s.SeatFenceMs)
	}
}

func (s Settings) validateSizes(report reportFunc) {
	ranges := []struct {
		key      string
		value    int64
		from, to int64
	}{
		{"targetConnections", int64(s.TargetConnections), 0, 100_000},
		{"operationMaxEntries", int64(s.OperationMaxEntries), 1, 10_000_000},
		{"operationMaxBodyBytes", s.OperationMaxBodyBytes, 0, 1 << 30},
		{"maxRequestBodyBytes", s.MaxRequestBodyBytes, 1, 64 << 20},
		{"maxHeaderBytes", int64(s.MaxHeaderBytes), 4 << 10, 1 << 20},
		{"bufferedAnswerBytes", s.BufferedAnswerBytes, 0, 16 << 20},
		{"logSamplePerSecond", int64(s.LogSamplePerSecond), 0, 1_000_000},
	}
	for _, r := range ranges {
		if r.value < r.from || r.value > r.to {
			report(r.key, "%s must be from %d to %d, got %d", r.key, r.from, r.to, r.value)
		}
	}
}

func (s Settings) validateHealthPath(report reportFunc) {
	if !strings.HasPrefix(s.TargetHealthPath, "/") {
		report("targetHealthPath", "targetHealthPath must start with a slash, got %q", s.TargetHealthPath)
	}
}

func (s Settings) validateLogging(report reportFunc) {
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		report("logLevel", "logLevel must be debug, info, warn or error, got %q", s.LogLevel)
	}
	if s.LogFormat != "logfmt" && s.LogFormat != "json" {
		report("logFormat", "logFormat must be logfmt or json, got %q", s.LogFormat)
	}
}
