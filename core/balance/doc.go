// Package balance chooses among the targets of a service.
package balance
