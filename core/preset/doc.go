// Package preset holds the published section of presets, of which exactly one is in force.
package preset
