// Package registry defines the interface to the platform's registry, which holds the operators' routing configuration,
// the leaves and the nodes of the tier.
package registry

import (
	"context"
	"errors"
	"time"

	"cyclamenstream/api/route"
)

// Errors of a Registry that say what it has found. Every other error means that it did not answer or is unavailable. A write
// may then have taken effect, or may still take effect later.
var (
	// ErrNoLease means that a lease has ended.
	ErrNoLease = errors.New("no such lease")
	// ErrChanged means that an entry has been written again or removed.
	ErrChanged = errors.New("the entry has changed")
)

// MaxEntries is the largest number of entries that one call of Publish writes.
const MaxEntries = 32

// Leaf is one backend server as the registry lists it.
type Leaf struct {
	// ID identifies one leaf. Requests carry it, so that another server at the same address refuses them.
	ID      string
	Service string
	// Address is host:port.
	Address string
	Zone    string
	// Version is the version of the leaf's software. It may be empty.
	Version string
	// Slots is the number of requests that the leaf runs concurrently, at least 1.
	Slots int
	// Draining leaves get no new work.
	Draining bool
	// WarmupLeft is the remaining time that the leaf stays cold, counted from the read that first returned this entry.
	WarmupLeft time.Duration
	// Boot is the Unix time of the leaf's start in milliseconds. It changes with each start, also under the same ID.
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
	// CallerAddress is host:port where callers connect. PeerAddress is where other nodes send notices.
	CallerAddress string
	PeerAddress   string
	// Boot is the Unix time of the process's start in milliseconds.
	Boot int64
	// Capacity is the processor time that the node may use, in cores. It is 0 if it is not known.
	Capacity float64
	// Overloaded is set while the node's processor has little time left for further requests.
	Overloaded bool
}

// OperatorState holds the data that the operators have written.
type OperatorState struct {
	// Table is nil while there is no configuration.
	Table *route.Table
	// Evacuated lists the zones whose leaves get no work, in ascending order.
	Evacuated []string
	// RolloutRequests lists the rollouts that operators have requested, at most one for each service.
	RolloutRequests []RolloutRequest
}

// State is the content of the registry. Lists are in ascending order of their identifiers.
type State struct {
	OperatorState
	Leaves      []Leaf
	Members     []Member
	Quarantines []Quarantine
	// RolloutStatuses lists the statuses of the services' latest rollouts.
	RolloutStatuses []RolloutStatus
	// Skipped is the number of entries that were skipped because they are invalid.
	Skipped int
	// InvalidRollouts names the requests and statuses of rollouts among them, for the log.
	InvalidRollouts []string
	// Epoch is the number of times that the registry has been restored from a copy. Revisions of different epochs are
	// not comparable.
	Epoch uint64
	// Revision is the registry's revision up to which all changes are included in the state. Some changes up to
	// NewestRevision are included too if the state was read in several pages; 0 means none.
	Revision, NewestRevision uint64
}

// Consistency chooses between a linearizable and a serializable read.
type Consistency bool

// The consistency levels of reads.
const (
	// Linearizable reads return the newest state.
	Linearizable Consistency = false
	// Serializable reads cost a tenth of a linearizable read, and their result may be some seconds old.
	Serializable Consistency = true
)

// Registry is the platform's registry. Implementations are safe for concurrent use; ctx bounds every call.
type Registry interface {
	// Read reads the whole content of the registry.
	Read(ctx context.Context, c Consistency) (State, error)
	// ReadOperatorState reads what the operators have written. The state has neither leaves nor members.
	ReadOperatorState(ctx context.Context, c Consistency) (State, error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew extends a lease by its time to live, or returns ErrNoLease.
	Renew(ctx context.Context, lease uint64) error
	// Publish writes the entries of nodes, at most MaxEntries, and returns their revision. They are removed when the lease
	// ends, unless they are written again under another lease. Publish returns ErrNoLease if the lease has ended.
	Publish(ctx context.Context, lease uint64, members ...Member) (revision uint64, err error)
	// Remove removes a node's entry, or returns ErrChanged if the entry has another revision.
	Remove(ctx context.Context, member string, revision uint64) error
	// Revoke ends a lease and removes its entries.
	Revoke(ctx context.Context, lease uint64) error
}
