// Package quotas enforces the fleet-wide rate limits of client accounts.
package quotas
