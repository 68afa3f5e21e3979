package fleet_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/route"
)

// Guards against a request that matches another route than the published one: the result must be that of comparing the path
// with all routes, the longest prefixes first and equal ones in the published order.
func TestRouteIsThatOfComparingAllRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Few letters and many slashes make prefixes of paths and of each other likely.
		path := rapid.StringMatching(`(/|/a|/b|a|\.\.){0,6}`)
		hosts := rapid.SampledFrom([]string{"", "h1", "h2"})
		routes := make([]route.Route, rapid.IntRange(0, 12).Draw(t, "routes"))
		for i := range routes {
			routes[i] = route.Route{Prefix: path.Draw(t, "prefix"), Host: hosts.Draw(t, "host"), Service: strconv.Itoa(i)}
		}
		s := fleet.NewSnapshot(1, routes, nil, nil, nil)
		host, requested := hosts.Draw(t, "requested host"), path.Draw(t, "path")
		got, ok := s.RouteForHost(host, requested)
		want, wantOK := routeByComparison(routes, requested, func(r route.Route) bool { return r.Host == "" || r.Host == host })
		assert.Equal(t, ok, wantOK)
		assert.DeepEqual(t, got, want)
		got, ok = s.Route(requested)
		leavesPrefix := strings.Contains(requested+"/", "/../")
		want, wantOK = routeByComparison(routes, requested, func(route.Route) bool { return !leavesPrefix })
		assert.Equal(t, ok, wantOK)
		assert.DeepEqual(t, got, want)
	})
}

func routeByComparison(routes []route.Route, path string, accept func(r route.Route) bool) (route.Route, bool) {
	byLength := slices.Clone(routes)
	slices.SortStableFunc(byLength, func(a, b route.Route) int { return len(b.Prefix) - len(a.Prefix) })
	for _, r := range byLength {
		if r.MatchesPath(path) && accept(r) {
			return r, true
		}
	}
	return route.Route{}, false
}

// BenchmarkRouteForHost looks up a route among as many as are published at times, and a long path that matches none.
func BenchmarkRouteForHost(b *testing.B) {
	routes := make([]route.Route, 1400)
	for i := range routes {
		routes[i] = route.Route{Prefix: fmt.Sprintf("/service%d/v1/", i), Service: "s"}
	}
	s := fleet.NewSnapshot(1, routes, nil, nil, nil)
	for name, path := range map[string]string{"known": "/service700/v1/items/17", "unknown": strings.Repeat("/", 8<<10)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.RouteForHost("h", path)
			}
		})
	}
}
