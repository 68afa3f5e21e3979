// Package server runs the HTTP listeners of the stand-ins.
package server
