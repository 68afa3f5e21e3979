// Package published defines the policy that operators publish as one versioned value: routes, client accounts, services and
// caller limits.
package published
