package follow

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
	"cyclamenstream/internal/decision"
)

const (
	fleetNodes = 60
	// startSpread is the time within which the nodes of a fleet start.
	startSpread = 300 * time.Millisecond
	// publishTime is how long the calls take that publish a node's entry.
	publishTime = 20 * time.Millisecond
)

// runFleet starts nodes that publish their entries as soon as they know the state of the registry.
func runFleet(t *testing.T, check func(c *qt.C, r *fakeRegistry, nodes []*Follower)) {
	synctest.Test(t, func(t *testing.T) {
		net := &network{nodes: map[string]chan cluster.Notice{}, isolated: map[string]bool{}, views: map[string]*Follower{}}
		r := &fakeRegistry{state: registry.State{OperatorState: registry.OperatorState{Table: table(1)}, Revision: 1}}
		for i := range 200 {
			r.state.Leaves = append(r.state.Leaves, testLeaf(fmt.Sprintf("l%03d", i), 1))
		}
		log := decision.New(io.Discard, "n", "z")
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		random := rand.New(rand.NewPCG(1, 2))
		nodes := make([]*Follower, fleetNodes)
		for i := range nodes {
			name := fmt.Sprintf("n%02d", i)
			net.nodes[name] = make(chan cluster.Notice, 128)
			nodes[i] = New(r, endpoint{net, name}, endpoint{net, name}, Config{Self: name, Address: name, Interval: 2 * time.Second, OutageGrace: 2 * time.Second, RestoreGrace: 4 * time.Second},
				log, tally.NoopScope, publishOnce(r, registry.Member{ID: name, PeerAddress: name}))
			net.views[name] = nodes[i]
		}
		for _, n := range nodes {
			startAfter := time.Duration(random.Int64N(int64(startSpread)))
			running.Go(func() {
				time.Sleep(startAfter)
				n.Run(ctx)
			})
		}
		check(qt.New(t), r, nodes)
		cancel()
		running.Wait()
		log.Close(time.Second)
	})
}

// publishOnce returns a callback that publishes a node's entry at the first state.
func publishOnce(r *fakeRegistry, m registry.Member) func(registry.State) {
	var once sync.Once
	return func(registry.State) {
		once.Do(func() {
			time.AfterFunc(publishTime, func() {
				r.update(func(s *registry.State) {
					s.Members = append(slices.Clone(s.Members), m)
					slices.SortFunc(s.Members, func(a, b registry.Member) int { return strings.Compare(a.ID, b.ID) })
				})
			})
		})
	}
}

// Guards against a start of a fleet in which each node reads the registry again for the entries of the others.
func TestStartOfAFleet(t *testing.T) {
	runFleet(t, func(c *qt.C, r *fakeRegistry, nodes []*Follower) {
		time.Sleep(10 * time.Second)
		for _, n := range nodes {
			n.mu.Lock()
			c.Check(n.state.Members, qt.HasLen, fleetNodes)
			n.mu.Unlock()
		}
		// One node reads for all in each interval of 2 s.
		c.Check(r.readCount() <= 10, qt.IsTrue, qt.Commentf("%d linearizable reads by %d nodes", r.readCount(), fleetNodes))
		r.mu.Lock()
		defer r.mu.Unlock()
		c.Check(r.cheapReads <= 4*fleetNodes, qt.IsTrue, qt.Commentf("%d serializable reads by %d nodes", r.cheapReads, fleetNodes))
		c.Check(r.serializableReads <= 2*fleetNodes, qt.IsTrue, qt.Commentf("%d serializable reads of the operators' state", r.serializableReads))
		c.Check(r.linearizableReads <= fleetNodes, qt.IsTrue, qt.Commentf("%d linearizable reads of the operators' state", r.linearizableReads))
	})
}

// Guards against notices of many changes to many nodes, of which links drop most, and against nodes that miss the changes or
// read the registry linearizably because they do not get them in notices.
func TestManyChangesInAFleet(t *testing.T) {
	for _, stale := range []bool{false, true} {
		t.Run(fmt.Sprintf("stale=%t", stale), func(t *testing.T) {
			runFleet(t, func(c *qt.C, r *fakeRegistry, nodes []*Follower) {
				time.Sleep(10 * time.Second)
				r.mu.Lock()
				if before := r.state; stale {
					r.stale = &before
				}
				r.mu.Unlock()
				reads, sent := r.readCount(), notices(nodes)
				r.update(func(s *registry.State) {
					s.Leaves = nil
					for i := range 400 {
						s.Leaves = append(s.Leaves, testLeaf(fmt.Sprintf("m%03d", i), s.Revision))
					}
				})
				time.Sleep(3 * time.Second)
				for _, n := range nodes {
					n.mu.Lock()
					c.Check(n.state.Leaves, qt.HasLen, 400)
					n.mu.Unlock()
				}
				c.Check(noticeBytes*(notices(nodes)-sent) <= 2*maxNoticeBytes, qt.IsTrue, qt.Commentf("%d notices", notices(nodes)-sent))
				if !stale {
					c.Check(r.readCount()-reads <= 3, qt.IsTrue, qt.Commentf("%d linearizable reads", r.readCount()-reads))
				}
			})
		})
	}
}

// notices returns the number of notices that the nodes have sent.
func notices(nodes []*Follower) int {
	net := nodes[0].peers.(endpoint).network
	net.mu.Lock()
	defer net.mu.Unlock()
	return net.notices
}

// Guards against nodes of low capacity that delay the first reads of those to which callers are sent, and against a tier of
// ordinary nodes that starts later than necessary.
func TestNodesOfLowCapacityReadLater(t *testing.T) {
	c := qt.New(t)
	for capacity, want := range map[float64]time.Duration{0: 0, 0.8: 0, 0.4: 0, lowCapacity: 0, lowCapacity / 2: maxFirstDelay / 2} {
		c.Check(Config{Capacity: capacity}.firstDelay(), qt.Equals, want, qt.Commentf("%v cores", capacity))
	}
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRegistry{state: registry.State{OperatorState: registry.OperatorState{Table: table(1)}, Revision: 1}}
		log := decision.New(io.Discard, "a", "z")
		serving := make(chan time.Time, 1)
		f := New(r, endpoint{&network{}, "a"}, endpoint{&network{}, "a"}, Config{Self: "a", Interval: time.Second, Capacity: lowCapacity / 2}, log, tally.NoopScope,
			func(registry.State) { serving <- time.Now() })
		ctx, cancel := context.WithCancel(context.Background())
		began := time.Now()
		go f.Run(ctx)
		took := (<-serving).Sub(began)
		qt.Check(t, took >= maxFirstDelay/2 && took <= maxFirstDelay/2+2*tickInterval, qt.IsTrue, qt.Commentf("%v", took))
		cancel()
		synctest.Wait()
		log.Close(time.Second)
	})
}
