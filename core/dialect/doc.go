// Package dialect describes what callers and targets say in their own headers, in the terms of the product.
package dialect
