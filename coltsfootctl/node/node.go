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
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/operator"
)

// Error is the class of errors about nodes.
var Error = errs.Class("node")

const (
	// maxResponseBytes bounds a reply; a node keeps at most a few thousand decisions.
	maxResponseBytes = 8 << 20
	// maxConcurrentRequests bounds the requests in flight, so that asking a large fleet needs few sockets.
	maxConcurrentRequests = 64
)

// Result is the reply of one node, or the reason why there is none.
type Result[T any] struct {
	Address string
	Value   T
	Err     error
}

// FetchStatuses asks all nodes for their status, in the order of the addresses.
func FetchStatuses(ctx context.Context, addresses []string, timeout time.Duration) []Result[operator.Status] {
	return queryAll[operator.Status](ctx, addresses, "/status", timeout)
}

// FetchDecisions asks all nodes for their recent decisions about a request.
func FetchDecisions(
	ctx context.Context, addresses []string, requestID string, timeout time.Duration,
) []Result[[]decision.Decision] {
	return queryAll[[]decision.Decision](ctx, addresses, "/explain?request="+url.QueryEscape(requestID), timeout)
}

func queryAll[T any](ctx context.Context, addresses []string, path string, timeout time.Duration) []Result[T] {
	answers := make([]Result[T], len(addresses))
	slots := make(chan struct{}, maxConcurrentRequests)
	var group sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			answers[i].Address = address
			answers[i].Err = fetchJSON(ctx, "http://"+address+path, timeout, &answers[i].Value)
		})
	}
	group.Wait()
	return answers
}

func fetchJSON(ctx context.Context, url string, timeout time.Duration, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Error.New("%s: status %d", url, response.StatusCode)
	}
	return Error.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(reply))
}

// CollectAddresses joins the given addresses with those of the file, one a line; empty lines and comments (#) are skipped.
// Each address is an IP address and a port and is asked once.
func CollectAddresses(given []string, path string) ([]string, error) {
	all := given
	if path != "" {
		listed, err := readLines(path)
		if err != nil {
			return nil, err
		}
		all = append(append([]string{}, given...), listed...)
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
