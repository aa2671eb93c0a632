package member

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/cluster"
	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
	"cyclamenstream/gen/peerpb"
	"cyclamenstream/internal/clock"
	"cyclamenstream/internal/configstore"
	"cyclamenstream/internal/relay"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

const oneWay = 8 * time.Millisecond

var errDown = errors.New("unreachable")

// tier is a number of nodes with a platform and a network under the time of a synctest.
type tier struct {
	mu    sync.Mutex
	down  bool            // the platform answers nobody
	cut   map[string]bool // nodes on the far side of a partition
	doc   *config.Document
	fleet platform.Fleet
	nodes map[string]*Node
	stop  map[string]context.CancelFunc
	reads map[string]int
}

func (c *tier) reach(from, to string) error {
	time.Sleep(oneWay)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[from] != c.cut[to] || c.nodes[to] == nil {
		return errDown
	}
	return nil
}

// port is one node's access to the platform and its peers.
type port struct {
	*tier
	id string
}

func (p port) read() error {
	time.Sleep(oneWay)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads[p.id]++
	if p.down {
		return errDown
	}
	return nil
}

func (p port) Get(context.Context, string) (platform.Entry, error) {
	if err := p.read(); err != nil {
		return platform.Entry{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	value, err := configstore.Encode(p.doc)
	return platform.Entry{Key: config.Key, Value: value, Version: p.doc.Version}, err
}

func (p port) CompareAndSwap(context.Context, string, uint64, []byte) (uint64, error) {
	return 0, errDown
}

func (p port) Watch(ctx context.Context, _ string, _ uint64) (platform.Entry, error) {
	<-ctx.Done()
	return platform.Entry{}, ctx.Err()
}

func (p port) List(context.Context) (platform.Fleet, error) {
	if err := p.read(); err != nil {
		return platform.Fleet{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet, nil
}

// call runs a handler of another node with the network's faults on both ways.
func call[Q, R any](p port, to platform.VM, handler func(*Node, context.Context, Q) (R, error), q Q) (r R, err error) {
	if err := p.reach(p.id, to.ID); err != nil {
		return r, err
	}
	p.mu.Lock()
	n := p.nodes[to.ID]
	p.mu.Unlock()
	if r, err = handler(n, context.Background(), q); err != nil {
		return r, err
	}
	return r, p.reach(to.ID, p.id)
}

func (p port) Ping(_ context.Context, to platform.VM, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return call(p, to, (*Node).HandlePing, r)
}

func (p port) GetDocument(_ context.Context, to platform.VM, r *peerpb.GetDocumentRequest) (*peerpb.GetDocumentReply, error) {
	return call(p, to, (*Node).HandleGetDocument, r)
}

func (p port) Handover(_ context.Context, to platform.VM, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return call(p, to, (*Node).HandleHandover, r)
}

func (p port) Events(context.Context, platform.VM) ([]event.Event, error) { return nil, nil }

// Release reports one leaf with a busy slot.
func (p port) Release(service string) cluster.Handover {
	return cluster.Handover{Service: service, Leaves: []cluster.LeafHandover{
		{VM: "leaf-1", BootID: "b1", Limit: 3, BusyFor: []time.Duration{300 * time.Millisecond}}}}
}

var services = []string{"ledger", "lookup", "export", "rank"}

func newTier(nodes int) *tier {
	c := &tier{cut: map[string]bool{}, nodes: map[string]*Node{}, stop: map[string]context.CancelFunc{}, reads: map[string]int{}}
	c.doc = &config.Document{}
	c.change(config.OpPutProfile, "gate")
	for _, s := range services {
		c.change(config.OpPutService, s)
	}
	c.fleet.Revision = 1
	for i := range nodes {
		c.fleet.VMs = append(c.fleet.VMs, platform.VM{ID: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%3),
			Kind: platform.KindNode, State: platform.StateLive})
	}
	c.fleet.VMs = append(c.fleet.VMs, platform.VM{ID: "leaf-1", Zone: "z1", Kind: platform.KindBackend,
		State: platform.StateLive, Service: "lookup"})
	for i := range nodes {
		c.start(fmt.Sprint("n", i))
	}
	return c
}

func (c *tier) change(op config.Op, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	doc, err := configstore.Apply(c.doc, config.Change{ID: fmt.Sprint(c.doc.Version), Op: op, Name: name,
		Profile: &config.Profile{Deadline: config.Duration(time.Second), LeafTimeout: config.Duration(time.Second)},
		Service: &config.Service{Profile: "gate", Slots: 3, ColdSlots: 1, Connections: 30}}, nil)
	if err != nil {
		panic(err)
	}
	c.doc = doc
}

func (c *tier) start(id string) {
	ctx, cancel := context.WithCancel(context.Background())
	p := port{c, id}
	self := c.fleet.VMs[slices.IndexFunc(c.fleet.VMs, func(vm platform.VM) bool { return vm.ID == id })]
	n := New(self, p, relay.New(p, p, p, event.Discard{}, tally.NoopScope), event.Discard{}, clock.New(time.Now), tally.NoopScope)
	n.SetHandoverSource(p)
	c.mu.Lock()
	c.nodes[id], c.stop[id] = n, cancel
	c.mu.Unlock()
	n.Start(ctx)
}

// kill ends a node without a word.
func (c *tier) kill(id string) {
	c.mu.Lock()
	n := c.nodes[id]
	delete(c.nodes, id)
	c.mu.Unlock()
	c.stop[id]()
	n.Wait()
}

func (c *tier) close() {
	for id := range c.stop {
		c.stop[id]()
	}
	for _, n := range c.nodes {
		n.Wait()
	}
}

// owner returns the only node that passes the ownership check; it fails the test for two.
func (c *tier) owner(t *testing.T, service string) string {
	owner := ""
	for id, n := range c.nodes {
		if n.CheckOwned(service) == nil {
			qt.Assert(t, owner, qt.Equals, "", qt.Commentf("%s is owned by %s too", service, id))
			owner = id
		}
	}
	return owner
}

// until waits for a condition and returns how long it took.
func until(t *testing.T, limit time.Duration, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			t.Fatalf("condition not met within %v", limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

func (c *tier) allOwned(t *testing.T) func() bool {
	return func() bool {
		return !slices.ContainsFunc(services, func(s string) bool { return c.owner(t, s) == "" })
	}
}

func (c *tier) fresh(ids ...string) func() bool {
	return func() bool {
		return !slices.ContainsFunc(ids, func(id string) bool { return c.nodes[id].CheckFresh() != nil })
	}
}

// run starts a tier of seven nodes and waits until every service has an owner.
func run(t *testing.T, test func(t *testing.T, c *tier)) {
	synctest.Test(t, func(t *testing.T) {
		c := newTier(7)
		defer c.close()
		took := until(t, settleTime+2*time.Second, c.allOwned(t))
		t.Logf("all services owned after %v", took)
		time.Sleep(time.Second)
		test(t, c)
	})
}

// Guards against a service without an owner after a node was killed, and an owner that uses the slots while its
// predecessor's calls may still run.
func TestTakeover(t *testing.T) {
	run(t, func(t *testing.T, c *tier) {
		victim := c.owner(t, "lookup")
		for _, n := range c.nodes {
			owner, known := n.Owner("lookup")
			qt.Assert(t, known, qt.IsTrue)
			qt.Assert(t, owner.VM.ID, qt.Equals, victim)
		}
		c.kill(victim)
		t.Logf("owned again after %v", until(t, LeaseTime+time.Second, c.allOwned(t)))
		owned, _ := c.nodes[c.owner(t, "lookup")].Owned()
		for _, o := range owned {
			if o.Service == "lookup" {
				qt.Assert(t, o.Handover, qt.IsNil)
				// The services' only profile has a leaf timeout of 1 s.
				qt.Assert(t, time.Until(o.UsableFrom) > time.Second+backend.EndGrace-HeartbeatInterval, qt.IsTrue)
			}
		}
	})
}

// Guards against a planned stop that leaves a service without an owner, or loses the state of its slots, and against
// a stopped node that is given services again.
func TestShutdownHandsOver(t *testing.T) {
	run(t, func(t *testing.T, c *tier) {
		leaving := c.owner(t, "lookup")
		began := time.Now()
		done := make(chan error, 1)
		go func() { done <- c.nodes[leaving].Shutdown(t.Context()) }()
		until(t, time.Second, func() bool { return c.owner(t, "lookup") != leaving })
		gap := until(t, HeartbeatInterval, c.allOwned(t))
		t.Logf("gap of %v", gap)
		qt.Assert(t, <-done, qt.IsNil)
		t.Logf("handed over after %v", time.Since(began))
		services, _ := c.nodes[c.owner(t, "lookup")].Owned()
		i := slices.IndexFunc(services, func(o cluster.OwnedService) bool { return o.Service == "lookup" })
		qt.Assert(t, services[i].Handover, qt.IsNotNil)
		qt.Assert(t, services[i].Handover.Leaves[0].BusyFor, qt.DeepEquals, []time.Duration{300 * time.Millisecond})
		qt.Assert(t, services[i].UsableFrom.After(time.Now()), qt.IsFalse)
		time.Sleep(10 * time.Second)
		owned, _ := c.nodes[leaving].Owned()
		qt.Assert(t, owned, qt.HasLen, 0)
	})
}

// Guards against nodes that refuse work while the platform is down for all, and against a minority that serves.
func TestStoreDownAndPartition(t *testing.T) {
	run(t, func(t *testing.T, c *tier) {
		all := []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6"}
		c.mu.Lock()
		c.down = true
		c.mu.Unlock()
		for range 4000 { // 20 s
			time.Sleep(5 * time.Millisecond)
			qt.Assert(t, c.fresh(all...)(), qt.IsTrue)
			qt.Assert(t, c.allOwned(t)(), qt.IsTrue)
		}
		c.mu.Lock()
		c.cut = map[string]bool{"n0": true, "n1": true, "n2": true}
		c.mu.Unlock()
		time.Sleep(LeaseTime)
		for _, id := range []string{"n0", "n1", "n2"} {
			qt.Assert(t, c.nodes[id].CheckFresh(), qt.IsNotNil)
			qt.Assert(t, c.nodes[id].HasMajority(), qt.IsFalse)
		}
		until(t, 2*LeaseTime, c.allOwned(t))
		qt.Assert(t, c.fresh("n3", "n4", "n5", "n6")(), qt.IsTrue)
		c.mu.Lock()
		c.cut, c.down = nil, false
		c.mu.Unlock()
		until(t, time.Second, c.fresh(all...))
		time.Sleep(rebalanceAfter + 2*time.Second)
		qt.Assert(t, c.allOwned(t)(), qt.IsTrue)
	})
}

// Guards against a zone that still owns services or has allowed leaves 3 s after it went out, against a configuration
// that is not in force everywhere within 5 s, and against every node reading the sources.
func TestZoneOut(t *testing.T) {
	run(t, func(t *testing.T, c *tier) {
		time.Sleep(5 * time.Second)
		c.mu.Lock()
		clear(c.reads)
		c.mu.Unlock()
		time.Sleep(10 * time.Second)
		c.mu.Lock()
		qt.Assert(t, len(c.reads), qt.Equals, watchers)
		t.Log("reads in 10 s", c.reads)
		c.mu.Unlock()
		c.change(config.OpZoneOut, "z1") // n1 and n4
		took := until(t, 3*time.Second, func() bool {
			for _, n := range c.nodes {
				if n.Status().ConfigVersion != c.doc.Version || n.LeafAllowed(platform.VM{ID: "leaf-1"}) || len(n.Leaves("lookup")) > 0 {
					return false
				}
			}
			return c.nodes["n1"].Members()[1].VM.ID == "n2" &&
				!slices.ContainsFunc(services, func(s string) bool { o := c.owner(t, s); return o == "" || o == "n1" || o == "n4" })
		})
		t.Logf("in force after %v", took)
		c.change(config.OpZoneIn, "z1")
		time.Sleep(settleTime + rebalanceAfter + time.Second)
		candidates := c.nodes["n0"].view.Load().members
		for _, s := range services {
			preferred, _ := best(s, candidates)
			qt.Assert(t, c.owner(t, s), qt.Equals, preferred.ID)
		}
	})
}

// Guards against a paused process that sends on what it knew before the pause.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTier(1)
		defer c.close()
		until(t, settleTime+time.Second, c.allOwned(t))
		n := c.nodes["n0"]
		qt.Assert(t, n.CheckFresh(), qt.IsNil)
		c.stop["n0"]()
		n.Wait() // No goroutine of the node runs any more, as in a pause.
		time.Sleep(LeaseTime + time.Millisecond)
		qt.Assert(t, n.CheckFresh(), qt.IsNotNil)
		qt.Assert(t, n.CheckOwned("lookup"), qt.IsNotNil)
		owned, _ := n.Owned()
		qt.Assert(t, owned, qt.HasLen, 0)
	})
}

func BenchmarkCheckOwned(b *testing.B) {
	n := New(platform.VM{ID: "n0"}, nil, relay.New(nil, nil, nil, event.Discard{}, tally.NoopScope), event.Discard{},
		clock.New(time.Now), tally.NoopScope)
	n.ledger.lease("lookup").ownedUntil.Store(int64(time.Hour))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if n.CheckOwned("lookup") != nil {
				b.Error("not owned")
			}
		}
	})
}
