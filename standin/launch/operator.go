package launch

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"coltsfootusher.example/standin/target"
)

// Status is the part of a node's status that tests and the demo read.
type Status struct {
	Node         string           `json:"node"`
	Incarnation  string           `json:"incarnation"`
	Ready        bool             `json:"ready"`
	LimitsReady  bool             `json:"limitsReady"`
	Leaving      bool             `json:"leaving"`
	ActivePreset string           `json:"activePreset"`
	Versions     map[string]int64 `json:"versions"`
	// AgesMs are the times since the sections were last confirmed as current.
	AgesMs map[string]int64 `json:"agesMs"`
	// WatcherRank is -1 on a node that does not watch the platform.
	WatcherRank int  `json:"watcherRank"`
	Held        bool `json:"held"`
}

const requestTimeout = 2 * time.Second

// Status asks the VM's node for its status.
func (v *VM) Status(ctx context.Context) (Status, error) {
	var s Status
	err := v.fetch(ctx, http.MethodGet, "http://"+v.Operator+"/status", nil, &s)
	return s, err
}

// Vars returns the node's metrics.
func (v *VM) Vars(ctx context.Context) (map[string]json.RawMessage, error) {
	var all struct {
		Metrics map[string]json.RawMessage `json:"coltsfootd"`
	}
	err := v.fetch(ctx, http.MethodGet, "http://"+v.Operator+"/debug/vars", nil, &all)
	return all.Metrics, err
}

// Controls returns the run-time controls of the VM's target.
func (v *VM) Controls(ctx context.Context) (target.Controls, error) {
	var c target.Controls
	err := v.fetch(ctx, http.MethodGet, "http://"+v.Admin+"/admin/controls", nil, &c)
	return c, err
}

// SetControls changes the run-time controls of the VM's target.
func (v *VM) SetControls(ctx context.Context, change func(c *target.Controls)) error {
	c, err := v.Controls(ctx)
	if err != nil {
		return err
	}
	change(&c)
	return v.fetch(ctx, http.MethodPost, "http://"+v.Admin+"/admin/controls", c, nil)
}

func (v *VM) fetch(ctx context.Context, method, url string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var sent io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return Error.Wrap(err)
		}
		sent = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, sent)
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return Error.New("%s %s: status %d", method, url, response.StatusCode)
	}
	if reply == nil {
		return nil
	}
	return Error.Wrap(json.NewDecoder(response.Body).Decode(reply))
}

// AwaitReady waits until every node has read all published values and its seats hold tokens.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	return f.Await(ctx, func(s Status) bool { return s.Ready && s.LimitsReady })
}

// AwaitPreset waits until the preset is in force on every running node.
func (f *Fleet) AwaitPreset(ctx context.Context, name string) error {
	return f.Await(ctx, func(s Status) bool { return s.ActivePreset == name })
}

// Await waits until the condition holds for the status of every running node or ctx ends.
func (f *Fleet) Await(ctx context.Context, condition func(s Status) bool) error {
	const poll = 10 * time.Millisecond
	return f.each(func(v *VM) error {
		for {
			select {
			case <-v.Node.Done():
				return nil
			default:
			}
			s, err := v.Status(ctx)
			if err == nil && condition(s) {
				return nil
			}
			select {
			case <-ctx.Done():
				return Error.New("node %s: condition not met: %+v (%v)", v.Name, s, err)
			case <-time.After(poll):
			}
		}
	})
}
