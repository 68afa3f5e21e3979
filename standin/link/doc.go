// Package link is a fault-injecting TCP proxy that delays and cuts traffic by the failure domains of its two ends.
//
// Nodes dial from the IP address at which they listen, so a link knows the failure domain of a connection's source.
// Ready-made fault-injecting proxies apply a fault to all connections of a listener; a cut in one direction between
// two failure domains needs the source as well.
package link
