package cluster

import (
	"context"
	"time"

	"cyclamenstream/api/registry"
)

// Notice reports what a node has found changed in the registry since its previous read. Many changes are split into
// several notices. Each of them applies to the state that the one before it produces.
type Notice struct {
	Sender string
	// From is the address that the notice was received from.
	From string
	// Epoch and Revision are the registry's at the read.
	Epoch, Revision uint64
	// Digest is the digest of the state after the changes, Base that of the state before them.
	Digest, Base uint64
	// More is set if further notices of the same read follow. The state after this notice is only an intermediate one.
	More bool
	// Age is the time since the beginning of the read.
	Age time.Duration
	// Partial is set if some changes are missing from the notice.
	Partial bool
	// ConfigVersion is the version of the routing configuration. The notice does not contain the configuration itself.
	ConfigVersion uint64
	Evacuated     []string
	Leaves        []registry.Leaf
	LeavesGone    []string
	Members       []registry.Member
	MembersGone   []string
	Quarantines   []registry.Quarantine
	// QuarantinesGone holds the identifiers of removed entries.
	QuarantinesGone []string
	Rollouts        []registry.Rollout
	// RolloutsGone holds the names of services that have neither a request nor a status any more.
	RolloutsGone []string
}

// Peers carries notices between nodes. Notices may be lost, duplicated or reordered. Implementations are safe for
// concurrent use and never block.
type Peers interface {
	// SendNotice sends a notice to the nodes at the addresses.
	SendNotice(addresses []string, n Notice)
	// Notices returns the channel of received notices. The oldest are dropped when it is full.
	Notices() <-chan Notice
}

// ViewRequest asks another node for its view. It states what the asking node already knows of the registry.
type ViewRequest struct {
	// Digest is the digest of its state, or 0 if it has none.
	Digest        uint64
	ConfigVersion uint64
	// Address is where the node listens for its peers.
	Address string
}

// View is a node's copy of the registry's content.
type View struct {
	// State lacks the routing configuration if the asking node already has that version. If Same is set, only the
	// epoch and the revision are set.
	State registry.State
	// Same is set if the asking node already has this state.
	Same bool
	// Confirmed is set if the state was confirmed as the newest Age ago.
	Confirmed bool
	Age       time.Duration
}

// Views fetches the views of other nodes. Implementations are safe for concurrent use.
type Views interface {
	// Fetch returns the view of the node that listens for its peers at address. It fails if that node cannot be reached
	// before ctx ends, or has no view itself.
	Fetch(ctx context.Context, address string, request ViewRequest) (View, error)
}
