package node

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/operator"
	"coltsfootusher.example/coltsfootd/preview"
)

// Error is the class of errors from node queries.
var Error = errs.Class("node")

const (
	// maxResponseBytes limits the size of a response; a node keeps at most a few thousand decisions.
	maxResponseBytes = 8 << 20
	// maxConcurrentRequests limits the sockets that querying a large fleet needs.
	maxConcurrentRequests = 64
)

// Result is the response of one node, or the error of its query.
type Result[T any] struct {
	Address string
	Value   T
	Err     error
}

// FetchStatuses returns the status of each node, in the order of the addresses.
func FetchStatuses(ctx context.Context, addresses []string, timeout time.Duration) []Result[operator.Status] {
	return queryAll[operator.Status](ctx, addresses, "/status", timeout)
}

// FetchDecisions returns the recent decisions of each node about a request, in the order of the addresses.
func FetchDecisions(
	ctx context.Context, addresses []string, requestID string, timeout time.Duration,
) []Result[[]decision.Decision] {
	return queryAll[[]decision.Decision](ctx, addresses, "/explain?request="+url.QueryEscape(requestID), timeout)
}

// RouteRequest is a request of which nodes tell where they would send it.
type RouteRequest struct {
	Method, Host, Path, Key string
	BodyBytes               int
}

// FetchRoutes asks each node where it would send the request, and returns the answers in the order of the addresses.
func FetchRoutes(
	ctx context.Context, addresses []string, r RouteRequest, timeout time.Duration,
) []Result[preview.Answer] {
	query := url.Values{
		"method": {r.Method}, "host": {r.Host}, "path": {r.Path}, "body": {strconv.Itoa(r.BodyBytes)},
	}
	header := http.Header{}
	if r.Key != "" {
		header.Set(preview.KeyHeader, r.Key)
	}
	return queryAllWith[preview.Answer](ctx, addresses, preview.Path+"?"+query.Encode(), header, timeout)
}

func queryAll[T any](ctx context.Context, addresses []string, path string, timeout time.Duration) []Result[T] {
	return queryAllWith[T](ctx, addresses, path, nil, timeout)
}

func queryAllWith[T any](
	ctx context.Context, addresses []string, path string, header http.Header, timeout time.Duration,
) []Result[T] {
	results := make([]Result[T], len(addresses))
	semaphore := make(chan struct{}, maxConcurrentRequests)
	var wg sync.WaitGroup
	for i, address := range addresses {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			results[i].Address = address
			results[i].Err = fetchJSON(ctx, "http://"+address+path, header, timeout, &results[i].Value)
		})
	}
	wg.Wait()
	return results
}

func fetchJSON(ctx context.Context, url string, header http.Header, timeout time.Duration, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Error.New("%s: status %d", url, response.StatusCode)
	}
	return Error.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result))
}

// CollectAddresses returns the addresses from the flags and from the file at path, without duplicates. The file has one
// address per line; empty lines and comments (#) are skipped. Each address must be an IP address and a port.
func CollectAddresses(flagAddresses []string, path string) ([]string, error) {
	all := flagAddresses
	if path != "" {
		fileAddresses, err := readLines(path)
		if err != nil {
			return nil, err
		}
		all = append(append([]string{}, flagAddresses...), fileAddresses...)
	}
	seen := make(map[string]bool, len(all))
	var addresses []string
	for _, address := range all {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, Error.New("%q must be an IP address and a port", address)
		}
		if !seen[address] {
			addresses = append(addresses, address)
		}
		seen[address] = true
	}
	if len(addresses) == 0 {
		return nil, Error.New("no node is given; use --node or --nodes-file")
	}
	return addresses, nil
}

func readLines(path string) ([]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	var lines []string
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		text, _, _ := strings.Cut(scanner.Text(), "#")
		if text = strings.TrimSpace(text); text != "" {
			lines = append(lines, text)
		}
	}
	return lines, Error.Wrap(scanner.Err())
}
