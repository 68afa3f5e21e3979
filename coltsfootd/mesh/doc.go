// Package mesh builds and runs a node on a platform that publishes its targets and its policy in one store.
package mesh
