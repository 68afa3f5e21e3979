// Package fleet combines the published sections into the immutable snapshot that request handling reads.
package fleet
