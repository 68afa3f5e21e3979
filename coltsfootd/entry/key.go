package entry

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/route"
)

const bearerScheme = "bearer"

// bearerKey returns the key in the Authorization header. present is false if the request has no such header; ok is
// false if it has several or a malformed one.
func bearerKey(r *http.Request) (key string, present, ok bool) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return "", false, true
	}
	if len(values) > 1 {
		return "", true, false
	}
	scheme, key, found := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	if !found || !strings.EqualFold(scheme, bearerScheme) || key == "" || strings.ContainsAny(key, " \t,") {
		return "", true, false
	}
	return key, true, true
}

// authenticate returns the client account of the request, which is empty on open routes.
func authenticate(snapshot *fleet.Snapshot, r *http.Request, matched route.Route) (account.Account, call.Reason) {
	if matched.Open {
		return account.Account{}, ""
	}
	key, present, ok := bearerKey(r)
	if !ok {
		return account.Account{}, call.ReasonMalformedRequest
	}
	if !present {
		return account.Account{}, call.ReasonKeyMissing
	}
	a, known := snapshot.AccountByKey(key)
	if !known {
		return account.Account{}, call.ReasonKeyUnknown
	}
	if !matched.AllowsAccount(a.ID) {
		return account.Account{}, call.ReasonAccountNotAllowed
	}
	return a, ""
}

// keyQueryParameters are query parameters that by convention carry keys; a request with one of them is refused.
var keyQueryParameters = map[string]bool{
	"api_key": true, "apikey": true, "api-key": true, "access_token": true, "authorization": true,
}

// exposesKey reports whether the path, query, a forwarded header or the body would reveal a key to the target.
// The caller's own key is found anywhere in them. Other keys are published as hashes only, so they are found only if
// they are a whole query value or path segment.
func exposesKey(snapshot *fleet.Snapshot, r *http.Request, body []byte) bool {
	if exposesPublishedKey(snapshot, r) {
		return true
	}
	for _, value := range r.Header.Values("Authorization") {
		_, key, found := strings.Cut(strings.TrimSpace(value), " ")
		if !found {
			key = value
		}
		if key = strings.TrimSpace(key); key != "" && requestContainsKey(r, body, key) {
			return true
		}
	}
	return false
}

func exposesPublishedKey(snapshot *fleet.Snapshot, r *http.Request) bool {
	for name, values := range r.URL.Query() {
		if keyQueryParameters[strings.ToLower(name)] {
			return true
		}
		for _, value := range values {
			if _, known := snapshot.AccountByKey(value); known {
				return true
			}
		}
	}
	for segment := range strings.SplitSeq(r.URL.Path, "/") {
		if _, known := snapshot.AccountByKey(segment); known {
			return true
		}
	}
	return false
}

func requestContainsKey(r *http.Request, body []byte, key string) bool {
	if bytes.Contains(body, []byte(key)) {
		return true
	}
	uri := r.URL.RequestURI()
	if strings.Contains(uri, key) {
		return true
	}
	if unescaped, err := url.QueryUnescape(uri); err == nil && strings.Contains(unescaped, key) {
		return true
	}
	for _, values := range filterHeaders(r.Header) {
		for _, value := range values {
			if strings.Contains(value, key) {
				return true
			}
		}
	}
	return false
}

// forwardedHeaders are the request headers that are passed to targets. All others are dropped, because an unknown
// header may carry a key.
var forwardedHeaders = map[string]bool{
	"Accept":            true,
	"Accept-Language":   true,
	"Content-Type":      true,
	"Content-Language":  true,
	"Content-Encoding":  true,
	"If-Match":          true,
	"If-None-Match":     true,
	"If-Modified-Since": true,
	"Range":             true,
	"Traceparent":       true,
	"Tracestate":        true,
	"User-Agent":        true,
}

func filterHeaders(header http.Header) http.Header {
	kept := make(http.Header, len(forwardedHeaders))
	for name, values := range header {
		if forwardedHeaders[name] {
			kept[name] = values
		}
	}
	return kept
}

func isOperationsPath(path string) bool {
	return path == OperationsPath || strings.HasPrefix(path, OperationsPath+"/")
}

type callbackCloser struct {
	io.ReadCloser
	onClose func()
}

func withCloseCallback(rest io.ReadCloser, onClose func()) io.ReadCloser {
	return callbackCloser{rest, onClose}
}

// Close closes the body and then calls onClose.
func (c callbackCloser) Close() error {
	defer c.onClose()
	return c.ReadCloser.Close()
}
