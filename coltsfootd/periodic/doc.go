// Package periodic runs a function at an interval.
package periodic
