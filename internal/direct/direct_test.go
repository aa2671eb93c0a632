package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/exchange"
	"cyclamenstream/api/registry"
	"cyclamenstream/api/route"
	"cyclamenstream/api/verdict"
)

// bench is a pool with a clock that tests move.
type bench struct {
	*qt.C
	pool *Pool
	now  time.Time
	view View
}

func newBench(t *testing.T, self string, leaves ...registry.Leaf) *bench {
	b := &bench{C: qt.New(t), now: time.Unix(1000, 0)}
	b.pool = New(Config{Self: self, Zone: "z1", Region: "r1", RegionByZone: map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"},
		ColdShare: 1.5, ColdSlack: 5, Now: func() time.Time { return b.now }})
	b.view = View{Leaves: leaves, Services: map[string]route.Service{"s": {Name: "s", MaxConnections: 30}}, Advertised: []string{self}}
	b.pool.Update(b.view)
	return b
}

func leaf(id, zone string) registry.Leaf {
	return registry.Leaf{ID: id, Service: "s", Zone: zone, Address: id + ":1", Slots: 3, Boot: 1}
}

// farWay is the way to the leaves of another region and back.
const farWay = 40 * time.Millisecond

// run sends one request to the best leaf, which works on it for the given time.
func (b *bench) run(k Kind, work time.Duration, exclude ...string) string {
	t, _, err := b.pool.Acquire(Criteria{Service: "s", Exclude: exclude})
	b.Assert(err, qt.IsNil)
	b.now = b.now.Add(work)
	if t.Leaf().Zone != "z1" {
		b.now = b.now.Add(farWay)
	}
	t.Done(Outcome{Kind: k})
	return t.Leaf().ID
}

func (b *bench) next() string { return b.run(Answered, 10*time.Millisecond) }

// Guards against requests that go to another region without need.
func TestNearLeafFirst(t *testing.T) {
	b := newBench(t, "n1", leaf("far", "z2"), leaf("near", "z1"))
	for range 50 {
		b.Assert(b.next(), qt.Equals, "near")
	}
}

// Guards against new work for leaves that leave, are gone, evacuated, outside the allowed regions or replaced.
func TestLeavesThatGetNothing(t *testing.T) {
	draining := leaf("draining", "z1")
	draining.Draining = true
	b := newBench(t, "n1", leaf("near", "z1"), leaf("far", "z2"), draining)

	b.view.EvacuatedZones = []string{"z1"}
	b.pool.Update(b.view)
	b.Assert(b.next(), qt.Equals, "far")
	_, _, err := b.pool.Acquire(Criteria{Service: "s", AllowedRegions: []string{"r1"}})
	b.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNoLeaf)
	b.Assert(verdict.Of(err).IsNotRun(), qt.IsTrue)

	b.view.EvacuatedZones = nil
	b.pool.Update(b.view)
	b.Assert(b.run(Replaced, time.Millisecond), qt.Equals, "near")
	b.Assert(b.next(), qt.Equals, "far")

	b.view.Leaves = []registry.Leaf{draining}
	gone := b.pool.Update(b.view)
	b.Assert(gone, qt.HasLen, 2)
	_, _, err = b.pool.Acquire(Criteria{Service: "s"})
	b.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNoLeaf)
}

// Guards against new requests that queue behind a leaf's pause, and against a leaf that is avoided long after it.
func TestPause(t *testing.T) {
	b := newBench(t, "n1", leaf("far", "z2"), leaf("near", "z1"))
	for range 10 {
		b.next()
	}
	waiting, _, err := b.pool.Acquire(Criteria{Service: "s"})
	b.Assert(err, qt.IsNil)
	b.Assert(waiting.Leaf().ID, qt.Equals, "near")
	second, _, err := b.pool.Acquire(Criteria{Service: "s"})
	b.Assert(err, qt.IsNil)
	b.Assert(second.Leaf().ID, qt.Equals, "near")
	b.now = b.now.Add(100 * time.Millisecond)
	b.Assert(b.run(Answered, 50*time.Millisecond), qt.Equals, "far")
	waiting.Done(Outcome{Kind: Answered})
	second.Done(Outcome{Kind: Answered})
	b.Assert(b.next(), qt.Equals, "near")
}

// Guards against a leaf that stays in use while it is several times slower than the others.
func TestSlowLeaf(t *testing.T) {
	b := newBench(t, "n1", leaf("far", "z2"), leaf("near", "z1"))
	for range 10 {
		b.next()
	}
	slow := 0
	for b.run(Answered, 150*time.Millisecond) == "near" {
		slow++
		b.Assert(slow <= samples, qt.IsTrue)
	}
	b.now = b.now.Add(forgetAfter + time.Millisecond)
	b.Assert(b.next(), qt.Equals, "near") // it is tried again
}

// Guards against requests to a leaf that breaks connections, and against a flood when it may be back.
func TestBrokenLeafIsAvoidedAndProbed(t *testing.T) {
	b := newBench(t, "n1", leaf("far", "z2"), leaf("near", "z1"))
	b.Assert(b.run(Broken, time.Millisecond), qt.Equals, "near")
	for range 5 {
		b.Assert(b.next(), qt.Equals, "far")
	}
	b.now = b.now.Add(firstAvoidance + 4*failureHalfLife)
	probe, _, err := b.pool.Acquire(Criteria{Service: "s"})
	b.Assert(err, qt.IsNil)
	b.Assert(probe.Leaf().ID, qt.Equals, "near")
	second, _, err := b.pool.Acquire(Criteria{Service: "s"})
	b.Assert(err, qt.IsNil)
	b.Assert(second.Leaf().ID, qt.Equals, "far") // only one until it has answered
	b.now = b.now.Add(10 * time.Millisecond)
	probe.Done(Outcome{Kind: Answered})
	b.now = b.now.Add(farWay)
	second.Done(Outcome{Kind: Answered})
	b.now = b.now.Add(4 * failureHalfLife)
	b.Assert(b.next(), qt.Equals, "near")
}

// Guards against work for a leaf whose answers fail while it looks healthy.
func TestFailuresMoveWorkAway(t *testing.T) {
	b := newBench(t, "n1", leaf("far", "z2"), leaf("near", "z1"))
	for range 2 {
		b.run(Failed, 5*time.Millisecond, "far")
	}
	b.Assert(b.next(), qt.Equals, "far")
}

// Guards against more connections to a leaf than this node's part of what it accepts.
func TestConnectionShare(t *testing.T) {
	b := newBench(t, "n1", leaf("near", "z1"))
	b.view.Advertised = []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"}
	b.pool.Update(b.view)
	var tickets []*Ticket
	for {
		ticket, freed, err := b.pool.Acquire(Criteria{Service: "s"})
		if err != nil {
			b.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeOverloaded)
			tickets[0].Done(Outcome{Kind: Answered})
			<-freed
			break
		}
		b.Assert(ticket.Connections, qt.Equals, 3)
		tickets = append(tickets, ticket)
	}
	b.Assert(tickets, qt.HasLen, 3)
}

// Guards against a hedge to a leaf that would answer too late, and against using a leaf that has just failed while a
// sound one is only full for a moment.
func TestNeeds(t *testing.T) {
	b := newBench(t, "n1", leaf("far", "z2"), leaf("near", "z1"))
	_, _, err := b.pool.Acquire(Criteria{Service: "s", Exclude: []string{"near"}, MaxLatency: 20 * time.Millisecond})
	b.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeOverloaded)

	b.view.Services = map[string]route.Service{"s": {Name: "s", MaxConnections: 1}}
	b.pool.Update(b.view)
	b.run(Broken, time.Millisecond, "near")
	_, _, err = b.pool.Acquire(Criteria{Service: "s"})
	b.Assert(err, qt.IsNil)
	_, freed, err := b.pool.Acquire(Criteria{Service: "s", WaitForHealthy: true})
	b.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeOverloaded)
	b.Assert(freed, qt.IsNotNil)
	ticket, _, err := b.pool.Acquire(Criteria{Service: "s"})
	b.Assert(err, qt.IsNil)
	b.Assert(ticket.Leaf().ID, qt.Equals, "far")
}

// Guards against a cold leaf that gets more from all nodes together than it handles, in any second.
func TestColdLimitOverAllNodes(t *testing.T) {
	const rate, bound = 4.0, 4*1.5 + 5
	nodes := make([]string, 20)
	for i := range nodes {
		nodes[i] = fmt.Sprintf("n%d", i)
	}
	cold := leaf("cold", "z1")
	cold.WarmupLeft = 10 * time.Second
	start := time.Unix(1000, 0)
	var sent []time.Duration
	for _, node := range nodes {
		b := newBench(t, node, cold)
		b.view.Advertised = nodes
		b.view.Services = map[string]route.Service{"s": {Name: "s", WarmupRate: rate}}
		b.pool.Update(b.view)
		for at := time.Duration(0); at < 5*time.Second; at += 20 * time.Millisecond {
			b.now = start.Add(at)
			if ticket, _, err := b.pool.Acquire(Criteria{Service: "s"}); err == nil {
				ticket.Done(Outcome{Kind: Answered})
				sent = append(sent, at)
			}
		}
	}
	slices.Sort(sent)
	qt.Assert(t, len(sent) > 0, qt.IsTrue)
	for i := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at-sent[i] < time.Second {
				n++
			}
		}
		qt.Assert(t, float64(n) <= bound, qt.IsTrue, qt.Commentf("%d requests in the second from %v", n, sent[i]))
	}
}

// Guards against a leaf that restarts under its identifier and keeps the reputation of its former boot.
func TestNewBootIsAnotherLeaf(t *testing.T) {
	b := newBench(t, "n1", leaf("near", "z1"), leaf("far", "z2"))
	b.run(Replaced, time.Millisecond)
	again := leaf("near", "z1")
	again.Boot = 2
	b.view.Leaves = []registry.Leaf{again, leaf("far", "z2")}
	gone := b.pool.Update(b.view)
	b.Assert(gone, qt.HasLen, 1)
	b.Assert(b.next(), qt.Equals, "near")
}

// Guards against requests that queue at a leaf which reports that it is full.
func TestReportedLoad(t *testing.T) {
	b := newBench(t, "n1", leaf("a", "z1"), leaf("b", "z1"))
	ticket, _, err := b.pool.Acquire(Criteria{Service: "s", Exclude: []string{"b"}})
	b.Assert(err, qt.IsNil)
	b.now = b.now.Add(10 * time.Millisecond)
	ticket.Done(Outcome{Kind: Answered, Load: &exchange.Load{Running: 3, Waiting: 4, Slots: 3}})
	b.Assert(b.run(Answered, 10*time.Millisecond), qt.Equals, "b")
}
