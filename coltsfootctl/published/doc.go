// Package published validates the files that operators publish, each file by itself and the references between them.
package published
