// Package meshsetting reads the settings of a node on a platform that publishes its targets and its policy in one store.
package meshsetting
