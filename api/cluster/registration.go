package cluster

import "cyclamenstream/api/registry"

// Registration asks another node, the registrar, to keep the sender's entry in the registry.
type Registration struct {
	Member registry.Member
	// Leaving is set if the sender stops and the entry is to be removed.
	Leaving bool
}

// Registered is a registrar's answer to a registration.
type Registered struct {
	// Member is the node that has registered, Boot its start.
	Member string
	Boot   int64
	// Published is set if the registry holds the node's entry. Otherwise the registrar cannot write to the registry at present.
	Published bool
	// Registrar is the node that has sent the answer.
	Registrar string
}

// Registrations carries registrations between nodes. They may be lost, duplicated or reordered. Implementations are safe
// for concurrent use and never block.
type Registrations interface {
	// SendRegistration sends a registration to the node at the address.
	SendRegistration(address string, r Registration)
	// Registrations returns the channel of received registrations. The oldest are dropped when it is full.
	Registrations() <-chan Registration
	// SendRegistered sends an answer to the node at the address.
	SendRegistered(address string, r Registered)
	// Registered returns the channel of received answers. The oldest are dropped when it is full.
	Registered() <-chan Registered
}
