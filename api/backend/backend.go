// Package backend defines the interface to one backend server (leaf).
package backend

import (
	"context"
	"errors"
	"time"

	"cyclamenstream/api/verdict"
)

// Errors of a Session.
var (
	// ErrRefused means that the leaf refused the call and did not run it (load shedding, draining).
	ErrRefused = errors.New("leaf refused the call")
	// ErrSnapshotGone means that the leaf does not hold the shard at the named snapshot. It did not run the call.
	ErrSnapshotGone = errors.New("leaf does not hold the snapshot")
	// ErrStopped means that the leaf stopped the call because of its timeout or a cancellation. It may have run.
	ErrStopped = errors.New("leaf stopped the call")
	// ErrSessionLost means that the connection ended. A call in flight may still run until its timeout.
	ErrSessionLost = errors.New("session lost")
	// ErrMismatch means that an answer belongs to another call, snapshot or shard and was dropped.
	ErrMismatch = errors.New("answer does not match the call")
)

// Call is a request to one shard on one leaf.
type Call struct {
	// ID is unique for each send. The leaf echoes it.
	ID       string
	Service  string
	Snapshot string
	Shard    uint32
	Payload  []byte
	// Timeout is the time that the leaf may spend. The leaf counts it from receipt of the call. It must be positive.
	Timeout time.Duration
	// Attempt records when bytes may be sent and how the leaf responds. It must not be nil.
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
	// Sequence orders the snapshots of a service. A newer one has a higher sequence.
	Sequence uint64
	// ShardCount is the number of shards of the whole snapshot.
	ShardCount uint32
	// Shards lists the shards that this leaf holds, in ascending order.
	Shards []uint32
}

// Status is a leaf's report on itself. The reported load lags behind the actual one.
type Status struct {
	BootID    string
	Snapshots []SnapshotInfo
	// InFlight is the number of calls that the leaf reports as running.
	InFlight uint32
	// Draining is set if the leaf must get no new work.
	Draining bool
}

// Session is one connection to a leaf. It never reconnects. Once it is lost, a new one must be dialled, so that a
// restarted leaf gets no work before its owner knows of the restart. Implementations are safe for concurrent use.
type Session interface {
	// Do sends a call and waits until the leaf has ended it or the session is lost. When ctx ends first, Do asks the
	// leaf to stop the call and still waits for its end, so that the slot is not reused too early. After the call's
	// timeout plus EndGrace it returns an error that wraps ErrSessionLost.
	Do(ctx context.Context, call Call) (Reply, error)
	// Status asks the leaf for its status. It runs no query.
	Status(ctx context.Context) (Status, error)
	// Done returns a channel that is closed when the session is lost or closed.
	Done() <-chan struct{}
	// Close ends the session.
	Close() error
}

// EndGrace is added to a call's timeout before its slot may be reused without a response from the leaf. It covers the
// network delay to the leaf, which is 20 ms between the farthest regions, and the scheduling delay of both processes.
const EndGrace = 250 * time.Millisecond

// Dialer opens sessions.
type Dialer interface {
	// Dial opens a connection to the address (host:port) and verifies that the leaf answers.
	Dial(ctx context.Context, address string) (Session, error)
}
