// Package answer represents the answer to a call and transfers it between HTTP messages.
package answer
