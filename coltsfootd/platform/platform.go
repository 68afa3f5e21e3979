package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
)

// Error is the class of errors about the configuration service.
var Error = errs.Class("platform")

const (
	// maxResponseBytes is the size of the largest value that the service holds, 1 MB, plus room for the envelope.
	maxResponseBytes = 1<<20 + 4<<10
	// responseTimeout limits the time for a response, in addition to the time that a watch waits.
	responseTimeout = 3 * time.Second
	// ReaderHeader names the node that reads, for the operators' statistics.
	ReaderHeader = "Coltsfoot-Node"
)

// Value is one published value.
type Value struct {
	Name    fleet.SectionName `json:"name"`
	Version int64             `json:"version"`
	Value   json.RawMessage   `json:"value"`
}

// Client reads the configuration service.
type Client struct {
	address string
	reader  string
	client  *http.Client
}

// New returns a client of the service at address that identifies itself as node.
func New(address, node string, transport http.RoundTripper) *Client {
	return &Client{address: address, reader: node, client: &http.Client{Transport: transport}}
}

// Get returns the currently published value.
func (c *Client) Get(ctx context.Context, name fleet.SectionName) (Value, error) {
	v, _, err := c.read(ctx, fmt.Sprintf("/v1/values/%s", name), 0)
	return v, err
}

// Watch waits up to wait for a version newer than after; changed is false if there was none.
func (c *Client) Watch(
	ctx context.Context, name fleet.SectionName, after int64, wait clock.Millis,
) (v Value, changed bool, err error) {
	return c.read(ctx, fmt.Sprintf("/v1/watch/%s?after=%d&waitMs=%d", name, after, wait), wait)
}

func (c *Client) read(ctx context.Context, path string, wait clock.Millis) (Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration()+responseTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return Value{}, false, Error.Wrap(err)
	}
	request.Header.Set(ReaderHeader, c.reader)
	response, err := c.client.Do(request)
	if err != nil {
		return Value{}, false, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return Value{}, false, nil
	case http.StatusOK:
	default:
		return Value{}, false, Error.New("%s: status %d", path, response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return Value{}, false, Error.Wrap(err)
	}
	if len(data) > maxResponseBytes {
		return Value{}, false, Error.New("%s: value is longer than %d bytes", path, maxResponseBytes)
	}
	var v Value
	if err := json.Unmarshal(data, &v); err != nil {
		return Value{}, false, Error.New("%s: %v", path, err)
	}
	return v, true, nil
}
