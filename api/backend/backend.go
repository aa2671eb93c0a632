// Package backend holds the port to one backend server (leaf).
package backend

import (
	"context"
	"errors"
	"time"

	"cyclamenstream/api/verdict"
)

// Errors of a Session.
var (
	// ErrRefused says that the leaf refused the call and did not run it (load shedding, draining).
	ErrRefused = errors.New("leaf refused the call")
	// ErrSnapshotGone says that the leaf does not hold the shard at the named snapshot. It did not run the call.
	ErrSnapshotGone = errors.New("leaf does not hold the snapshot")
	// ErrStopped says that the leaf stopped the call because of its timeout or a cancellation. It may have run.
	ErrStopped = errors.New("leaf stopped the call")
	// ErrSessionLost says that the connection ended. A call under way may still run until its timeout.
	ErrSessionLost = errors.New("session lost")
	// ErrMismatch says that an answer belongs to another call, snapshot or shard. It was dropped.
	ErrMismatch = errors.New("answer does not match the call")
)

// Call is a request to one shard on one leaf.
type Call struct {
	// ID is unique for each send; the leaf echoes it.
	ID       string
	Service  string
	Snapshot string
	Shard    uint32
	Payload  []byte
	// Timeout is the time that the leaf may spend, counted by the leaf from its receipt. It must be positive.
	Timeout time.Duration
	// Attempt is told when bytes may leave and what the leaf said. It must not be nil.
	Attempt *verdict.Attempt
}

// Reply is the answer of one shard. ID, Snapshot and Shard equal those of the call.
type Reply struct {
	ID       string
	Snapshot string
	Shard    uint32
	// BootID changes whenever the leaf starts.
	BootID string
	Data   []byte
	// Covered is the share of the shard that was searched, from 0 to 1.
	Covered float64
}

// SnapshotInfo describes a snapshot as a leaf reports it.
type SnapshotInfo struct {
	ID string
	// Sequence orders the snapshots of a service; a newer one has a higher sequence.
	Sequence uint64
	// ShardCount is the number of shards of the whole snapshot.
	ShardCount uint32
	// Shards lists the shards that this leaf holds, in ascending order.
	Shards []uint32
}

// Status is a leaf's report on itself. Its load lags.
type Status struct {
	BootID    string
	Snapshots []SnapshotInfo
	// InFlight is the number of calls that the leaf says it runs.
	InFlight uint32
	// Draining says that the leaf wants no new work.
	Draining bool
}

// Session is one connection to a leaf. It never reconnects: once it is lost, a new one must be dialled, so that a
// restarted leaf gets no work before its owner knows. Implementations are safe for concurrent use.
type Session interface {
	// Do sends a call and waits until the leaf has ended it or the session is lost. When ctx ends first, Do asks the
	// leaf to stop the call and goes on waiting for the end, so that the slot is not reused too early; it gives up
	// after the call's timeout plus EndGrace with an error that wraps ErrSessionLost.
	Do(ctx context.Context, call Call) (Reply, error)
	// Status asks the leaf for its report. It runs no query.
	Status(ctx context.Context) (Status, error)
	// Done is closed when the session is lost or closed.
	Done() <-chan struct{}
	// Close ends the session.
	Close() error
}

// EndGrace is added to a call's timeout before its slot may be reused without word from the leaf: it covers the way to
// the leaf, 20 ms between the farthest regions, and the scheduling of both processes.
const EndGrace = 250 * time.Millisecond

// Dialer opens sessions.
type Dialer interface {
	// Dial opens a connection to the address (host:port) and makes sure that the leaf answers.
	Dial(ctx context.Context, address string) (Session, error)
}
