// Package decision records routing and admission decisions: a log line, a counter and a bounded memory for operators.
package decision
