package localtarget

import (
	"context"
	"errors"
	"net/http"

	"coltsfootusher.example/coltsfootd/upstream"
	"coltsfootusher.example/core/dialect"
)

// HealthDialect reads the answer of a target to a health check.
type HealthDialect interface {
	ReadHealth(status int, h http.Header) dialect.HealthAnswer
}

// errNoHealthPath means that the published values contain no health check path for the local target.
var errNoHealthPath = errors.New("no health check path is published")

// HealthProber checks the health of the local target.
type HealthProber struct {
	service string
	dialect HealthDialect
	pool    *upstream.Pool
	views   Views
	// countRequest counts a health check as a request to the target.
	countRequest func()
}

// NewHealthProber returns a prober of the local target, which belongs to the service and is reached through the pool.
func NewHealthProber(service string, dialect HealthDialect, pool *upstream.Pool) *HealthProber {
	return &HealthProber{service: service, dialect: dialect, pool: pool}
}

// Attach sets the source of the published health check path, and the function that counts a health check as a request to the
// target. It must be called before any check.
func (h *HealthProber) Attach(views Views, countRequest func()) {
	h.views, h.countRequest = views, countRequest
}

// Serves reports whether the local target has this id, serves, and is not leaving.
func (h *HealthProber) Serves(ctx context.Context, id string) bool {
	answer, err := h.check(ctx, false)
	return err == nil && answer.Target == id && answer.Healthy && !answer.Status.Leaving
}

// check sends a health check to the local target, on a new connection if newConn is set, and returns its answer.
func (h *HealthProber) check(ctx context.Context, newConn bool) (dialect.HealthAnswer, error) {
	v := h.views.View()
	if v == nil {
		return dialect.HealthAnswer{}, errNoHealthPath
	}
	published, known := v.Service(h.service)
	if !known || published.HealthPath == "" {
		return dialect.HealthAnswer{}, errNoHealthPath
	}
	h.countRequest()
	response, err := h.pool.Do(ctx, &upstream.Request{
		Method: http.MethodGet, URI: published.HealthPath, Host: h.pool.Address(), Header: http.Header{},
		NewConn: newConn, Epoch: everyEpoch,
	})
	if err != nil {
		return dialect.HealthAnswer{}, err
	}
	response.Close()
	return h.dialect.ReadHealth(response.Status, response.Header), nil
}
