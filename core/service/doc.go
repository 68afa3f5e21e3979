// Package service defines the published section of services and the failure domains in which they run.
package service
