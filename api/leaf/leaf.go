// Package leaf defines the interface to the slots of the leaves of the services that this node owns.
package leaf

import (
	"context"
	"time"

	"cyclamenstream/api/backend"
)

// Replica is a leaf that holds a shard at a snapshot.
type Replica struct {
	VM   string
	Zone string
}

// Snapshot is a snapshot of a service as the leaves report it.
type Snapshot struct {
	ID         string
	Sequence   uint64
	ShardCount uint32
	// Replicas lists, for each shard (index 0 to ShardCount-1), the connected leaves that hold it.
	Replicas [][]Replica
}

// SlotRequest describes the slot that Acquire waits for.
type SlotRequest struct {
	Service  string
	Snapshot string
	Shard    uint32
	Priority int
	// Deadline ends the wait. Acquire then returns an error with CodeDeadline or CodeOverloaded.
	Deadline time.Time
	// Exclude lists leaves that must not be used, such as leaves that were already tried.
	Exclude []string
	// Immediate makes Acquire fail at once with CodeOverloaded when no slot is free. Hedges set it.
	Immediate bool
	// Alone asks for a leaf that runs no other call, and keeps other calls off it until the slot is free. It is used
	// for requests suspected of crashing leaves.
	Alone bool
}

// Slot is a permit for one call on a leaf.
type Slot interface {
	// VM returns the leaf's VM.
	VM() string
	// BootID returns the boot identifier that the leaf had when the slot was granted.
	BootID() string
	// Latency95 returns the 95th percentile of the service's recent latencies, or 0 when too few are known.
	Latency95() time.Duration
	// Do checks ownership, freshness and that the leaf may get work, and then sends the call. The slot cannot be used
	// again. Do returns early when ctx ends, but the slot stays in use until the leaf has ended the call. A failed
	// check returns an error with verdict "not run". Other errors wrap those of package backend in a verdict.Error.
	Do(ctx context.Context, call backend.Call) (backend.Reply, error)
	// Release returns an unused slot. It does nothing after Do.
	Release()
}

// Crash reports that a leaf's session was lost and that the leaf is connected again.
type Crash struct {
	Service string
	VM      string
	// Running lists the identifiers of the calls that were in flight.
	Running []string
	// SameBoot is set if the leaf still has the same boot identifier. It did not crash, only its session was lost.
	SameBoot bool
}

// Pool grants the slots of the owned services' leaves. Implementations are safe for concurrent use.
type Pool interface {
	// Snapshots returns the known snapshots of an owned service, newest first.
	Snapshots(service string) []Snapshot
	// Acquire waits for a slot on a leaf that holds the shard at the snapshot. Its errors have verdict "not run".
	Acquire(ctx context.Context, request SlotRequest) (Slot, error)
	// Crashes returns the channel that reports lost leaves when they are connected again. A leaf with the same boot
	// identifier as before is reported only if calls were in flight. A full channel drops the oldest report.
	Crashes() <-chan Crash
}
