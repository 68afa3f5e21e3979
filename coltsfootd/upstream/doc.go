// Package upstream sends HTTP/1.1 requests over persistent connections and reports what is known about a failed request.
package upstream
