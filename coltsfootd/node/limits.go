package node

import (
	"expvar"

	"coltsfootusher.example/coltsfootd/limits"
	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/coltsfootd/peerserver"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/operation"
	"coltsfootusher.example/core/seat"
	"coltsfootusher.example/core/vm"
)

// buildLimits creates the node's component of the fleet-wide rate limits.
func (n *Node) buildLimits(metrics *expvar.Map) {
	s := n.settings
	n.limits = limits.New(limits.Config{
		Node: s.NodeName, FailureDomain: s.FailureDomain, Service: s.Service, Incarnation: n.incarnation, Clock: n.clock,
		Snapshots: n.control, ControlClients: n.peerClient, Sender: peerserver.SenderFromContext,
		Fence: s.SeatFenceMs, Margin: s.SeatFenceMarginMs, Lease: s.LeaseMs, PauseThreshold: s.PauseThresholdMs,
		Logger: logging.WithPart(n.logger, "limits"), Metrics: metrics,
	})
}

// operationSeats provides the ownership of service seats to package operations.
type operationSeats struct {
	domain       string
	service      string
	snapshots    interface{ Current() *fleet.Snapshot }
	serviceSeats *limits.ServiceSeats
}

func (n *Node) newOperationSeats() operationSeats {
	return operationSeats{
		domain: n.settings.FailureDomain, service: n.settings.Service, snapshots: n.control, serviceSeats: n.limits.ServiceSeats(),
	}
}

// Owner returns the VM that owns the seat under the published VM list, or "" if the failure domain has no live VM of
// the service.
func (o operationSeats) Owner(service string, s operation.Seat) string {
	snapshot := o.snapshots.Current()
	var liveVMs []string
	for _, v := range snapshot.VMsOfService(service) {
		if v.FailureDomain == s.Domain && v.State == vm.Live {
			liveVMs = append(liveVMs, v.Name)
		}
	}
	return seat.NewList(snapshot.Versions[fleet.VMs], liveVMs).Owner(seat.Key(service, s.Domain, s.Index))
}

// Owned reports whether this node owns the seat, and since when without interruption.
func (o operationSeats) Owned(service string, s operation.Seat, now clock.Millis) (clock.Millis, bool) {
	if service != o.service || s.Domain != o.domain {
		return 0, false
	}
	return o.serviceSeats.Owned(seat.Key(service, s.Domain, s.Index), now)
}
