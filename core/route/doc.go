// Package route defines the published "routes" section, which maps path prefixes to services.
package route
