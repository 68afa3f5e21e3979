// Package preset defines the published section of presets, of which exactly one is active.
package preset
