package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/launch"
	"coltsfootusher.example/standin/target"
)

const (
	// probeEvery is the time between two pairs of probes of one failure domain.
	probeEvery   = 8 * time.Millisecond
	probeTimeout = 5 * time.Second
	maxProbeUs   = int64(10 * time.Second / time.Microsecond)
	probeDigits  = 3
	probeQuery   = "?token=probe&standin-fault=" + string(target.Instant)
)

// latencies are the times of the pairs of probes, in microseconds.
type latencies struct {
	direct, through *hdrhistogram.Histogram
	failed          int64
}

func newLatencies() latencies {
	return latencies{
		direct: hdrhistogram.New(1, maxProbeUs, probeDigits), through: hdrhistogram.New(1, maxProbeUs, probeDigits),
	}
}

// addedMs is the difference of the quantiles, in milliseconds.
func (l latencies) addedMs(quantile float64) float64 {
	return float64(l.through.ValueAtQuantile(quantile)-l.direct.ValueAtQuantile(quantile)) / 1000
}

// prober measures the latency that the layer adds. In each failure domain it sends pairs of requests, one directly to a
// target and one through the entry of another VM of the same domain to the same service. Both skip the service time, and
// both pass one link of the stand-in network, since a direct call crosses the network as well. They go to a service
// whose slots are not used up at 70% of the load, so that neither of them waits for a slot.
type prober struct {
	client *http.Client
	pairs  []probePair

	mu     sync.Mutex
	values latencies
}

type probePair struct {
	directURL, throughURL string
}

func newProber(f *launch.Fleet) (*prober, error) {
	p := &prober{
		client: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}},
		values: newLatencies(),
	}
	service, prefix := probedService(f)
	for _, domain := range f.File.FailureDomains {
		server, entry := pairOf(f, domain, service)
		if server == nil || entry == nil {
			return nil, Error.New("failure domain %q has no target of %s and another VM", domain, service)
		}
		address, err := f.LinkTo(server, server.Target)
		if err != nil {
			return nil, err
		}
		p.pairs = append(p.pairs, probePair{
			directURL:  "http://" + address + prefix + probeQuery,
			throughURL: "http://" + entry.Entry + prefix + probeQuery,
		})
	}
	return p, nil
}

// probedService returns the service that is called by others and calls the deepest one, and the path of a lookup there.
func probedService(f *launch.Fleet) (service, prefix string) {
	for _, svc := range f.File.Services {
		for _, plan := range svc.Plans {
			for _, inner := range plan.Calls {
				if strings.HasPrefix(inner.Path, "/"+f.File.DeepestService) {
					return svc.Name, plan.Prefix
				}
			}
		}
	}
	return f.File.DeepestService, "/" + f.File.DeepestService
}

func pairOf(f *launch.Fleet, domain, service string) (server, entry *launch.VM) {
	for _, v := range f.VMs {
		if v.FailureDomain != domain {
			continue
		}
		if v.Service == service {
			server = v
		} else if v.Service != f.File.DeepestService {
			entry = v
		}
	}
	return server, entry
}

// start sends probes until ctx ends.
func (p *prober) start(ctx context.Context) {
	for _, pair := range p.pairs {
		go func() {
			ticker := time.NewTicker(probeEvery)
			defer ticker.Stop()
			for ctx.Err() == nil {
				p.probe(ctx, pair)
				select {
				case <-ticker.C:
				case <-ctx.Done():
				}
			}
		}()
	}
}

func (p *prober) probe(ctx context.Context, pair probePair) {
	direct, errDirect := p.send(ctx, pair.directURL, "")
	through, errThrough := p.send(ctx, pair.throughURL, probeKey)
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if errDirect != nil || errThrough != nil {
		p.values.failed++
		return
	}
	// Values outside the histograms' range are excluded by the client's timeout.
	_ = p.values.direct.RecordValue(direct.Microseconds())
	_ = p.values.through.RecordValue(through.Microseconds())
}

func (p *prober) send(ctx context.Context, address, key string) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	if key != "" {
		request.Header.Set(caller.KeyHeader, "Bearer "+key)
	}
	begin := time.Now()
	response, err := p.client.Do(request)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, Error.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return 0, Error.New("probe got status %d", response.StatusCode)
	}
	return time.Since(begin), nil
}

// take returns what was measured since the last call.
func (p *prober) take() latencies {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	p.values = newLatencies()
	return values
}

// issues reports whether the entry issues operation ids for the route.
func (p *prober) issues(ctx context.Context, entry, prefix string) bool {
	address := fmt.Sprintf("http://%s%s?route=%s", entry, caller.IssuePath, url.QueryEscape(prefix))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
	if err != nil {
		return false
	}
	request.Header.Set(caller.KeyHeader, "Bearer "+probeKey)
	response, err := p.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode/100 == 2
}
