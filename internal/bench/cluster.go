package bench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/backend"
	apicluster "cyclamenstream/api/cluster"
	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	apileaf "cyclamenstream/api/leaf"
	"cyclamenstream/api/platform"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/fanout"
	"cyclamenstream/internal/fanout/budget"
	"cyclamenstream/internal/intent"
	"cyclamenstream/internal/leafset"
	"cyclamenstream/internal/member"
	"cyclamenstream/internal/quarantine"
	"cyclamenstream/internal/standin/leaf"
	standin "cyclamenstream/internal/standin/platform"
)

const (
	// takeoverTime is the time from the loss of an owner until the next owner may use the slots. It consists of the
	// lease, the longest leaf timeout and the end grace.
	takeoverTime = member.LeaseTime + config.MaxLeafTimeout + backend.EndGrace
	// The budgets are those of package internal/node.
	initialRetryBudget, maxBudget = 3, 10
	snapshotID                    = "index-1"
)

// cluster holds the nodes and leaves of a run under one policy.
type cluster struct {
	experiment *Experiment
	policy     policy
	document   *config.Document
	network    *leaf.Network
	servers    map[string]*server  // by address, which is the leaf's VM
	services   map[string][]string // leaf VMs by service
	nodes      []*node
	intents    *intent.Manager
}

// node is one node with its leaf set and executor. It implements their views of membership and ownership.
type node struct {
	cluster  *cluster
	vm       platform.VM
	index    int
	leafSet  *leafset.Set
	executor *fanout.Executor
	cancel   context.CancelFunc

	mu      sync.Mutex
	out     bool
	owned   map[string]apicluster.OwnedService
	changed chan struct{}
}

func (n *node) Self() platform.VM                  { return n.vm }
func (n *node) Members() []apicluster.Member       { return nil }
func (n *node) Changed() <-chan struct{}           { return nil }
func (n *node) CheckFresh() error                  { return nil }
func (n *node) LeafAllowed(platform.VM) bool       { return true }
func (n *node) Record(event.Event)                 {}
func (n *node) Release(string) apicluster.Handover { return apicluster.Handover{} }

// Leaves implements cluster.Membership.
func (n *node) Leaves(service string) []platform.VM {
	var vms []platform.VM
	for i, id := range n.cluster.services[service] {
		s := n.cluster.servers[id]
		if n.cluster.policy.hasSlot(n.index, len(n.cluster.nodes), i, s.slots) {
			vms = append(vms, platform.VM{ID: id, Zone: s.zone, Kind: platform.KindBackend, State: platform.StateLive,
				Service: service, Address: id})
		}
	}
	return vms
}

// Owner implements cluster.Ownership.
func (n *node) Owner(service string) (apicluster.Owner, bool) {
	return apicluster.Owner{VM: n.vm, Self: n.CheckOwned(service) == nil}, true
}

// CheckOwned implements cluster.Ownership.
func (n *node) CheckOwned(service string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.owned[service]; ok {
		return nil
	}
	return verdict.Refusef(verdict.CodeNoOwner, "node %s does not own service %q", n.vm.ID, service)
}

// Owned implements cluster.Ownership.
func (n *node) Owned() ([]apicluster.OwnedService, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var owned []apicluster.OwnedService
	for _, o := range n.owned {
		owned = append(owned, o)
	}
	return owned, n.changed
}

// change calls edit with the lock held and announces a change of the owned services.
func (n *node) change(edit func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	edit()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *node) addOwned(service string, from time.Time) {
	n.change(func() { n.owned[service] = apicluster.OwnedService{Service: service, UsableFrom: from} })
}

func (n *node) isOut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.out
}

// fixedConfig is a configuration source whose document does not change.
type fixedConfig struct{ document *config.Document }

func (s fixedConfig) Current() *config.Document { return s.document }
func (s fixedConfig) Changed() <-chan struct{}  { return nil }

func newCluster(e *Experiment, p policy) *cluster {
	c := &cluster{experiment: e, policy: p, network: leaf.NewNetwork(), servers: map[string]*server{},
		services: map[string][]string{}, document: &config.Document{Version: 1, Profiles: map[string]config.Profile{},
			Services: map[string]config.Service{}}}
	for name, profile := range e.Profiles {
		if !p.hedge {
			profile.HedgeBudget = 0
		}
		c.document.Profiles[name] = profile
	}
	for _, g := range e.Services {
		for i := range g.Count {
			c.addService(g, fmt.Sprintf("%s-%d", g.Name, i))
		}
	}
	c.intents = intent.New(standin.New(), &node{}, nil)
	for i := range e.Nodes {
		c.nodes = append(c.nodes, c.newNode(i))
	}
	return c
}

func (c *cluster) addService(g ServiceGroup, name string) {
	limits := config.Service{Slots: g.Slots, ColdSlots: g.ColdSlots, Connections: g.Connections}
	if c.policy.splitSlots {
		limits.Slots, limits.ColdSlots = 1, 1
	}
	c.document.Services[name] = limits
	for i := range g.Leaves {
		id := fmt.Sprintf("%s-leaf-%d", name, i)
		l := leaf.New(leaf.Config{VM: id, Service: name, Slots: g.Slots, ColdSlots: g.ColdSlots, ColdCalls: g.ColdCalls,
			ColdTime: g.ColdTime, ColdFactor: g.ColdFactor, Connections: g.Connections, ConnectionCost: g.ConnectionCost,
			Latency: g.ServiceTime / 2, StragglerShare: g.StragglerShare, Seed: c.experiment.Seed + uint64(len(c.servers)),
			StragglerLatency: config.Duration(float64(g.ServiceTime) * g.StragglerFactor),
			CrashOnOverload:  g.CrashOnOverload, RestartAfter: c.downtime(g, i),
			Snapshots: []backend.SnapshotInfo{leaf.Snapshot(snapshotID, 1, uint32(g.Shards), uint32(i%g.Shards))}})
		c.network.Add(id, l)
		c.servers[id] = &server{Leaf: l, id: id, zone: c.zone(i), service: name, slots: g.Slots, coldSlots: g.ColdSlots,
			executing: make(chan struct{}, concurrentCalls(g))}
		c.services[name] = append(c.services[name], id)
	}
}

func (c *cluster) zone(i int) string { return c.experiment.Zones[i%len(c.experiment.Zones)].Name }

// unbounded is above the number of calls that can reach a leaf at once.
const unbounded = 1 << 16

// concurrentCalls returns the number of calls that a leaf executes at once. A leaf that crashes under overload has no
// limit here, so that calls above its own limit reach it.
func concurrentCalls(g ServiceGroup) int {
	if g.CrashOnOverload {
		return unbounded
	}
	return g.Slots
}

// downtime returns how long a leaf is down after a crash. If its zone has a fault, that is the length of the fault.
func (c *cluster) downtime(g ServiceGroup, leaf int) config.Duration {
	for _, f := range c.experiment.Faults {
		if f.Zone == c.zone(leaf) {
			return f.Back - f.Out
		}
	}
	return g.RestartAfter
}

func (c *cluster) newNode(i int) *node {
	n := &node{cluster: c, index: i, owned: map[string]apicluster.OwnedService{}, changed: make(chan struct{}),
		vm: platform.VM{ID: fmt.Sprintf("node-%d", i), Zone: c.zone(i), Kind: platform.KindNode}}
	configSource := fixedConfig{c.document}
	n.leafSet = leafset.New(leafset.Deps{Dialer: link{c, n.vm.Zone}, Membership: n, Ownership: n, Config: configSource, Recorder: n,
		Scope: tally.NoopScope})
	var pool apileaf.Pool = n.leafSet
	if c.policy.randomReplica {
		pool = randomPool{n.leafSet}
	}
	quarantined := quarantine.New(configSource, n)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go quarantined.Run(ctx, n.leafSet.Crashes())
	n.executor = fanout.New(fanout.Deps{Pool: pool, Owners: n, Guard: quarantined, Intents: c.intents, Recorder: n, Node: n.vm.ID,
		Hedges: budget.New(0, maxBudget), Retries: budget.New(initialRetryBudget, maxBudget)})
	return n
}

// start makes one node the owner of each service, or every node if the policy has no owners, and starts the leaf sets.
func (c *cluster) start(ctx context.Context) error {
	now := time.Now()
	for i, name := range c.serviceNames() {
		for j, n := range c.nodes {
			if !c.policy.owner || i%len(c.nodes) == j {
				n.addOwned(name, now)
			}
		}
	}
	for _, n := range c.nodes {
		if err := n.leafSet.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) serviceNames() []string {
	var names []string
	for name := range c.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (c *cluster) stop() {
	cancelledCtx, cancel := context.WithCancel(context.Background())
	cancel() // all queries have ended, so Stop need not wait
	for _, n := range c.nodes {
		_ = n.leafSet.Stop(cancelledCtx)
		n.cancel()
	}
	c.intents.Close()
}

// failZone crashes the zone's leaves and, unless LeavesOnly is set, takes its nodes out of service. If the policy has
// owners, other nodes become the owners of their services after the lease and may use the slots after takeoverTime.
func (c *cluster) failZone(f Fault) {
	zone := f.Zone
	for _, s := range c.servers {
		if s.zone == zone {
			s.Crash()
		}
	}
	if f.LeavesOnly {
		return
	}
	var lost []string
	for _, n := range c.nodes {
		if n.vm.Zone == zone {
			n.change(func() {
				n.out = true
				for service := range n.owned {
					lost = append(lost, service)
				}
				clear(n.owned)
			})
		}
	}
	if !c.policy.owner {
		return
	}
	usable := time.Now().Add(takeoverTime)
	time.AfterFunc(member.LeaseTime, func() {
		for i, service := range lost {
			c.successor(i, zone).addOwned(service, usable)
		}
	})
}

func (c *cluster) successor(i int, zone string) *node {
	var remaining []*node
	for _, n := range c.nodes {
		if n.vm.Zone != zone {
			remaining = append(remaining, n)
		}
	}
	return remaining[i%len(remaining)]
}

// restoreZone brings the zone's nodes back. Its leaves restart by themselves after their downtime. Services stay with
// the owners that took them over.
func (c *cluster) restoreZone(f Fault) {
	for _, n := range c.nodes {
		if n.vm.Zone != f.Zone || f.LeavesOnly {
			continue
		}
		n.change(func() {
			n.out = false
			if !c.policy.owner {
				for service := range c.services {
					n.owned[service] = apicluster.OwnedService{Service: service, UsableFrom: time.Now()}
				}
			}
		})
	}
}
