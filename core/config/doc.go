// Package config stores the published configuration sections of a node and schedules the calls that fetch newer versions.
package config
