// Package crash identifies requests that crash the local target, and notifies the other nodes of the service.
package crash
