package deployment

// Policy is the operator's configuration.
type Policy struct {
	Version int
	Routes  []Route
	Tenants []Tenant
}

// Route is one route.
type Route struct {
	Host, Prefix, Service, Kind string
	TimeoutS, TargetLatencyS    float64
	MaxAttempts, Priority       int
	AllowAnonymous              bool
	// Split takes the place of Service.
	Split []Share
}

// Share is the part of a service in a split.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Tenant is one tenant.
type Tenant struct {
	Name     string
	Keys     []string
	RatePerS float64
	Burst    float64
}

// PutPolicy writes the configuration.
func (d *Deployment) PutPolicy(version string, routes []Route, tenants []Tenant) int64 {
	services := map[string]bool{}
	for _, b := range d.Backends {
		services[b.Service] = true
	}
	routeRows, tenantRows, serviceRows := [][]any{}, [][]any{}, [][]any{}
	for _, r := range routes {
		var service, split any
		if service = r.Service; r.Split != nil {
			service, split = nil, r.Split
		}
		routeRows = append(routeRows, []any{
			r.Host, r.Prefix, service, split, r.Kind, r.TimeoutS, r.TargetLatencyS, r.MaxAttempts, r.Priority, r.AllowAnonymous,
		})
	}
	for _, t := range tenants {
		tenantRows = append(tenantRows, []any{t.Name, t.Keys, t.RatePerS, t.Burst})
	}
	for s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 934})
	}
	return d.Store.Put("op/config", map[string]any{
		"version": version,
		"routes": map[string]any{"columns": []string{
			"host", "prefix", "service", "traffic_split", "kind", "timeout_s", "target_latency_s", "max_attempts", "priority", "allow_anonymous",
		}, "rows": routeRows},
		"tenants":  map[string]any{"columns": []string{"name", "api_keys", "rate_per_s", "burst"}, "rows": tenantRows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections"}, "rows": serviceRows},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": d.MaxBodyBytes, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
}
