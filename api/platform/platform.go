// Package platform defines the interfaces to the platform: a key-value store and the list of VMs.
package platform

import (
	"context"
	"errors"
)

// Errors of a Store. Every other error means that the store did not answer in time or is unavailable, and that a write
// may have taken effect.
var (
	// ErrConflict means that the key did not have the expected version and nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrTooLarge means that the value is larger than MaxValueBytes and nothing was written.
	ErrTooLarge = errors.New("value too large")
	// ErrNotSent means that the store cannot have received the call.
	ErrNotSent = errors.New("store not reached")
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Entry is the value of a key at a version. A key that does not exist has version 0 and no value. Versions of a key
// grow with each write, except when the store is restored from an older state.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64
}

// Store is the platform's key-value store. Implementations are safe for concurrent use.
type Store interface {
	// Get reads a key. It may return an old value while the store recovers.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key has the expected version (0 for a key that does not exist) and returns
	// the new version. After an error other than ErrConflict, ErrTooLarge and ErrNotSent, the value may have been
	// written.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error)
	// Watch waits until the key has a version above after and returns the entry, or returns ctx's error.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
}

// Kind says what runs on a VM.
type Kind string

// The kinds of VM.
const (
	KindNode    Kind = "node"
	KindBackend Kind = "backend"
)

// State is the state of a VM in the platform's list.
type State string

// The states of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	// ID is unique and never reused for another VM.
	ID     string
	Zone   string
	Region string
	Kind   Kind
	State  State
	// Service is the service of a backend server. It is empty for nodes.
	Service string
	// Address is host:port. It is the peer address of a node or the service address of a backend server.
	Address string
	// CallerAddress is host:port of a node's HTTP interface. It is empty for backend servers.
	CallerAddress string
}

// Fleet is the list of VMs at a revision. Revisions grow with each change.
type Fleet struct {
	Revision uint64
	VMs      []VM
}

// Inventory provides the platform's list of VMs. The list lags behind the actual state of the VMs.
type Inventory interface {
	// List returns the current list.
	List(ctx context.Context) (Fleet, error)
}
