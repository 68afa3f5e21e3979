// Package transport makes HTTP requests that net/http does not repeat by itself after they may have been sent.
package transport
