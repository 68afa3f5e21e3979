// Package service holds the published section of services and the failure domains that serve them.
package service
