package localtarget

import (
	"context"
	"net/http"

	"coltsfootusher.example/coltsfootd/upstream"
	"coltsfootusher.example/core/dialect"
)

// HealthDialect reads the answer of a target to a health check.
type HealthDialect interface {
	ReadHealth(status int, h http.Header) dialect.HealthAnswer
}

// HealthProber checks the health of the local target.
type HealthProber struct {
	service string
	dialect HealthDialect
	pool    *upstream.Pool
	views   Views
}

// NewHealthProber returns a prober of the local target, which belongs to the service and is reached through the pool.
func NewHealthProber(service string, dialect HealthDialect, pool *upstream.Pool) *HealthProber {
	return &HealthProber{service: service, dialect: dialect, pool: pool}
}

// SetViews sets the source of the published health check path. It must be called before Serves.
func (h *HealthProber) SetViews(views Views) {
	h.views = views
}

// Serves reports whether the local target has this id, serves, and is not leaving.
func (h *HealthProber) Serves(ctx context.Context, id string) bool {
	v := h.views.View()
	if v == nil {
		return false
	}
	published, known := v.Service(h.service)
	if !known || published.HealthPath == "" {
		return false
	}
	response, err := h.pool.Do(ctx, &upstream.Request{
		Method: http.MethodGet, URI: published.HealthPath, Host: h.pool.Address(), Header: http.Header{},
	})
	if err != nil {
		return false
	}
	response.Close()
	answer := h.dialect.ReadHealth(response.Status, response.Header)
	return answer.Target == id && answer.Healthy && !answer.Status.Leaving
}
