package fleet

import "coltsfootusher.example/core/route"

// routeIndex finds routes by their prefixes, at a cost that depends on the length of the prefixes and not on the number of
// routes.
type routeIndex struct {
	// byPrefix holds the routes with the same prefix, which differ in their hosts, in the published order.
	byPrefix map[string][]route.Route
	// longest is the length of the longest prefix.
	longest int
}

func newRouteIndex(routes []route.Route) routeIndex {
	x := routeIndex{byPrefix: make(map[string][]route.Route, len(routes))}
	for _, r := range routes {
		x.byPrefix[r.Prefix] = append(x.byPrefix[r.Prefix], r)
		x.longest = max(x.longest, len(r.Prefix))
	}
	return x
}

// find returns the first accepted route with the longest prefix that matches the path.
func (x routeIndex) find(path string, accept func(r *route.Route) bool) (route.Route, bool) {
	for length := min(len(path), x.longest); length >= 0; length-- {
		if !endsAtSegment(path, length) {
			continue
		}
		routes := x.byPrefix[path[:length]]
		for i := range routes {
			if routes[i].MatchesPath(path) && accept(&routes[i]) {
				return routes[i], true
			}
		}
	}
	return route.Route{}, false
}

// endsAtSegment reports whether the first length bytes of the path can be the prefix of a route that matches the path: they are
// the whole path, or end before or after a slash.
func endsAtSegment(path string, length int) bool {
	return length == len(path) || path[length] == '/' || length > 0 && path[length-1] == '/'
}
