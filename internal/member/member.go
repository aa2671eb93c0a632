// Package member exchanges heartbeats between the nodes and maintains the member view and the leases on services.
package member

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
	"cyclamenstream/api/verdict"
	"cyclamenstream/gen/peerpb"
	"cyclamenstream/internal/clock"
	"cyclamenstream/internal/relay"

	"github.com/uber-go/tally/v4"
)

// Timing of the member view.
const (
	// HeartbeatInterval is the time between two heartbeats to each member.
	HeartbeatInterval = 250 * time.Millisecond
	// majorityWindow is the maximum age of an answered heartbeat for its member to count towards the majority. A node
	// needs this majority to accept configuration changes and to work with unconfirmed documents. The window is four
	// heartbeats.
	majorityWindow = time.Second
	pingTimeout    = time.Second
	// claimDelay is how long a node must be ready, and acknowledge new claimants, before it claims services that it
	// does not own. In these two heartbeats it learns which other nodes are ready and acknowledges the owners. Without
	// the delay, nodes that start together would split the acknowledgements between them, and a restarted node would
	// acknowledge itself instead of the owner.
	claimDelay           = 2 * HeartbeatInterval
	handoverPollInterval = 50 * time.Millisecond
	// rebalanceDelay is how long a higher-ranked member must be alive and ready before it is given a service.
	rebalanceDelay = 5 * time.Second
	// watcherCount is the number of members that watch the store and the list of VMs.
	watcherCount = 3
)

// Transport calls peers. Package peerrpc implements it.
type Transport interface {
	Ping(ctx context.Context, to platform.VM, request *peerpb.PingRequest) (*peerpb.PingReply, error)
	GetDocument(ctx context.Context, to platform.VM, request *peerpb.GetDocumentRequest) (*peerpb.GetDocumentReply, error)
	Handover(ctx context.Context, to platform.VM, request *peerpb.HandoverRequest) (*peerpb.HandoverReply, error)
	Events(ctx context.Context, to platform.VM) ([]event.Event, error)
}

// Quarantine exports and imports the quarantine entries of requests that crash leaves.
type Quarantine interface {
	Export() []*peerpb.QuarantineEntry
	Import(entries []*peerpb.QuarantineEntry)
}

// peer is what this node knows about another node. It is guarded by Node.mu.
type peer struct {
	bootID string
	// lastHeard is the send time of the newest answered ping. lastHeardWall is the wall-clock time of its reply.
	lastHeard     instant
	lastHeardWall time.Time
	up            bool
	stopping      bool
	ready         bool
	// readySince is the start of the current period in which the peer has been alive and ready.
	readySince instant
	fresh      bool
	// versions and confirmed each hold a value for the configuration and one for the list of VMs.
	versions  [2]uint64
	confirmed [2]instant
	holders   map[string]string
	// acknowledged holds the services for which the peer's newest reply acknowledged this node's claim.
	acknowledged map[string]bool
}

// exemption is the period in which this node may work with an unconfirmed document. It lasts while the node hears from
// a majority of the members and no other member that it hears from has a fresh confirmation or a newer version of the
// document.
type exemption struct{ from, until instant }

// Node runs the membership protocol for this node. It implements cluster.Membership and cluster.Ownership and is safe
// for concurrent use.
type Node struct {
	self      platform.VM
	bootID    string
	transport Transport
	relay     *relay.Relay
	recorder  event.Recorder
	clock     *clock.Hybrid
	epoch     time.Time // zero point of all instants
	leases    *leaseTable

	viewMu        sync.Mutex // serializes refreshView
	view          atomic.Pointer[view]
	viewConfirmed atomic.Pointer[[2]instant] // when the documents behind view were last confirmed
	hasMajority   atomic.Bool                // as of the last heartbeat
	// readySince is when this node became ready, or 0 if it is not ready. It is guarded by mu.
	readySince    instant
	exemptions    [2]atomic.Pointer[exemption]
	ownerHints    atomic.Pointer[map[string]platform.VM]
	shuttingDown  atomic.Bool
	recordedFresh atomic.Bool // as in the last recorded event

	handoverSource atomic.Pointer[cluster.HandoverSource]
	quarantine     atomic.Pointer[Quarantine]

	heartbeatMu sync.Mutex // serializes the building of heartbeats
	sequence    uint64

	mu                sync.Mutex
	peers             map[string]*peer
	pendingClaims     map[string]*pendingClaim
	owned             map[string]ownedService
	ownedChanged      chan struct{}
	membersChanged    chan struct{}
	receivedHandovers map[string]*cluster.Handover
	handingOver       map[string]bool

	heartbeatNow chan struct{}
	work         sync.WaitGroup

	pings, pingErrors, handovers, handoverErrors, leasesLost tally.Counter
}

var (
	_ cluster.Membership = (*Node)(nil)
	_ cluster.Ownership  = (*Node)(nil)
)

type ownedService struct {
	cluster.OwnedService
	term uint64
}

// New returns a node that is not started yet.
func New(self platform.VM, transport Transport, documents *relay.Relay, recorder event.Recorder, c *clock.Hybrid,
	scope tally.Scope) *Node {
	scope = scope.SubScope("member")
	bootID := rand.Text()
	n := &Node{
		self: self, bootID: bootID, transport: transport, relay: documents, recorder: recorder, clock: c,
		epoch: time.Now(), leases: newLeaseTable(incarnation{self.ID, bootID}),
		peers: map[string]*peer{}, pendingClaims: map[string]*pendingClaim{}, owned: map[string]ownedService{},
		ownedChanged: make(chan struct{}), membersChanged: make(chan struct{}),
		receivedHandovers: map[string]*cluster.Handover{}, handingOver: map[string]bool{}, heartbeatNow: make(chan struct{}, 1),
		pings: scope.Counter("pings"), pingErrors: scope.Counter("ping_errors"),
		handovers: scope.Counter("handovers"), handoverErrors: scope.Counter("handover_errors"),
		leasesLost: scope.Counter("leases_lost"),
	}
	n.view.Store(newView(nil, nil, nil, 0))
	n.viewConfirmed.Store(&[2]instant{-2 * FreshLimit, -2 * FreshLimit})
	n.ownerHints.Store(&map[string]platform.VM{})
	for i := range n.exemptions {
		n.exemptions[i].Store(&exemption{})
	}
	return n
}

// SetHandoverSource sets the source that stops admission to a service and returns the state of its slots.
func (n *Node) SetHandoverSource(source cluster.HandoverSource) { n.handoverSource.Store(&source) }

// SetQuarantine sets where quarantine entries are exported from and imported to.
func (n *Node) SetQuarantine(q Quarantine) { n.quarantine.Store(&q) }

// now reads the monotonic clock, which does not advance while the whole VM is suspended.
func (n *Node) now() instant { return time.Since(n.epoch) }

// Start starts the relay and sends heartbeats until ctx ends.
func (n *Node) Start(ctx context.Context) {
	n.relay.Start(ctx)
	n.work.Go(func() { n.run(ctx) })
}

// Wait returns when all work started by Start has ended.
func (n *Node) Wait() {
	n.work.Wait()
	n.relay.Wait()
}

func (n *Node) run(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		changed := n.relay.Changed()
		n.tick(ctx)
		select {
		case <-ticker.C:
		case <-changed:
		case <-n.heartbeatNow:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) tick(ctx context.Context) {
	now := n.now()
	n.syncOwned(now)
	n.refreshView()
	n.updatePeers(now)
	n.updateExemptions()
	n.recordFresh()
	n.updateOwnerHints(now)
	n.rebalance(ctx, now)
	n.sendHeartbeats(ctx)
	n.syncOwned(n.now())
}

func (n *Node) triggerHeartbeat() {
	select {
	case n.heartbeatNow <- struct{}{}:
	default:
	}
}

// Self returns this node's VM.
func (n *Node) Self() platform.VM { return n.self }

// Members returns the member set in order of VM identifier.
func (n *Node) Members() []cluster.Member {
	v, now := n.view.Load(), n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	members := make([]cluster.Member, len(v.members))
	for i, vm := range v.members {
		members[i] = cluster.Member{VM: vm, Alive: n.alive(vm.ID, now), Stopping: n.stopping(vm.ID)}
	}
	return members
}

// Leaves returns the backend servers of a service that may get new work. The slice must not be changed.
func (n *Node) Leaves(service string) []platform.VM { return n.view.Load().leaves[service] }

// LeafAllowed reports whether a backend server may get new work now.
func (n *Node) LeafAllowed(vm platform.VM) bool {
	_, allowed := n.view.Load().allowedLeaves[vm.ID]
	return allowed
}

// VMKnown reports whether the VM is in the list of VMs. It returns true while this node has no list.
func (n *Node) VMKnown(vm string) bool {
	fleet := n.relay.Fleet()
	if fleet == nil {
		return true
	}
	for _, known := range fleet.VMs {
		if known.ID == vm {
			return true
		}
	}
	return false
}

// Changed returns a channel that is closed on the next change of members or leaves.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membersChanged
}

// CheckFresh returns nil while each document is confirmed within FreshLimit or has an exemption.
func (n *Node) CheckFresh() error {
	if v := n.view.Load(); v.configVersion == 0 || v.fleetRevision == 0 {
		return verdict.Refusef(verdict.CodeStale, "node %s has no configuration or no list of VMs yet", n.self.ID)
	}
	now := n.now()
	for i, at := range n.viewConfirmed.Load() {
		if !n.confirmedOrExempt(i, at, now) {
			return verdict.Refusef(verdict.CodeStale, "node %s has not confirmed its %s within %v",
				n.self.ID, documentNames[i], FreshLimit)
		}
	}
	return nil
}

var documentNames = [2]string{"configuration", "list of VMs"}

func (n *Node) confirmedOrExempt(document int, confirmed, now instant) bool {
	if now-confirmed <= FreshLimit {
		return true
	}
	e := n.exemptions[document].Load()
	return e.from <= now && now < e.until
}

// HasMajority reports whether this node has heard from a majority of the members within majorityWindow.
func (n *Node) HasMajority() bool {
	v, now := n.view.Load(), n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return v.set.majorityTime(n.lastHeardTimes(v, now), max(1, now-majorityWindow)) > 0
}

// lastHeardTimes returns when each member was last heard. For this node itself it returns now. The caller holds mu.
func (n *Node) lastHeardTimes(v *view, now instant) map[string]instant {
	times := map[string]instant{n.self.ID: now}
	for _, vm := range v.members {
		if p := n.peers[vm.ID]; p != nil && vm.ID != n.self.ID {
			times[vm.ID] = p.lastHeard
		}
	}
	return times
}

// Owner returns the owner of a service as far as this node knows. It takes no lock.
func (n *Node) Owner(service string) (cluster.Owner, bool) {
	if n.leases.owns(service, n.now()) {
		return cluster.Owner{VM: n.self, Self: true}, true
	}
	vm, found := (*n.ownerHints.Load())[service]
	return cluster.Owner{VM: vm}, found
}

// CheckOwned returns nil while this node holds the service's lease. It takes no lock.
func (n *Node) CheckOwned(service string) error {
	if n.leases.owns(service, n.now()) {
		return nil
	}
	return verdict.Refusef(verdict.CodeNoOwner, "node %s does not own service %q", n.self.ID, service)
}

// Owned returns the services that this node owns and a channel that is closed on the next change.
func (n *Node) Owned() ([]cluster.OwnedService, <-chan struct{}) {
	n.syncOwned(n.now())
	n.mu.Lock()
	defer n.mu.Unlock()
	services := make([]cluster.OwnedService, 0, len(n.owned))
	for _, o := range n.owned {
		services = append(services, o.OwnedService)
	}
	return services, n.ownedChanged
}
