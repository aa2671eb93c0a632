package cluster

import (
	"time"

	"cyclamenstream/api/registry"
)

// LatencyBuckets is the number of classes by which answers are counted. Class i ends at 2^((i+1)/2) ms; the last one has
// no end. It reaches to 4 s.
const LatencyBuckets = 24

// RolloutCounts is what a node has counted since it learned of a rollout. The counts are cumulative.
type RolloutCounts struct {
	// Sender is the name of the node's VM, Boot the Unix time of its start in milliseconds.
	Sender string
	Boot   int64
	// Service, Epoch and Request identify the rollout. Request is the revision of its request.
	Service string
	Epoch   uint64
	Request uint64
	// Age is the longest time for which the sender, or a node that it has heard of, has known the rollout.
	Age time.Duration
	// Judgement is what the sender takes for the rollout's state.
	Judgement registry.RolloutState
	// State is the latest state that the registry is known to hold, and Status its revision.
	State  registry.RolloutState
	Status uint64
	Counts []RolloutCount
}

// RolloutCount counts the answers of one version on one route.
type RolloutCount struct {
	Version, Route string
	Failures       uint32
	// Latencies counts all answers by latency.
	Latencies [LatencyBuckets]uint32
}

// Rollouts carries counts between nodes. They may be lost, duplicated or reordered. Implementations are safe for concurrent
// use and never block.
type Rollouts interface {
	// SendRolloutCounts sends counts to the nodes at the addresses, in several messages if they are many.
	SendRolloutCounts(addresses []string, c RolloutCounts)
	// RolloutCounts returns the channel of received counts. The oldest are dropped when it is full.
	RolloutCounts() <-chan RolloutCounts
}
