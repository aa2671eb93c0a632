// Package member exchanges heartbeats between the nodes and holds the member view and the slot leases.
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

// Times of the member view.
const (
	// HeartbeatInterval is the time between two heartbeats to each member.
	HeartbeatInterval = 250 * time.Millisecond
	// heardLimit is the age of an answered heartbeat up to which a member counts as heard for the store-down rule and
	// for accepting changes: four heartbeats.
	heardLimit  = time.Second
	pingTimeout = time.Second
	// claimDelay is how long a node must be ready, and acknowledge new claimants, before it claims services that it does
	// not own: two heartbeats, in which it learns which others are ready and acknowledges the owners. Nodes that start
	// together would split the acknowledgements otherwise, and a node that comes back would bind itself against the owner.
	claimDelay   = 2 * HeartbeatInterval
	shutdownStep = 50 * time.Millisecond
	// rebalanceAfter is how long a higher-ranked member must be alive and ready before it is given a service.
	rebalanceAfter = 5 * time.Second
	// watchers is the number of members that watch the store and the list of VMs.
	watchers = 3
)

// Transport calls peers. Package peerrpc implements it.
type Transport interface {
	Ping(ctx context.Context, to platform.VM, request *peerpb.PingRequest) (*peerpb.PingReply, error)
	GetDocument(ctx context.Context, to platform.VM, request *peerpb.GetDocumentRequest) (*peerpb.GetDocumentReply, error)
	Handover(ctx context.Context, to platform.VM, request *peerpb.HandoverRequest) (*peerpb.HandoverReply, error)
	Events(ctx context.Context, to platform.VM) ([]event.Event, error)
}

// Quarantine spreads the requests that crash leaves.
type Quarantine interface {
	Export() []*peerpb.QuarantineEntry
	Import(entries []*peerpb.QuarantineEntry)
}

// peer is what this node knows of another node. It is guarded by Node.mu.
type peer struct {
	boot string
	// heard is when the newest answered ping was sent; heardWall when the answer came.
	heard     instant
	heardWall time.Time
	up        bool
	stopping  bool
	ready     bool
	// readySince is when the peer became alive and ready without a break.
	readySince instant
	fresh      bool
	// versions and confirmed are those of the configuration and of the list of VMs.
	versions  [2]uint64
	confirmed [2]instant
	holders   map[string]string
	// acknowledged holds the services for which the peer's newest reply acknowledged this node's claim.
	acknowledged map[string]bool
}

// exemption is the time in which this node may work with an unconfirmed document, as the peers lack a confirmation too.
type exemption struct{ from, until instant }

// Node is this node's part in the tier's membership. It implements cluster.Membership and cluster.Ownership and is
// safe for concurrent use.
type Node struct {
	self      platform.VM
	boot      string
	transport Transport
	relay     *relay.Relay
	events    event.Recorder
	clock     *clock.Hybrid
	base      time.Time // origin of all instants
	ledger    *ledger

	viewMu   sync.Mutex // serializes refreshView
	view     atomic.Pointer[view]
	basis    atomic.Pointer[[2]instant] // when the documents that view is built from were last confirmed
	majority atomic.Bool                // as of the last heartbeat
	// readySince is since when this node is ready, 0 if it is not. It is guarded by mu.
	readySince instant
	exemptions [2]atomic.Pointer[exemption]
	hints      atomic.Pointer[map[string]platform.VM]
	stop       atomic.Bool
	fresh      atomic.Bool // as last recorded in the time line

	handover   atomic.Pointer[cluster.HandoverSource]
	quarantine atomic.Pointer[Quarantine]

	roundMu  sync.Mutex // orders the building of heartbeats
	sequence uint64

	mu           sync.Mutex
	peers        map[string]*peer
	claims       map[string]*claimState
	owned        map[string]ownedService
	ownedChange  chan struct{}
	memberChange chan struct{}
	inherited    map[string]*cluster.Handover
	moving       map[string]bool

	kick chan struct{}
	work sync.WaitGroup

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

// New returns a node that has started nothing yet.
func New(self platform.VM, transport Transport, documents *relay.Relay, events event.Recorder, c *clock.Hybrid,
	scope tally.Scope) *Node {
	scope = scope.SubScope("member")
	boot := rand.Text()
	n := &Node{
		self: self, boot: boot, transport: transport, relay: documents, events: events, clock: c,
		base: time.Now(), ledger: newLedger(identity{self.ID, boot}),
		peers: map[string]*peer{}, claims: map[string]*claimState{}, owned: map[string]ownedService{},
		ownedChange: make(chan struct{}), memberChange: make(chan struct{}),
		inherited: map[string]*cluster.Handover{}, moving: map[string]bool{}, kick: make(chan struct{}, 1),
		pings: scope.Counter("pings"), pingErrors: scope.Counter("ping_errors"),
		handovers: scope.Counter("handovers"), handoverErrors: scope.Counter("handover_errors"),
		leasesLost: scope.Counter("leases_lost"),
	}
	n.view.Store(newView(nil, nil, nil, 0))
	n.basis.Store(&[2]instant{-2 * FreshLimit, -2 * FreshLimit})
	n.hints.Store(&map[string]platform.VM{})
	for i := range n.exemptions {
		n.exemptions[i].Store(&exemption{})
	}
	return n
}

// SetHandoverSource sets what stops admission to a service and gives the state of its slots.
func (n *Node) SetHandoverSource(source cluster.HandoverSource) { n.handover.Store(&source) }

// SetQuarantine sets the source and the target of quarantine entries.
func (n *Node) SetQuarantine(q Quarantine) { n.quarantine.Store(&q) }

// now reads the monotonic clock. It does not count the time that a whole VM is suspended.
func (n *Node) now() instant { return time.Since(n.base) }

// Start sends heartbeats until ctx ends. It also starts the relay.
func (n *Node) Start(ctx context.Context) {
	n.relay.Start(ctx)
	n.work.Go(func() { n.run(ctx) })
}

// Wait returns when the work begun by Start has ended.
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
		case <-n.kick:
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
	n.updateHints(now)
	n.rebalance(ctx, now)
	n.round(ctx)
	n.syncOwned(n.now())
}

func (n *Node) kickRound() {
	select {
	case n.kick <- struct{}{}:
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
	_, allowed := n.view.Load().allowed[vm.ID]
	return allowed
}

// VMKnown reports whether the VM is in the list of VMs; true while no list is known.
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

// Changed returns a channel that is closed at the next change of members or leaves.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.memberChange
}

// CheckFresh returns nil while the documents are confirmed, or unconfirmed on every member of a majority.
func (n *Node) CheckFresh() error {
	if v := n.view.Load(); v.configVersion == 0 || v.fleetRevision == 0 {
		return verdict.Refusef(verdict.CodeStale, "node %s has no configuration or no list of VMs yet", n.self.ID)
	}
	now := n.now()
	for i, at := range n.basis.Load() {
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

// HasMajority reports whether this node has heard from a majority of the members within the last second.
func (n *Node) HasMajority() bool {
	v, now := n.view.Load(), n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return v.set.reached(n.heardTimes(v, now), max(1, now-heardLimit)) > 0
}

// heardTimes returns when each member was last heard; this node itself is heard now.
func (n *Node) heardTimes(v *view, now instant) map[string]instant {
	times := map[string]instant{n.self.ID: now}
	for _, vm := range v.members {
		if p := n.peers[vm.ID]; p != nil && vm.ID != n.self.ID {
			times[vm.ID] = p.heard
		}
	}
	return times
}

// Owner returns the owner of a service as far as this node knows. It takes no lock.
func (n *Node) Owner(service string) (cluster.Owner, bool) {
	if n.ledger.owns(service, n.now()) {
		return cluster.Owner{VM: n.self, Self: true}, true
	}
	vm, found := (*n.hints.Load())[service]
	return cluster.Owner{VM: vm}, found
}

// CheckOwned returns nil while this node holds the service's lease. It takes no lock.
func (n *Node) CheckOwned(service string) error {
	if n.ledger.owns(service, n.now()) {
		return nil
	}
	return verdict.Refusef(verdict.CodeNoOwner, "node %s does not own service %q", n.self.ID, service)
}

// Owned returns the services that this node owns and a channel that is closed at the next change.
func (n *Node) Owned() ([]cluster.OwnedService, <-chan struct{}) {
	n.syncOwned(n.now())
	n.mu.Lock()
	defer n.mu.Unlock()
	services := make([]cluster.OwnedService, 0, len(n.owned))
	for _, o := range n.owned {
		services = append(services, o.OwnedService)
	}
	return services, n.ownedChange
}
