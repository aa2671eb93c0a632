// Package query defines the request of a caller and the answer to it.
package query

import (
	"math"
	"time"

	"cyclamenstream/api/verdict"
)

// Limits on a request.
const (
	MaxPayloadBytes    = 256 << 10
	MaxIdentifierBytes = 128
)

// Request is one query of a caller to a service.
type Request struct {
	// Caller names the caller. It is required when the request is not idempotent.
	Caller string
	// ID is unique for each request of a caller. Resends use the same ID. It is required when the request is not
	// idempotent and generated otherwise.
	ID string
	// Service is the name of the requested service.
	Service string
	// Profile selects one of the service's allowed profiles. Empty means the service's default profile.
	Profile string
	// Shards limits the query to these shards, in ascending order. Empty means all shards of the snapshot.
	Shards []uint32
	// Payload is passed to each leaf unchanged. It has at most MaxPayloadBytes.
	Payload []byte
	// Deadline is the time by which the answer must be sent, on the local monotonic clock.
	Deadline time.Time
	// NonIdempotent marks a request that must run at most once. A profile can require it too.
	NonIdempotent bool
	// Forwarded is set on a request that another node has forwarded. Such a request is not forwarded again.
	Forwarded bool
}

// ShardResult is the answer of one shard.
type ShardResult struct {
	Shard uint32
	Data  []byte
	// Covered is the share of the shard that the leaf has searched, from 0 to 1.
	Covered float64
}

// Coverage says how much of the query's pinned snapshot an answer covers.
type Coverage struct {
	// Total is the number of requested shards in the pinned snapshot.
	Total uint32
	// Covered is the sum of the covered shares of all shards, from 0 to Total.
	Covered float64
	// Missing lists the shards without any answer, in ascending order.
	Missing []uint32
}

// Complete reports whether every shard was searched completely.
func (c Coverage) Complete() bool {
	return c.Total > 0 && len(c.Missing) == 0 && c.Covered >= float64(c.Total)
}

// stepsPerPercent is the resolution of Percent.
const stepsPerPercent = 100

// Percent returns the coverage in percent, rounded down to two decimals. It is 100 only if the answer is complete.
func (c Coverage) Percent() float64 {
	if c.Total == 0 {
		return 0
	}
	if c.Complete() {
		return 100
	}
	p := math.Floor(c.Covered/float64(c.Total)*100*stepsPerPercent) / stepsPerPercent
	return min(p, 100-1.0/stepsPerPercent)
}

// Answer is the merged answer of a query.
type Answer struct {
	RequestID string
	Service   string
	// Snapshot identifies the snapshot that every result comes from.
	Snapshot string
	Coverage Coverage
	// Results are in ascending order of shards, at most one for each.
	Results []ShardResult
	Verdict verdict.Verdict
	// LeafRequests is the number of requests sent to leaves, including hedges and retries.
	LeafRequests uint32
	// Node is the VM that ran the query.
	Node string
}
