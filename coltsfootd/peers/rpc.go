package peers

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"coltsfootusher.example/coltsfootd/upstream"
)

// Error is the class of errors of control messages.
var Error = errs.Class("peers")

// MaxMessageBytes limits a control message. It allows for a policy and a target list of the largest fleets, with room to grow.
const MaxMessageBytes = 4 << 20

// Call posts a control message to the peer at the address and decodes the response into reply, unless reply is nil.
func (t *Table) Call(ctx context.Context, address, path string, timeout time.Duration, message, reply any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := t.Get(address).Do(ctx, &upstream.Request{
		Method: http.MethodPost, URI: path, Host: address, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}},
	}, true)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Close()
	if response.Status != http.StatusOK {
		return Error.New("%s: status %d", path, response.Status)
	}
	if reply == nil {
		return nil
	}
	body, err = response.ReadBody(MaxMessageBytes)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(json.Unmarshal(body, reply))
}
