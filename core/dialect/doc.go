// Package dialect defines what the headers of callers and targets contain, independent of the names and formats that they use.
package dialect
