package mesh

import (
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/body"
	"coltsfootusher.example/coltsfootd/memlimit"
)

const (
	bytesPerMB = 1_000_000
	// baseBytes is the memory of a node without requests: the program, the published values, recorded decisions and log lines.
	baseBytes = 20 * bytesPerMB
	// peerHeaderDivisor, responseHeaderDivisor and plainHeaderDivisor give the memory for headers at the address for other nodes,
	// of responses, and at each of the addresses of probes and operators as fractions of that at the entry.
	peerHeaderDivisor     = 2
	responseHeaderDivisor = 2
	plainHeaderDivisor    = 8
	// exemptResponseHeader is the memory of the header of each response that is not accounted.
	exemptResponseHeader = 8 << 10
	// responseBodyDivisor gives the memory for the buffered parts of responses as a fraction of that for request bodies.
	responseBodyDivisor = 2
	// bytesPerIdleConnection is the memory of a connection that is kept for later requests to a target or another node.
	bytesPerIdleConnection = 9 << 10
)

// memoryTerm is one part of the memory of a node.
type memoryTerm struct {
	name  string
	bytes int64
}

// headerMemory returns the memory for the headers at the entry.
func (n *Node) headerMemory() int64 {
	return int64(n.settings.HeaderMemoryShare * n.settings.MemoryMB * bytesPerMB)
}

// newMemoryBudgets builds the budgets of what arrives besides the headers of requests.
func (n *Node) newMemoryBudgets() {
	n.bodies = body.NewBudget(n.settings.MemoryMB)
	n.responseBodies = body.NewBudget(n.settings.MemoryMB / responseBodyDivisor)
	n.responseHeaders = memlimit.New(n.headerMemory()/responseHeaderDivisor, exemptResponseHeader)
	messages := int64(maxMessageMemory)
	if n.settings.MemoryMB > 0 {
		messages = min(messages, int64(messageMemoryShare*n.settings.MemoryMB*bytesPerMB))
	}
	n.messages = memlimit.New(messages, exemptMessageMemory)
}

// memoryTerms returns the most memory that each part of the node holds at a time.
func (n *Node) memoryTerms() []memoryTerm {
	terms := []memoryTerm{
		{"base", baseBytes},
		{"requestBodies", n.bodies.Limit()},
		{"responseBodies", n.responseBodies.Limit()},
		{"responseHeaders", n.responseHeaders.Limit()},
		{"messages", n.messages.Limit()},
		{"idleConnections", int64(n.sockets.MaxIdleConnections()) * bytesPerIdleConnection},
	}
	for _, name := range listenerNames {
		limits := n.clientLimits(name)
		terms = append(terms, memoryTerm{name + "Connections", int64(limits.Connections) * bytesPerConnection},
			memoryTerm{name + "Headers", limits.HeaderBytes})
	}
	return terms
}

// warnOfMemory logs that the limits of all parts together exceed the memory of the process.
func (n *Node) warnOfMemory() {
	sum := int64(0)
	for _, term := range n.memoryTerms() {
		sum += term.bytes
	}
	if memory := n.settings.MemoryMB * bytesPerMB; memory > 0 && float64(sum) > memory {
		_ = level.Warn(n.logger).Log("part", "node", "msg", "memoryMB is less than the limits of all parts together",
			"memoryMB", n.settings.MemoryMB, "limitsMB", sum/bytesPerMB)
	}
}

// memoryByTerm returns the terms by name, for the metrics.
func (n *Node) memoryByTerm() any {
	result := make(map[string]int64)
	for _, term := range n.memoryTerms() {
		result[term.name] = term.bytes
	}
	return result
}
