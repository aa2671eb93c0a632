package follow

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
	"cyclamenstream/internal/decision"
)

// Guards against a node that serves an old configuration, or sends to leaves that have left, because the registry
// refuses it while the other nodes learn of every change.
func TestRefusedNodeLearnsFromOthers(t *testing.T) {
	runGroup(t, 3, func(g *group) {
		g.refused[0].Store(true)
		time.Sleep(3 * time.Second)
		for i := range 8 {
			g.registry.update(func(s *registry.State) {
				s.Table, s.Leaves = table(uint64(10+i)), []registry.Leaf{testLeaf("m", s.Revision)}
			})
			time.Sleep(1500 * time.Millisecond)
			g.Assert(g.state(0).Table.Version, qt.Equals, uint64(10+i))
			g.Assert(g.state(0).Leaves[0].ID, qt.Equals, "m")
		}
	})
}

// Guards against a node that the registry refuses and that takes the view of a node which has not heard the news yet for
// the newest.
func TestRefusedNodeAsksTheSenderIfOthersAreBehind(t *testing.T) {
	runGroup(t, 4, func(g *group) {
		refused := g.lastRank()
		g.net.mu.Lock()
		g.net.delay, g.net.delayed = 300*time.Millisecond, map[string]bool{}
		for i := range g.nodes {
			if i != refused {
				g.net.delayed[string(rune('a'+i))] = true
			}
		}
		g.net.mu.Unlock()
		g.refused[refused].Store(true)
		g.registry.update(func(s *registry.State) { s.Table = table(2) })
		time.Sleep(4 * time.Second) // the node has found that the registry refuses it alone
		for i := range 10 {
			g.registry.update(func(s *registry.State) { s.Table = table(uint64(10 + i)) })
			time.Sleep(1250 * time.Millisecond) // an interval between two reads, and less than the delay
			g.Assert(configVersion(g.state(refused)), qt.Equals, uint64(10+i))
		}
	})
}

// Guards against a node whose state gets out of date when the registry refuses it and notices do not reach it either.
func TestRefusedNodeAsksForViews(t *testing.T) {
	runGroup(t, 3, func(g *group) {
		g.refused[0].Store(true)
		g.net.mu.Lock()
		g.net.nodes["a"] = nil // its notices are lost from here on
		g.net.mu.Unlock()
		time.Sleep(2 * time.Second)
		g.registry.update(func(s *registry.State) { s.Table = table(7) })
		time.Sleep(3500 * time.Millisecond)
		g.Assert(g.state(0).Table.Version, qt.Equals, uint64(7))
	})
}

// Guards against nodes that all request the view of a notice's sender when the registry answers again, and against
// nodes that continue to request views although notices reach them.
func TestViewsAreNotAskedForAfterAnOutage(t *testing.T) {
	runGroup(t, 8, func(g *group) {
		g.registry.setError(errors.New("down"))
		time.Sleep(6 * time.Second)
		g.registry.setError(nil)
		time.Sleep(3500 * time.Millisecond) // the first reader has sent its notices
		g.net.mu.Lock()
		g.net.viewRequests = 0
		g.net.mu.Unlock()
		for i := range 5 {
			g.registry.update(func(s *registry.State) { s.Table = table(uint64(10 + i)) })
			time.Sleep(2 * time.Second)
			for n := range g.nodes {
				g.Assert(g.state(n).Table.Version, qt.Equals, uint64(10+i))
			}
		}
		g.net.mu.Lock()
		defer g.net.mu.Unlock()
		g.Assert(g.net.viewRequests, qt.Equals, 0)
	})
}

// startNode starts another node, which has no state.
func (g *group) startNode(ctx context.Context, name string, r registry.Registry) *Follower {
	g.net.mu.Lock()
	g.net.nodes[name] = make(chan cluster.Notice, 64)
	g.net.mu.Unlock()
	log := decision.New(io.Discard, name, "z")
	f := New(r, endpoint{g.net, name}, endpoint{g.net, name}, Config{Self: name, Address: name, Interval: time.Second, OutageGrace: 2 * time.Second},
		log, tally.NoopScope, func(registry.State) {})
	g.net.mu.Lock()
	g.net.views[name] = f
	g.net.mu.Unlock()
	go func() { f.Run(ctx); log.Close(time.Second) }()
	return f
}

// unresponsiveRegistry never answers reads.
type unresponsiveRegistry struct{ registry.Registry }

func (unresponsiveRegistry) ReadOperatorState(ctx context.Context, _ registry.Consistency) (registry.State, error) {
	<-ctx.Done()
	return registry.State{}, ctx.Err()
}

func (unresponsiveRegistry) Read(ctx context.Context, _ registry.Consistency) (registry.State, error) {
	<-ctx.Done()
	return registry.State{}, ctx.Err()
}

// Guards against nodes that start during an outage of the registry and refuse all requests, although others have a
// state.
func TestStartFromAnotherNode(t *testing.T) {
	for name, r := range map[string]func(*group) registry.Registry{
		"refused":  func(g *group) registry.Registry { return g.registry },
		"no reply": func(*group) registry.Registry { return unresponsiveRegistry{} },
	} {
		t.Run(name, func(t *testing.T) {
			runGroup(t, 8, func(g *group) {
				ctx, cancel := context.WithCancel(context.Background())
				defer func() { cancel(); time.Sleep(2 * time.Second) }()
				g.registry.setError(errors.New("down"))
				time.Sleep(5 * time.Second)
				f := g.startNode(ctx, "h", r(g))
				time.Sleep(4 * time.Second)
				g.Assert(f.Serving(), qt.IsTrue)
			})
		})
	}
}

// Guards against an old view that replaces a newer one, and against an unconfirmed view that is taken for the newest.
func TestOldViewChangesNothing(t *testing.T) {
	runGroup(t, 1, func(g *group) {
		log := decision.New(io.Discard, "x", "z")
		defer log.Close(time.Second)
		f := New(g.registry, endpoint{g.net, "x"}, endpoint{g.net, "x"}, Config{Self: "x", Interval: time.Second}, log, tally.NoopScope, func(registry.State) {})
		newest := registry.State{OperatorState: registry.OperatorState{Table: table(3)}, Revision: 9}
		g.Assert(f.applyView(cluster.View{State: newest}, time.Now(), "b"), qt.IsFalse)
		g.Assert(f.state.Table.Version, qt.Equals, uint64(3)) // an unconfirmed state is used if there is none
		g.Assert(f.confirmed.IsZero(), qt.IsTrue)
		older := registry.State{OperatorState: registry.OperatorState{Table: table(2)}, Revision: 8}
		f.applyView(cluster.View{State: older, Confirmed: true}, time.Now(), "b")
		g.Assert(f.state.Table.Version, qt.Equals, uint64(3))
		g.Assert(f.confirmed.IsZero(), qt.IsTrue)
		g.Assert(f.applyView(cluster.View{State: newest, Same: true, Confirmed: true, Age: 3 * time.Second}, time.Now(), "b"), qt.IsFalse)
		g.Assert(f.applyView(cluster.View{State: newest, Same: true, Confirmed: true}, time.Now(), "b"), qt.IsTrue)
	})
}
