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
			startAfter := time.Duration(random.Int64N(int64(startSpread)))
			running.Go(func() {
				time.Sleep(startAfter)
				nodes[i].Run(ctx)
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
		// Each node reads once, and the nodes of the first ranks read until they know of each other.
		c.Check(r.readCount() <= 2*fleetNodes, qt.IsTrue, qt.Commentf("%d reads by %d nodes", r.readCount(), fleetNodes))
	})
}
