// Package decision records routing and admission decisions as log lines, in counters and in a ring buffer that
// operators can query.
package decision
