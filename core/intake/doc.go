// Package intake limits the lookups of a route that a node forwards while the services behind the route lack capacity.
package intake
