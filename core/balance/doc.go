// Package balance is the load balancer: it chooses the node for a call by the load that nodes report with their responses.
//
// A Balancer is not safe for concurrent use; its owner must hold a mutex.
package balance
