// Package quotas admits requests within the rate of their client account over the whole fleet.
package quotas
