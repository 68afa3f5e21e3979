// Package meshsetting holds the settings of a node on a platform that publishes targets and policy as one store.
package meshsetting
