package setting

import (
	"net/netip"
	"strconv"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/clock"
)

func itoa(n int) string { return strconv.Itoa(n) }

// validate returns the first key whose value is missing, out of range or in contradiction to another one.
func (s Settings) validate() (string, error) {
	checks := []func() (string, error){
		s.validateNames, s.validateAddresses, s.validateDurations, s.validateSizes, s.validateLogs,
	}
	for _, check := range checks {
		if key, err := check(); err != nil {
			return key, err
		}
	}
	return "", nil
}

func (s Settings) validateNames() (string, error) {
	required := []struct{ key, value string }{
		{"nodeName", s.NodeName},
		{"failureDomain", s.FailureDomain},
		{"service", s.Service},
		{"fleetSecretFile", s.FleetSecretFile},
	}
	for _, r := range required {
		if r.value == "" {
			return r.key, errs.New("%s is required", r.key)
		}
	}
	if _, err := s.Peers(); err != nil {
		return "bootstrapPeers", err
	}
	return "", nil
}

func (s Settings) validateAddresses() (string, error) {
	listen := []struct{ key, value string }{
		{"entryAddress", s.EntryAddress},
		{"peerAddress", s.PeerAddress},
		{"egressAddress", s.EgressAddress},
		{"operatorAddress", s.OperatorAddress},
	}
	used := make(map[netip.AddrPort]string, len(listen))
	for _, l := range listen {
		address, err := netip.ParseAddrPort(l.value)
		if err != nil {
			return l.key, errs.New("%s must be an IP address and a port, got %q", l.key, l.value)
		}
		if other, ok := used[address]; ok && address.Port() != 0 {
			return l.key, errs.New("%s and %s both listen on %s", other, l.key, address)
		}
		used[address] = l.key
	}
	for _, c := range []struct{ key, value string }{
		{"targetAddress", s.TargetAddress}, {"platformAddress", s.PlatformAddress},
	} {
		address, err := netip.ParseAddrPort(c.value)
		if err != nil || address.Port() == 0 {
			return c.key, errs.New("%s must be an IP address and a port, got %q", c.key, c.value)
		}
		if own, ok := used[address]; ok {
			return c.key, errs.New("%s is the node's own %s", c.key, own)
		}
	}
	return "", nil
}

func (s Settings) validateDurations() (string, error) {
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
			return r.key, errs.New("%s must be from %d to %d ms, got %d", r.key, r.from, r.to, r.value)
		}
	}
	if s.SeatFenceMarginMs >= s.SeatFenceMs {
		return "seatFenceMarginMs", errs.New("seatFenceMarginMs (%d) must be less than seatFenceMs (%d)",
			s.SeatFenceMarginMs, s.SeatFenceMs)
	}
	return "", nil
}

func (s Settings) validateSizes() (string, error) {
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
			return r.key, errs.New("%s must be from %d to %d, got %d", r.key, r.from, r.to, r.value)
		}
	}
	return "", nil
}

func (s Settings) validateLogs() (string, error) {
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		return "logLevel", errs.New("logLevel must be debug, info, warn or error, got %q", s.LogLevel)
	}
	if s.LogFormat != "logfmt" && s.LogFormat != "json" {
		return "logFormat", errs.New("logFormat must be logfmt or json, got %q", s.LogFormat)
	}
	return "", nil
}
