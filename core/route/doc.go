// Package route holds the published section of routes from path prefixes to services.
package route
