// Package registry holds the port to the platform's registry: the operators' routing configuration, the leaves and the
// nodes of the tier.
package registry

import (
	"context"
	"errors"
	"time"

	"cyclamenstream/api/route"
)

// ErrNoLease says that a lease has ended. Every other error of a Registry means that it did not answer or is unavailable;
// a write may then have taken effect, or may take effect later.
var ErrNoLease = errors.New("no such lease")

// Leaf is one backend server as the registry lists it.
type Leaf struct {
	// ID names one leaf; requests are addressed to it, so that another server at the same address refuses them.
	ID      string
	Service string
	// Address is host:port.
	Address string
	Zone    string
	// Slots is the number of requests that the leaf runs at once; at least 1.
	Slots int
	// Draining leaves get no new work.
	Draining bool
	// WarmupLeft is how much longer the leaf stays cold, counted from the read that first returned this entry.
	WarmupLeft time.Duration
	// Boot changes whenever the leaf starts, also under the same ID: the Unix time of its start in milliseconds.
	Boot int64
	// Revision is the registry's revision of the entry.
	Revision uint64
}

// Member is one node of the tier.
type Member struct {
	// ID is the name of the VM.
	ID     string
	Zone   string
	Region string
	// CallerAddress is host:port where callers connect; PeerAddress is where other nodes send notices.
	CallerAddress string
	PeerAddress   string
	// Boot is the Unix time of the process's start in milliseconds.
	Boot int64
	// Capacity is the processor time that the node may use, in cores; 0 if it is not known.
	Capacity float64
}

// OperatorState holds the data that the operators have written.
type OperatorState struct {
	// Table is nil while there is no configuration.
	Table *route.Table
	// Evacuated lists the zones whose leaves get no work, in ascending order.
	Evacuated []string
}

// State is the content of the registry. Lists are in ascending order of their identifiers.
type State struct {
	OperatorState
	Leaves  []Leaf
	Members []Member
	// Skipped counts the entries that could not be used.
	Skipped int
	// Revision is the registry's revision up to which all changes are included.
	Revision uint64
}

// Consistency chooses between a linearizable and a serializable read.
type Consistency bool

// The consistency levels of reads.
const (
	// Linearizable reads return the newest state.
	Linearizable Consistency = false
	// Serializable reads cost a tenth and may be some seconds old.
	Serializable Consistency = true
)

// Registry is the platform's registry. Implementations are safe for concurrent use; ctx bounds every call.
type Registry interface {
	// Read reads everything.
	Read(ctx context.Context) (State, error)
	// ReadOperatorState reads what the operators have written.
	ReadOperatorState(ctx context.Context, c Consistency) (OperatorState, error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew keeps a lease for another time to live, or returns ErrNoLease.
	Renew(ctx context.Context, lease uint64) error
	// Publish writes this node's entry, which ends with the lease. It returns ErrNoLease if the lease has ended.
	Publish(ctx context.Context, lease uint64, m Member) error
	// Revoke ends a lease and removes its entry.
	Revoke(ctx context.Context, lease uint64) error
}
