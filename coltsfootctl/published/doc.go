// Package published checks the files that operators publish, each one and across files.
package published
