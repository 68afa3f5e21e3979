// Package account holds the published section of client accounts and their keys.
package account
