// Package cluster defines a node's interfaces to the member set, to the ownership of services and to other nodes.
package cluster

import (
	"time"

	"cyclamenstream/api/platform"
)

// Member is a node in the member set.
type Member struct {
	VM platform.VM
	// Alive is set if this node has heard from the member within the lease time.
	Alive bool
	// Stopping is set if the member is in graceful shutdown.
	Stopping bool
}

// Membership is a node's view of the member set and of the VMs that may get work.
type Membership interface {
	// Self returns this node's VM.
	Self() platform.VM
	// Members returns the member set, self included, in order of VM identifier.
	Members() []Member
	// Leaves returns the backend servers of a service that may get new work. They are live, and neither they nor their
	// zone are out of service.
	Leaves(service string) []platform.VM
	// Changed returns a channel that is closed at the next change of members or leaves.
	Changed() <-chan struct{}
	// CheckFresh returns nil while this node's view is fresh enough to start new work. Otherwise it returns an error
	// with verdict "not run" and code verdict.CodeStale. It is called immediately before each send.
	CheckFresh() error
	// LeafAllowed reports whether a backend server may get new work now.
	LeafAllowed(vm platform.VM) bool
}

// Owner is the node that owns a service's slots.
type Owner struct {
	VM platform.VM
	// Self is set if this node owns the service now.
	Self bool
}

// Ownership says which node may use a service's slots.
type Ownership interface {
	// Owner returns the owner of the service as far as this node knows, or false if there is none.
	Owner(service string) (Owner, bool)
	// CheckOwned returns nil while this node holds the service's lease. Otherwise it returns an error with verdict
	// "not run" and code verdict.CodeNoOwner. It reads the monotonic clock and is called immediately before each send
	// to a leaf.
	CheckOwned(service string) error
	// Owned returns the services that this node owns, and a channel that is closed at the next change.
	Owned() (services []OwnedService, changed <-chan struct{})
}

// OwnedService is a service that this node owns.
type OwnedService struct {
	Service string
	// UsableFrom is the time from which slots may be used. It is later than now if the previous owner sent no handover.
	UsableFrom time.Time
	// Handover is the state that the previous owner reported, or nil if it sent none.
	Handover *Handover
}

// Handover is the state of a service's slots that its owner passes to the next owner.
type Handover struct {
	Service string
	Leaves  []LeafHandover
}

// LeafHandover is the state of one leaf's slots.
type LeafHandover struct {
	VM     string
	BootID string
	// Limit is the number of slots that the leaf's ramp-up had reached.
	Limit int
	// BusyFor holds, for each slot still in use, the time after which it is certainly free.
	BusyFor []time.Duration
}

// HandoverSource stops the use of an owned service's slots and returns their state. Package leafset implements it.
type HandoverSource interface {
	// Release stops new sends to the service's leaves and returns the state of its slots.
	Release(service string) Handover
}
