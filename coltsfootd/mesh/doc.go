// Package mesh builds and runs a node on a platform that publishes targets and policy as one store.
package mesh
