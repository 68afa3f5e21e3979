// Package balance chooses the node that handles a call, from the loads that nodes report with their responses.
//
// A Balancer is not safe for concurrent use; its owner guards it with a mutex.
package balance
