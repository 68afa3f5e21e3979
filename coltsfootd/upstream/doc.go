// Package upstream sends HTTP/1.1 requests over kept connections and says what is known of a request that failed.
package upstream
