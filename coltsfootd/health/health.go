package health

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"coltsfootusher.example/coltsfootd/transport"
	"coltsfootusher.example/core/clock"
)

const (
	maxReportBytes = 4 << 10
	statusDraining = "draining"
	// minTimeout is the minimum time to wait for an answer, so that a busy target has time to give one.
	minTimeout = time.Second
)

// Observer receives the state changes that the polls show.
type Observer interface {
	// TargetDraining is called when the target starts or stops reporting that it takes no new work.
	TargetDraining(draining bool)
	// TargetStarted is called when the target answers again after it refused connections.
	TargetStarted()
}

// Poller polls the health endpoint. The endpoint is only a hint, because it may lag or mislead: a target that does not
// answer it is never considered dead, and only its own report that it is draining has an effect.
type Poller struct {
	url        string
	interval   time.Duration
	client     *http.Client
	observer   Observer
	wasRefused bool
	draining   bool
}

// New returns a poller of the path at the target's address.
func New(address, path string, interval clock.Millis, observer Observer) *Poller {
	return &Poller{
		url: "http://" + address + path, interval: interval.Duration(), observer: observer,
		client: &http.Client{
			Transport: transport.New(netip.Addr{}, 1, 1), Timeout: max(minTimeout, interval.Duration()),
		},
	}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.observe(p.poll(ctx))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll reports whether the target says that it is draining, or returns an error if it gives no answer.
func (p *Poller) poll(ctx context.Context) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return false, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return false, err
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		return true, nil
	}
	var report struct {
		Status string `json:"status"`
	}
	// Targets may answer in another format; then only the status code counts.
	_ = json.Unmarshal(data, &report)
	return report.Status == statusDraining, nil
}

func (p *Poller) observe(draining bool, err error) {
	if err != nil {
		p.wasRefused = p.wasRefused || errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	if p.wasRefused {
		p.wasRefused = false
		p.observer.TargetStarted()
	}
	if draining != p.draining {
		p.draining = draining
		p.observer.TargetDraining(draining)
	}
}
