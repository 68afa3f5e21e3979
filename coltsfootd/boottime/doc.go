// Package boottime tells the time since the start of the machine, counting the time for which it was suspended.
package boottime
