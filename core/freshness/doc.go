// Package freshness tracks how long ago published state was last confirmed to be the latest.
package freshness
