// Package entry accepts calls from callers: it authenticates the key, finds the route and applies the account's limit.
package entry
