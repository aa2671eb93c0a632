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
	// takeover is the time from the loss of an owner to the first use of the slots by the next one: the lease, the
	// longest leaf timeout and the end grace.
	takeover = member.LeaseTime + config.MaxLeafTimeout + backend.EndGrace
	// The budgets are those of a node.
	retryInitial, budgetMax = 3, 10
	snapshotID              = "index-1"
)

// cluster is the nodes and leaves under one policy.
type cluster struct {
	experiment *Experiment
	policy     policy
	document   *config.Document
	network    *leaf.Network
	servers    map[string]*server // by address, which is the leaf's VM
	services   map[string][]string
	nodes      []*node
	intents    *intent.Manager
}

// node is one node: its pool, its executor and what it is told of membership and ownership.
type node struct {
	cluster  *cluster
	vm       platform.VM
	index    int
	set      *leafset.Set
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

// change edits what the node owns.
func (n *node) change(edit func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	edit()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *node) own(service string, from time.Time) {
	n.change(func() { n.owned[service] = apicluster.OwnedService{Service: service, UsableFrom: from} })
}

func (n *node) isOut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.out
}

// source is a configuration that does not change.
type source struct{ document *config.Document }

func (s source) Current() *config.Document { return s.document }
func (s source) Changed() <-chan struct{}  { return nil }

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

func (c *cluster) addService(g Service, name string) {
	limits := config.Service{Slots: g.Slots, ColdSlots: g.ColdSlots, Connections: g.Connections}
	if c.policy.split {
		limits.Slots, limits.ColdSlots = 1, 1
	}
	c.document.Services[name] = limits
	for i := range g.Leaves {
		id := fmt.Sprintf("%s-leaf-%d", name, i)
		l := leaf.New(leaf.Config{VM: id, Service: name, Slots: g.Slots, ColdSlots: g.ColdSlots, ColdCalls: g.ColdCalls,
			ColdTime: g.ColdTime, ColdFactor: g.ColdFactor, Connections: g.Connections, ConnectionCost: g.ConnectionCost,
			Latency: g.ServiceTime / 2, StragglerShare: g.StragglerShare, Seed: c.experiment.Seed + uint64(len(c.servers)),
			StragglerLatency: config.Duration(float64(g.ServiceTime) * g.StragglerFactor),
			CrashOnOverload:  g.FallOver, RestartAfter: c.away(g, i),
			Snapshots: []backend.SnapshotInfo{leaf.Snapshot(snapshotID, 1, uint32(g.Shards), uint32(i%g.Shards))}})
		c.network.Add(id, l)
		c.servers[id] = &server{Leaf: l, id: id, zone: c.zone(i), service: name, slots: g.Slots, coldSlots: g.ColdSlots,
			work: make(chan struct{}, worked(g))}
		c.services[name] = append(c.services[name], id)
	}
}

func (c *cluster) zone(i int) string { return c.experiment.Zones[i%len(c.experiment.Zones)].Name }

// unbounded is more calls than ever reach a leaf at once.
const unbounded = 1 << 16

// worked returns the number of calls that a leaf works on at once. One that falls over takes all.
func worked(g Service) int {
	if g.FallOver {
		return unbounded
	}
	return g.Slots
}

// away returns how long a leaf is away after a crash: for the outage of its zone, if there is one.
func (c *cluster) away(g Service, leaf int) config.Duration {
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
	src := source{c.document}
	n.set = leafset.New(leafset.Deps{Dialer: link{c, n.vm.Zone}, Membership: n, Ownership: n, Config: src, Recorder: n,
		Scope: tally.NoopScope})
	var pool apileaf.Pool = n.set
	if c.policy.random {
		pool = randomPool{n.set}
	}
	list := quarantine.New(src, n)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go list.Run(ctx, n.set.Crashes())
	n.executor = fanout.New(fanout.Deps{Pool: pool, Owners: n, Guard: list, Intents: c.intents, Recorder: n, Node: n.vm.ID,
		Hedges: budget.New(0, budgetMax), Retries: budget.New(retryInitial, budgetMax)})
	return n
}

// start opens the pools: that of the owner of each service, or all.
func (c *cluster) start(ctx context.Context) error {
	now := time.Now()
	for i, name := range c.names() {
		for j, n := range c.nodes {
			if !c.policy.owner || i%len(c.nodes) == j {
				n.own(name, now)
			}
		}
	}
	for _, n := range c.nodes {
		if err := n.set.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) names() []string {
	var names []string
	for name := range c.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (c *cluster) stop() {
	ended, cancel := context.WithCancel(context.Background())
	cancel() // the queries have ended
	for _, n := range c.nodes {
		_ = n.set.Stop(ended)
		n.cancel()
	}
	c.intents.Close()
}

// zoneOut takes the zone's nodes and leaves away. Other nodes own its services after the lease and the takeover wait.
func (c *cluster) zoneOut(f Fault) {
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
	usable := time.Now().Add(takeover)
	time.AfterFunc(member.LeaseTime, func() {
		for i, service := range lost {
			c.successor(i, zone).own(service, usable)
		}
	})
}

func (c *cluster) successor(i int, zone string) *node {
	var rest []*node
	for _, n := range c.nodes {
		if n.vm.Zone != zone {
			rest = append(rest, n)
		}
	}
	return rest[i%len(rest)]
}

// zoneBack brings the zone's nodes back; its leaves come back by themselves. Owners stay where they are.
func (c *cluster) zoneBack(f Fault) {
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
