// Package fleet joins the published sections into the immutable snapshot that traffic reads.
package fleet
