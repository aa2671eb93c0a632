// Package leaf holds the port to the slots of the leaves of the services that this node owns.
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
	// Deadline is when the wait is pointless; Acquire then returns CodeDeadline or CodeOverloaded.
	Deadline time.Time
	// Exclude lists leaves that must not be used, such as the one already tried.
	Exclude []string
	// Immediate makes Acquire fail at once with CodeOverloaded when no slot is free. Hedges set it.
	Immediate bool
	// Alone asks for a leaf that runs nothing else, and keeps others off it until the slot is free. It is used for
	// requests suspected of crashing leaves.
	Alone bool
}

// Slot is the right to one call on a leaf.
type Slot interface {
	// VM returns the leaf's VM.
	VM() string
	// BootID returns the boot identifier of the leaf when the slot was granted.
	BootID() string
	// Latency95 returns the 95th percentile of the service's recent latencies, 0 when too few are known.
	Latency95() time.Duration
	// Do checks ownership, freshness and that the leaf may get work, and then sends the call. It uses the slot up. It
	// returns early when ctx ends; the slot stays in use until the leaf has ended the call. A failed check returns an
	// error with verdict "not run"; errors otherwise wrap those of package backend in a verdict.Error.
	Do(ctx context.Context, call backend.Call) (backend.Reply, error)
	// Release gives an unused slot back. It does nothing after Do.
	Release()
}

// Crash reports that a leaf's session was lost and that the leaf is back.
type Crash struct {
	Service string
	VM      string
	// Running lists the identifiers of the calls that were under way.
	Running []string
	// SameBoot says that the leaf came back with the same boot identifier: it did not crash, only its session was lost.
	SameBoot bool
}

// Pool gives out the slots of the owned services' leaves. Implementations are safe for concurrent use.
type Pool interface {
	// Snapshots returns the known snapshots of an owned service, newest first.
	Snapshots(service string) []Snapshot
	// Acquire waits for a slot on a leaf that holds the shard at the snapshot. Its errors have verdict "not run".
	Acquire(ctx context.Context, request SlotRequest) (Slot, error)
	// Crashes returns the channel on which leaves are reported that were lost and are back: those with another boot
	// identifier, and those with the same one if calls were under way. It is bounded; a full channel drops the oldest.
	Crashes() <-chan Crash
}
