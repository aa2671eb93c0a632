package cluster

import (
	"context"
	"time"

	"cyclamenstream/api/registry"
)

// Notice is what a node that has just read the registry tells the others: what has changed since its last read. Many
// changes are told in several notices, each leading from the state that the one before it led to.
type Notice struct {
	Sender string
	// From is the address that the notice came from.
	From string
	// Revision is the registry's revision of the read.
	Revision uint64
	// Digest stands for the state after the changes, Base for the one before them.
	Digest, Base uint64
	// More says that further notices of the same read follow, so that this one leads to no state that was read.
	More bool
	// Partial says that some changes are left out.
	Partial bool
	// ConfigVersion is the version of the routing configuration, which is not part of the changes.
	ConfigVersion uint64
	Evacuated     []string
	Leaves        []registry.Leaf
	LeavesGone    []string
	Members       []registry.Member
	MembersGone   []string
}

// Peers carries notices between nodes. They may be lost, come twice or out of order. Implementations are safe for
// concurrent use and never block.
type Peers interface {
	// SendNotice sends a notice to the nodes at the addresses.
	SendNotice(addresses []string, n Notice)
	// Notices returns the channel of received notices; the oldest are dropped when it is full.
	Notices() <-chan Notice
}

// ViewRequest asks another node for its view. It states what the asking node already knows of the registry.
type ViewRequest struct {
	// Digest stands for its state, 0 if it knows none.
	Digest        uint64
	ConfigVersion uint64
	// Address is where the node listens for its peers.
	Address string
}

// View is what a node knows of the registry.
type View struct {
	// State lacks the routing configuration if the asking node has its version. With Same set it has a revision only.
	State registry.State
	// Same says that the asking node knows this state.
	Same bool
	// Confirmed says that the state was known to be the newest Age ago.
	Confirmed bool
	Age       time.Duration
}

// Views asks other nodes for their view. Implementations are safe for concurrent use.
type Views interface {
	// Fetch returns the view of the node that listens for its peers at address. It fails if that node cannot be reached
	// before ctx ends, or knows nothing itself.
	Fetch(ctx context.Context, address string, request ViewRequest) (View, error)
}
