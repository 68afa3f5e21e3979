// Package explanation turns the decisions about a request into sentences.
package explanation
