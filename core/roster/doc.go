// Package roster keeps the published list of targets and determines which of them receive new requests.
package roster
