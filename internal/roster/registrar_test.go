package roster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
	"cyclamenstream/internal/decision"
)

// fakeEntries is a registry with leases that end.
type fakeEntries struct {
	registry.Registry
	mu       sync.Mutex
	down     bool
	revision uint64
	leases   map[uint64]time.Time
	entries  map[string]fakeEntry
	calls    map[string]int
	// lateWrites makes calls of Publish fail although they take effect after that time, if it is not 0.
	lateWrites time.Duration
}

type fakeEntry struct {
	member          registry.Member
	lease, revision uint64
}

const testTTL = 4 * time.Second

var errDown = errors.New("down")

// begin counts a call and ends expired leases. The caller holds the lock.
func (f *fakeEntries) begin(call string) error {
	f.calls[call]++
	f.expire()
	if f.down {
		return errDown
	}
	return nil
}

func (f *fakeEntries) expire() {
	for lease, expiry := range f.leases {
		if time.Now().After(expiry) {
			delete(f.leases, lease)
		}
	}
	maps.DeleteFunc(f.entries, func(_ string, e fakeEntry) bool { _, ok := f.leases[e.lease]; return !ok })
}

func (f *fakeEntries) Grant(context.Context, time.Duration) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.begin("grant"); err != nil {
		return 0, err
	}
	f.revision++
	f.leases[f.revision] = time.Now().Add(testTTL)
	return f.revision, nil
}

func (f *fakeEntries) Renew(_ context.Context, lease uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.begin("renew"); err != nil {
		return err
	}
	if _, ok := f.leases[lease]; !ok {
		return registry.ErrNoLease
	}
	f.leases[lease] = time.Now().Add(testTTL)
	return nil
}

func (f *fakeEntries) Publish(_ context.Context, lease uint64, members ...registry.Member) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.begin("publish"); err != nil {
		return 0, err
	}
	if len(members) > registry.MaxEntries {
		return 0, errors.New("too many entries")
	}
	if f.lateWrites > 0 {
		time.AfterFunc(f.lateWrites, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.expire()
			_, _ = f.put(lease, members)
		})
		return 0, errors.New("no answer")
	}
	return f.put(lease, members)
}

func (f *fakeEntries) put(lease uint64, members []registry.Member) (uint64, error) {
	if _, ok := f.leases[lease]; !ok {
		return 0, registry.ErrNoLease
	}
	f.revision++
	for _, m := range members {
		f.entries[m.ID] = fakeEntry{m, lease, f.revision}
	}
	return f.revision, nil
}

func (f *fakeEntries) Remove(_ context.Context, member string, revision uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.begin("remove"); err != nil {
		return err
	}
	if f.entries[member].revision != revision {
		return registry.ErrChanged
	}
	delete(f.entries, member)
	return nil
}

func (f *fakeEntries) Revoke(_ context.Context, lease uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.begin("revoke"); err != nil {
		return err
	}
	delete(f.leases, lease)
	f.expire()
	return nil
}

// members returns the listed nodes in ascending order.
func (f *fakeEntries) members() []registry.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire()
	var list []registry.Member
	for _, e := range f.entries {
		list = append(list, e.member)
	}
	slices.SortFunc(list, func(a, b registry.Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// read returns the listed nodes unless the registry is down.
func (f *fakeEntries) read() ([]registry.Member, bool) {
	f.mu.Lock()
	down := f.down
	f.mu.Unlock()
	return f.members(), !down
}

func (f *fakeEntries) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeEntries) setLateWrites(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateWrites = d
}

// count returns the number of calls of all kinds.
func (f *fakeEntries) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, calls := range f.calls {
		n += calls
	}
	return n
}

// fakeDatagrams carries registrations between the nodes of a tier.
type fakeDatagrams struct {
	tier          *tierHarness
	registrations chan cluster.Registration
	registered    chan cluster.Registered
}

func (d *fakeDatagrams) SendRegistration(address string, r cluster.Registration) {
	if to := d.tier.reach(r.Member.ID, address); to != nil {
		select {
		case to.datagrams.registrations <- r:
		default:
		}
	}
}

func (d *fakeDatagrams) SendRegistered(address string, r cluster.Registered) {
	if to := d.tier.reach(r.Registrar, address); to != nil {
		select {
		case to.datagrams.registered <- r:
		default:
		}
	}
}

func (d *fakeDatagrams) Registrations() <-chan cluster.Registration { return d.registrations }
func (d *fakeDatagrams) Registered() <-chan cluster.Registered      { return d.registered }

// tierHarness is a tier of a few nodes that callers are sent to, h0 to h2, and 40 others, l00 to l39.
type tierHarness struct {
	*qt.C
	registry *fakeEntries
	mu       sync.Mutex
	nodes    map[string]*tierNode
	cut      map[string]bool // nodes that send and receive no datagrams
	boot     int64
}

type tierNode struct {
	roster    *Roster
	datagrams *fakeDatagrams
	end       func()
}

const highNodes, lowNodes = 3, 40

// reach returns the node to which a datagram is delivered, or nil.
func (h *tierHarness) reach(from, to string) *tierNode {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cut[from] || h.cut[to] {
		return nil
	}
	return h.nodes[to]
}

func (h *tierHarness) start(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.boot++
	m := registry.Member{ID: id, Zone: "z1", Region: "r1", CallerAddress: id, PeerAddress: id, Boot: h.boot, Capacity: 0.1}
	if id[0] == 'h' {
		m.Capacity = 1
	}
	d := &fakeDatagrams{tier: h, registrations: make(chan cluster.Registration, 512), registered: make(chan cluster.Registered, 128)}
	log := decision.New(io.Discard, id, "z1")
	began := time.Now()
	serving := func() bool { return time.Since(began) > 100*time.Millisecond }
	r := New(h.registry, d, Config{LeaseTTL: testTTL, RenewInterval: 1500 * time.Millisecond, ResolveTTL: time.Second}, m, serving, log)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	running.Go(func() { // the node's view, which stays as it is while the registry does not answer
		for ctx.Err() == nil {
			if members, ok := h.registry.read(); ok {
				r.Update(members, 0)
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
	h.nodes[id] = &tierNode{roster: r, datagrams: d, end: func() { cancel(); running.Wait(); log.Close(time.Second) }}
}

// kill ends a node without a stop.
func (h *tierHarness) kill(id string) {
	h.mu.Lock()
	node := h.nodes[id]
	delete(h.nodes, id)
	h.mu.Unlock()
	node.end()
}

func (h *tierHarness) setCut(cut bool, ids ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		h.cut[id] = cut
	}
}

// ids returns the names of the listed nodes.
func (h *tierHarness) ids() []string {
	var ids []string
	for _, m := range h.registry.members() {
		ids = append(ids, m.ID)
	}
	return ids
}

func (h *tierHarness) assertAllListed() {
	h.Assert(h.ids(), qt.HasLen, highNodes+lowNodes)
}

// registrarOf returns the node under whose lease the entry of another node exists.
func (h *tierHarness) registrarOf(id string) string {
	h.registry.mu.Lock()
	defer h.registry.mu.Unlock()
	lease := h.registry.entries[id].lease
	for i := range highNodes {
		if name := fmt.Sprintf("h%d", i); h.registry.entries[name].lease == lease {
			return name
		}
	}
	return ""
}

func simulateTier(t *testing.T, check func(*tierHarness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &tierHarness{C: qt.New(t), nodes: map[string]*tierNode{}, cut: map[string]bool{},
			registry: &fakeEntries{leases: map[uint64]time.Time{}, entries: map[string]fakeEntry{}, calls: map[string]int{}}}
		defer func() { // also when a check ends the test
			h.mu.Lock()
			nodes := slices.Collect(maps.Values(h.nodes))
			h.mu.Unlock()
			for _, n := range nodes {
				n.end()
			}
		}()
		for i := range highNodes {
			h.start(fmt.Sprintf("h%d", i))
		}
		time.Sleep(time.Second)
		for i := range lowNodes {
			h.start(fmt.Sprintf("l%02d", i))
		}
		time.Sleep(5 * time.Second)
		h.assertAllListed()
		check(h)
	})
}

// Guards against calls to the registry that grow with the number of nodes, and against registrants that use one registrar.
func TestFewNodesHaveLeases(t *testing.T) {
	simulateTier(t, func(h *tierHarness) {
		before := h.registry.count()
		time.Sleep(15 * time.Second)
		h.assertAllListed()
		h.Check(h.registry.count()-before <= 11*highNodes, qt.IsTrue, qt.Commentf("%d calls in 15 s", h.registry.count()-before))
		registrants := map[string]int{}
		for _, id := range h.ids() {
			registrants[h.registrarOf(id)]++
		}
		h.Check(registrants, qt.HasLen, highNodes)
		for id, n := range registrants {
			h.Check(n <= 25, qt.IsTrue, qt.Commentf("%s keeps %d entries", id, n))
		}
	})
}

// Guards against entries that are missing for long because the registrar has gone, in whatever way.
func TestLossOfARegistrar(t *testing.T) {
	cases := map[string]struct {
		lose    func(h *tierHarness, id string)
		gone    bool          // the registrar's own entry ends
		missing time.Duration // longest time for which entries of others may be missing
	}{
		"killed":  {func(h *tierHarness, id string) { h.kill(id) }, true, time.Second},
		"cut off": {func(h *tierHarness, id string) { h.setCut(true, id) }, false, 0},
		"stopped": {func(h *tierHarness, id string) { h.Check(h.nodes[id].roster.Stop(context.Background()), qt.IsNil) }, true, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			simulateTier(t, func(h *tierHarness) {
				test.lose(h, "h1")
				missing := time.Duration(0)
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					if low := len(slices.DeleteFunc(h.ids(), func(id string) bool { return id[0] == 'h' })); low < lowNodes {
						missing += 100 * time.Millisecond
					}
				}
				h.Check(missing <= test.missing, qt.IsTrue, qt.Commentf("%v", missing))
				for _, id := range h.ids() {
					if id[0] == 'l' {
						h.Check(h.registrarOf(id), qt.Not(qt.Equals), "h1")
					}
				}
				h.Check(slices.Contains(h.ids(), "h1"), qt.Equals, !test.gone)
			})
		})
	}
}

// Guards against entries of nodes that have left, and against a node that is taken for its predecessor of the same name.
func TestRegistrantsThatEnd(t *testing.T) {
	simulateTier(t, func(h *tierHarness) {
		h.Assert(h.nodes["l01"].roster.Stop(context.Background()), qt.IsNil)
		time.Sleep(500 * time.Millisecond)
		h.Check(slices.Contains(h.ids(), "l01"), qt.IsFalse)
		h.kill("l02")
		time.Sleep(4 * time.Second)
		h.Check(slices.Contains(h.ids(), "l02"), qt.IsFalse)

		h.kill("l03")
		h.start("l03")
		h.kill("l01")
		h.start("l01")
		time.Sleep(2 * time.Second)
		for _, m := range h.registry.members() {
			if m.ID == "l01" || m.ID == "l03" {
				h.Check(m.Boot, qt.Equals, h.nodes[m.ID].roster.self.Boot)
			}
		}
		time.Sleep(10 * time.Second)
		h.Check(h.ids(), qt.HasLen, highNodes+lowNodes-1)
	})
}

// Guards against an entry that a late write brings back after its node has left, for good.
func TestLateWriteOfADepartedNode(t *testing.T) {
	simulateTier(t, func(h *tierHarness) {
		h.kill("l05")
		time.Sleep(5 * time.Second)
		h.Assert(slices.Contains(h.ids(), "l05"), qt.IsFalse)
		h.start("l05")
		h.registry.setLateWrites(3 * time.Second)
		time.Sleep(900 * time.Millisecond)
		h.kill("l05")
		h.registry.setLateWrites(0)
		time.Sleep(15 * time.Second)
		h.Check(h.ids(), qt.HasLen, highNodes+lowNodes-1)
		h.Check(slices.Contains(h.ids(), "l05"), qt.IsFalse)
	})
}

// Guards against nodes that all call a registry which does not answer, and against entries that stay lost after that.
func TestOutageOfTheRegistry(t *testing.T) {
	simulateTier(t, func(h *tierHarness) {
		h.registry.setDown(true)
		before := h.registry.count()
		time.Sleep(12 * time.Second)
		h.Check(h.registry.count()-before <= 60*highNodes, qt.IsTrue, qt.Commentf("%d calls in 12 s", h.registry.count()-before))
		h.registry.setDown(false)
		time.Sleep(4 * time.Second)
		h.assertAllListed()
	})
}

// Guards against nodes without an entry because no other node keeps it.
func TestNodesWithoutARegistrar(t *testing.T) {
	simulateTier(t, func(h *tierHarness) {
		h.setCut(true, "h0", "h1", "h2")
		time.Sleep(12 * time.Second)
		h.assertAllListed()
		h.setCut(false, "h0", "h1", "h2")
		time.Sleep(40 * time.Second)
		h.assertAllListed()
		before := h.registry.count()
		time.Sleep(15 * time.Second)
		h.Check(h.registry.count()-before <= 11*highNodes, qt.IsTrue, qt.Commentf("%d calls in 15 s", h.registry.count()-before))
	})
}

// simulateRegistrar runs a test case with a registrar that the test drives, on simulated time.
func simulateRegistrar(t *testing.T, check func(*qt.C, *fakeEntries, *registrar)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fake := &fakeEntries{leases: map[uint64]time.Time{}, entries: map[string]fakeEntry{}, calls: map[string]int{}}
		h := &tierHarness{C: c, registry: fake, nodes: map[string]*tierNode{}}
		d := &fakeDatagrams{tier: h, registrations: make(chan cluster.Registration, 512), registered: make(chan cluster.Registered, 128)}
		log := decision.New(io.Discard, "h0", "z1")
		defer log.Close(time.Second)
		r := New(fake, d, Config{LeaseTTL: testTTL, RenewInterval: time.Second}, registry.Member{ID: "h0"}, func() bool { return true }, log)
		c.Assert(r.publish(context.Background()), qt.IsNil)
		g := newRegistrar(r)
		g.lastRun = time.Now()
		check(c, fake, g)
	})
}

func registrationOf(id string, boot int64, leaving bool) cluster.Registration {
	return cluster.Registration{Member: registry.Member{ID: id, PeerAddress: id, Boot: boot}, Leaving: leaving}
}

// Guards against a registrar that removes entries, or writes those of nodes that have left, by what it knew before a pause.
func TestRegistrarAfterAPause(t *testing.T) {
	simulateRegistrar(t, func(c *qt.C, fake *fakeEntries, g *registrar) {
		ctx, r := context.Background(), g.roster
		g.handle(registrationOf("leaves", 1, false))
		g.handle(registrationOf("stays", 1, false))
		g.write(ctx)
		c.Assert(fake.members(), qt.HasLen, 3)

		time.Sleep(registrantTimeout + 100*time.Millisecond) // the process stands still
		r.registrations.(*fakeDatagrams).registrations <- registrationOf("old", 1, false)
		c.Assert(g.checkPause(), qt.IsTrue)
		g.write(ctx)
		c.Check(fake.members(), qt.HasLen, 3) // none removed, none added

		time.Sleep(time.Second) // the lease ends
		c.Assert(g.checkPause(), qt.IsTrue)
		g.write(ctx)
		c.Check(fake.members(), qt.HasLen, 0)
		r.abandonLease(r.lease)
		c.Assert(r.publish(ctx), qt.IsNil)
		g.handle(registrationOf("stays", 1, false))
		g.write(ctx)
		c.Check(fake.members(), qt.HasLen, 2)
		c.Check(fake.members()[1].ID, qt.Equals, "stays")
	})
}

// Guards against late datagrams that bring back a node that has left, or its predecessor of the same name.
func TestLateRegistrations(t *testing.T) {
	simulateRegistrar(t, func(c *qt.C, fake *fakeEntries, g *registrar) {
		ctx := context.Background()
		changed := registrationOf("a", 2, false)
		changed.Member.Capacity = 1
		for _, late := range []cluster.Registration{changed, registrationOf("a", 2, false), registrationOf("a", 1, false), registrationOf("a", 2, true)} {
			g.handle(registrationOf("a", 2, false))
			g.write(ctx)
			g.handle(registrationOf("a", 2, true))
			g.write(ctx)
			g.handle(late)
			g.write(ctx)
			c.Check(fake.members(), qt.HasLen, 1)
		}
		g.handle(registrationOf("a", 3, false))
		g.handle(registrationOf("a", 2, true))
		g.handle(registrationOf("a", 1, false))
		g.write(ctx)
		c.Assert(fake.members(), qt.HasLen, 2)
		c.Check(fake.members()[0].Boot, qt.Equals, int64(3))
	})
}
