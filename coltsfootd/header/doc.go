// Package header follows the headers of HTTP messages while they are received, and estimates the memory that they take.
package header
