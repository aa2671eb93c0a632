package follow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
	"cyclamenstream/api/route"
	"cyclamenstream/internal/decision"
)

// fakeRegistry is a registry whose state tests set.
type fakeRegistry struct {
	registry.Registry
	mu    sync.Mutex
	state registry.State
	err   error
	reads int
	// stale is what cheap reads of the operators' configuration return.
	stale  *registry.OperatorState
	cheap  int
	exacts int
}

func (f *fakeRegistry) Read(context.Context) (registry.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return f.state, f.err
}

func (f *fakeRegistry) ReadOperatorState(_ context.Context, fresh registry.Consistency) (registry.OperatorState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fresh == registry.Serializable {
		f.cheap++
		if f.stale != nil {
			return *f.stale, f.err
		}
	} else {
		f.exacts++
	}
	return f.state.OperatorState, f.err
}

func (f *fakeRegistry) set(change func(*registry.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Revision++
	change(&f.state)
}

func (f *fakeRegistry) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *fakeRegistry) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// partly is the registry as one node sees it: it may refuse that node alone.
type partly struct {
	*fakeRegistry
	refused *atomic.Bool
}

func (p partly) Read(ctx context.Context) (registry.State, error) {
	if p.refused.Load() {
		return registry.State{}, errors.New("refused")
	}
	return p.fakeRegistry.Read(ctx)
}

func (p partly) ReadOperatorState(ctx context.Context, fresh registry.Consistency) (registry.OperatorState, error) {
	if p.refused.Load() {
		return registry.OperatorState{}, errors.New("refused")
	}
	return p.fakeRegistry.ReadOperatorState(ctx, fresh)
}

// network carries notices and views between the followers of a test.
type network struct {
	mu    sync.Mutex
	nodes map[string]chan cluster.Notice
	cut   map[string]bool
	views map[string]*Follower
	// fetched counts the questions for views.
	fetched int
}

type port struct {
	*network
	self string
}

func (p port) Notices() <-chan cluster.Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nodes[p.self]
}

func (p port) SendNotice(addresses []string, n cluster.Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n.From = p.self
	for _, to := range addresses {
		if !p.cut[p.self] && !p.cut[to] {
			select {
			case p.nodes[to] <- n:
			default:
			}
		}
	}
}

// Fetch implements cluster.Views.
func (p port) Fetch(_ context.Context, address string, known cluster.ViewRequest) (cluster.View, error) {
	p.mu.Lock()
	p.fetched++
	other, cut := p.views[address], p.cut[p.self] || p.cut[address]
	p.mu.Unlock()
	if other == nil || cut {
		return cluster.View{}, errors.New("unreachable")
	}
	v, ok := other.View(known)
	if !ok {
		return v, errors.New("knows nothing")
	}
	return v, nil
}

func (n *network) setCut(node string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[node] = cut
}

// group is a set of followers over one registry.
type group struct {
	*qt.C
	registry *fakeRegistry
	net      *network
	nodes    []*Follower
	// refused tells for each node whether the registry refuses it.
	refused []*atomic.Bool
}

func testLeaf(id string, revision uint64) registry.Leaf {
	return registry.Leaf{ID: id, Service: "s", Zone: "z", Address: id, Slots: 1, Revision: revision}
}

func table(version uint64) *route.Table { return &route.Table{Version: version} }

// play runs a group of n nodes on simulated time.
func play(t *testing.T, n int, check func(*group)) {
	synctest.Test(t, func(t *testing.T) {
		g := &group{C: qt.New(t), net: &network{nodes: map[string]chan cluster.Notice{}, cut: map[string]bool{}, views: map[string]*Follower{}},
			registry: &fakeRegistry{state: registry.State{OperatorState: registry.OperatorState{Table: table(1)}, Leaves: []registry.Leaf{testLeaf("l1", 1)}, Revision: 1}}}
		ctx, cancel := context.WithCancel(context.Background())
		log := decision.New(io.Discard, "n", "z")
		var running sync.WaitGroup
		for i := range n {
			name := string(rune('a' + i))
			g.net.nodes[name] = make(chan cluster.Notice, 64)
			g.registry.state.Members = append(g.registry.state.Members, registry.Member{ID: name, PeerAddress: name})
		}
		for i := range n {
			name := string(rune('a' + i))
			g.refused = append(g.refused, &atomic.Bool{})
			p := port{g.net, name}
			f := New(partly{g.registry, g.refused[i]}, p, p, Config{Self: name, Address: name, Interval: time.Second, OutageGrace: 2 * time.Second}, log, tally.NoopScope, func(registry.State) {})
			g.nodes, g.net.views[name] = append(g.nodes, f), f
			running.Go(func() { f.Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		check(g)
		cancel()
		running.Wait()
		log.Close(time.Second)
	})
}

// view returns a node's state.
func (g *group) view(i int) registry.State {
	g.nodes[i].mu.Lock()
	defer g.nodes[i].mu.Unlock()
	return g.nodes[i].state
}

// Guards against calls to the registry that grow with the number of nodes or of changes.
func TestOneNodeReadsForAll(t *testing.T) {
	play(t, 20, func(g *group) {
		before := g.registry.count()
		for i := range 20 {
			g.registry.set(func(s *registry.State) { s.Leaves = append(s.Leaves, testLeaf("m"+string(rune('a'+i)), s.Revision)) })
			time.Sleep(time.Second)
		}
		time.Sleep(1200 * time.Millisecond)
		for i := range g.nodes {
			g.Assert(g.view(i).Leaves, qt.HasLen, 21)
		}
		g.Assert(g.registry.count()-before <= 25, qt.IsTrue, qt.Commentf("%d reads in 21 s", g.registry.count()-before))
	})
}

// Guards against nodes that act on an old view because the node that reads for all has failed.
func TestNextNodeTakesOver(t *testing.T) {
	play(t, 5, func(g *group) {
		for _, silent := range []string{"a", "b", "c"} {
			g.net.setCut(silent, true)
		}
		time.Sleep(3 * time.Second)
		g.registry.set(func(s *registry.State) { s.Leaves = nil })
		time.Sleep(2200 * time.Millisecond)
		for i := range g.nodes {
			g.Assert(g.view(i).Leaves, qt.HasLen, 0, qt.Commentf("node %d, a cut one too", i))
		}
	})
}

// Guards against a configuration that goes back, and one that is not noticed since cheap reads are old.
func TestConfiguration(t *testing.T) {
	play(t, 4, func(g *group) {
		old := registry.OperatorState{Table: table(1)}
		g.registry.stale = &old
		g.registry.set(func(s *registry.State) { s.Table = table(5) })
		time.Sleep(1200 * time.Millisecond)
		for i := range g.nodes {
			g.Assert(g.view(i).Table.Version, qt.Equals, uint64(5))
		}
		g.registry.set(func(s *registry.State) { s.Table = table(4) })
		time.Sleep(3 * time.Second)
		for i := range g.nodes {
			g.Assert(g.view(i).Table.Version, qt.Equals, uint64(5))
		}
	})
}

// Guards against leaves that are dropped because their entries ran out while the registry was away, and against leaves
// that are kept although they do not come back.
func TestEntriesAfterAnOutage(t *testing.T) {
	play(t, 3, func(g *group) {
		g.registry.fail(errors.New("down"))
		time.Sleep(5 * time.Second)
		g.registry.set(func(s *registry.State) { s.Leaves = nil })
		g.registry.fail(nil)
		time.Sleep(1500 * time.Millisecond)
		kept := 0
		for i := range g.nodes {
			kept += len(g.view(i).Leaves)
		}
		g.Assert(kept, qt.Equals, 3)
		time.Sleep(5 * time.Second)
		for i := range g.nodes {
			g.Assert(g.view(i).Leaves, qt.HasLen, 0)
		}
	})
}

// Guards against a leaf that is kept after it has left, by a node that the registry refused for a while: the others told it
// the news meanwhile, so nothing has lapsed that could come back.
func TestLeafLeavesAfterARefusal(t *testing.T) {
	play(t, 3, func(g *group) {
		last := 0
		for i, m := range g.registry.state.Members {
			if readsBefore(g.registry.state.Members[last], m) {
				last = i
			}
		}
		g.refused[last].Store(true)
		g.net.setCut(string(rune('a'+last)), true)
		time.Sleep(3 * time.Second) // it must read for itself, and fails
		g.net.setCut(string(rune('a'+last)), false)
		time.Sleep(4 * time.Second)
		g.refused[last].Store(false)
		g.net.setCut(string(rune('a'+last)), true) // from here on it reads for itself
		g.registry.set(func(s *registry.State) { s.Leaves = nil })
		time.Sleep(2200 * time.Millisecond)
		g.Assert(g.view(last).Leaves, qt.HasLen, 0)
	})
}

// Guards against a node that is told nothing any more because the registry refuses it and has dropped its entry.
func TestNodeWithoutEntryIsTold(t *testing.T) {
	play(t, 3, func(g *group) {
		g.refused[0].Store(true)
		g.registry.set(func(s *registry.State) { s.Members = s.Members[1:] })
		time.Sleep(1200 * time.Millisecond)
		for i := range 8 {
			g.registry.set(func(s *registry.State) { s.Table = table(uint64(10 + i)) })
			time.Sleep(1500 * time.Millisecond)
			g.Assert(g.view(0).Table.Version, qt.Equals, uint64(10+i))
		}
	})
}

// Guards against entries that are kept longer than they may come back after an outage, since nothing else changes.
func TestHeldEntriesAreDroppedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const comeBack = 2 * time.Second
		r := &fakeRegistry{state: registry.State{OperatorState: registry.OperatorState{Table: table(1)}, Leaves: []registry.Leaf{testLeaf("l1", 1)}, Revision: 1}}
		log := decision.New(io.Discard, "a", "z")
		leaves := make(chan int, 8)
		f := New(r, port{&network{}, "a"}, port{&network{}, "a"}, Config{Self: "a", Interval: 10 * time.Second, OutageGrace: comeBack}, log, tally.NoopScope,
			func(s registry.State) { leaves <- len(s.Leaves) })
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		qt.Assert(t, <-leaves, qt.Equals, 1)
		r.fail(errors.New("down"))
		time.Sleep(30 * time.Second)
		r.set(func(s *registry.State) { s.Leaves = nil })
		reads := r.count()
		r.fail(nil)
		for r.count() == reads {
			time.Sleep(tick)
		}
		returned := time.Now()
		qt.Assert(t, <-leaves, qt.Equals, 0)
		took := time.Since(returned)
		qt.Assert(t, took >= comeBack-2*tick && took <= comeBack+2*tick, qt.IsTrue, qt.Commentf("%v", took))
		cancel()
		synctest.Wait()
		log.Close(time.Second)
	})
}

// Guards against a node that takes notices which waited while it stood still for news.
func TestPauseMakesANodeReadItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		net := &network{nodes: map[string]chan cluster.Notice{"a": make(chan cluster.Notice, 4)}, cut: map[string]bool{}}
		log := decision.New(io.Discard, "a", "z")
		f := New(&fakeRegistry{}, port{net, "a"}, port{net, "a"}, Config{Self: "a", Interval: time.Second}, log, tally.NoopScope, func(registry.State) {})
		f.lastTick, f.confirmed, f.known = time.Now(), time.Now(), true
		net.nodes["a"] <- cluster.Notice{Sender: "b", Digest: digest(f.state)}
		time.Sleep(maxPause)
		f.checkPause()
		c.Assert(f.confirmed.IsZero(), qt.IsTrue)
		c.Assert(net.nodes["a"], qt.HasLen, 0)
		log.Close(time.Second)
	})
}

// Guards against a notice whose changes do not lead to the state that it names.
func TestNoticeMustLeadToItsDigest(t *testing.T) {
	play(t, 2, func(g *group) {
		own := g.view(0)
		next := own
		next.Leaves = append([]registry.Leaf{testLeaf("l0", 9)}, own.Leaves...)
		n := newNotices("b", own, next)[0]
		n.Revision = own.Revision + 1
		c := qt.New(t)
		c.Assert(digest(applied(own, n)), qt.Equals, digest(next))
		n.Leaves = nil
		c.Assert(digest(applied(own, n)), qt.Not(qt.Equals), n.Digest)
		g.net.nodes["a"] <- n
		time.Sleep(500 * time.Millisecond)
		g.Assert(g.view(0).Leaves, qt.HasLen, 1)
	})
}

// Guards against many changes at once that make every node read for itself: they do not fit in one notice.
func TestManyChangesAreToldInSeveralNotices(t *testing.T) {
	play(t, 20, func(g *group) {
		before := g.registry.count()
		g.registry.set(func(s *registry.State) {
			s.Table, s.Evacuated, s.Leaves = table(2), []string{"z9"}, nil
			for i := range 95 {
				s.Leaves = append(s.Leaves, testLeaf(fmt.Sprintf("m%02d", i), s.Revision))
			}
		})
		time.Sleep(1200 * time.Millisecond)
		for i := range g.nodes {
			g.Assert(g.view(i).Leaves, qt.HasLen, 95)
			g.Assert(g.view(i).Table.Version, qt.Equals, uint64(2))
		}
		g.Assert(g.registry.count()-before <= 3, qt.IsTrue, qt.Commentf("%d reads", g.registry.count()-before))
	})
}

// Guards against a node that takes the first of several notices for the whole change.
func TestLostNoticeOfSeveral(t *testing.T) {
	play(t, 2, func(g *group) {
		own := g.view(0)
		next := own
		for i := range 25 {
			next.Leaves = append(next.Leaves, testLeaf(fmt.Sprintf("m%02d", i), 9))
		}
		g.registry.set(func(s *registry.State) { s.Leaves = next.Leaves })
		next.Revision++
		notices := newNotices("b", own, next)
		g.Assert(notices, qt.HasLen, 3)
		g.net.nodes["a"] <- notices[0]
		g.net.nodes["a"] <- notices[2]
		time.Sleep(minRead + 2*tick)
		g.Assert(g.view(0).Leaves, qt.HasLen, 26)
	})
}

// Guards against a weak node that is busy for seconds with telling hundreds of others what it has read only because it was not
// told in time, and against a tier without a reader when the first ones are gone.
func TestLateRanksTellNobody(t *testing.T) {
	var members []registry.Member
	for i := range 60 {
		members = append(members, registry.Member{ID: fmt.Sprintf("n%02d", i), Capacity: 0.2})
	}
	telling := 0
	for _, m := range members {
		f := &Follower{config: Config{Self: m.ID, Capacity: m.Capacity}, state: registry.State{Members: members}}
		qt.Check(t, f.tells(false), qt.Equals, f.rank() == 0)
		if f.tells(true) {
			telling++
		}
	}
	qt.Assert(t, telling, qt.Equals, tellRanks)
}

// Guards against a slow node that reads for all while faster ones wait, and against many nodes that read at once when the
// first ones are gone.
func TestOrderOfReaders(t *testing.T) {
	var members []registry.Member
	for i := range 60 {
		members = append(members, registry.Member{ID: fmt.Sprintf("n%02d", i), Capacity: 0.2})
	}
	members = append(members, registry.Member{ID: "fast", Capacity: 0.8})
	ages := map[time.Duration]int{}
	for _, m := range members {
		f := &Follower{config: Config{Self: m.ID, Capacity: m.Capacity, Interval: time.Second}, state: registry.State{Members: members}}
		if m.ID == "fast" {
			qt.Assert(t, f.rank(), qt.Equals, 0)
		}
		age := f.maxAge()
		qt.Assert(t, age <= 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", age))
		ages[age]++
	}
	for age, nodes := range ages {
		qt.Assert(t, nodes <= 45, qt.IsTrue, qt.Commentf("%d nodes read after %v", nodes, age))
	}
	qt.Assert(t, len(ages) >= 15, qt.IsTrue)
}
