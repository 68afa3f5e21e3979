package socket_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/socket"
)

// Guards against a node whose queue and idle connections alone use up its file descriptors, whatever the size of the fleet: it
// could then accept neither requests nor messages of its peers.
func TestQueueAndIdleLimitsLeaveRoomForRunningRequests(t *testing.T) {
	for _, files := range []int{256, 4100, 8192} {
		for _, peers := range []int{0, 1, 11, 79} {
			b := socket.NewBudget(files)
			// Each peer keeps as many idle connections to this node as this node keeps to it.
			idle := 2*peers*b.MaxIdlePerPeer(peers) + b.MaxIdleToTarget()
			if files > 256 {
				assert.Assert(t, idle+b.MaxQueued() < files/2, "files %d, peers %d", files, peers)
			}
			assert.Assert(t, b.MaxIdlePerPeer(peers) >= 2 && b.MaxIdleToTarget() >= 1)
		}
	}
}

// Guards against a process that notices the lack of descriptors only when it can no longer accept connections.
func TestNearlyExhaustedBeforeDescriptorsRunOut(t *testing.T) {
	const files = 100
	b := socket.NewBudget(files)
	opened := 0
	for ; !b.NearlyExhausted(); opened++ {
		b.Opened()
	}
	assert.Assert(t, opened < files*9/10, "nearly exhausted at %d", opened)
	for range opened / 2 {
		b.Closed()
	}
	assert.Assert(t, !b.NearlyExhausted())
}
