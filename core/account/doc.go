// Package account defines the published section of client accounts and their keys.
package account
