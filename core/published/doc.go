// Package published holds what operators publish as one versioned value: routes, client accounts, services and bounds.
package published
