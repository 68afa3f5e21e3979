// Package transport makes HTTP requests that net/http does not retry on its own once they may have been sent.
package transport
