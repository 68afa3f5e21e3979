// Package explanation describes the decisions about a request in sentences.
package explanation
