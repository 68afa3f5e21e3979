// Package platform reads and watches the values that the operators' configuration service publishes.
package platform
