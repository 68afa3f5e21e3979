// Package boottime provides the time since the machine booted, including time spent suspended.
package boottime
