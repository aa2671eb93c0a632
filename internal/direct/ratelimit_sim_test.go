package direct

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/registry"
	"cyclamenstream/api/route"
)

const (
	// A leaf may get allowedFactor times its stated limit plus allowedSlack requests in any limitWindow, from limitGrace
	// on after it has first stated the limit.
	allowedFactor = 1.5
	allowedSlack  = 5
	limitWindow   = 4 * time.Second
	limitGrace    = 5 * time.Second
	// simulationStep is the step of the simulated time.
	simulationStep = 5 * time.Millisecond
)

// limitCase is a tier whose leaves state limits. Each leaf is in another zone, and the nodes are spread over the zones.
type limitCase struct {
	name         string
	nodes, spare int // spare nodes are not advertised to callers
	// limits has an entry for each leaf; 0 and more is a limit, a negative one means that the leaf states none.
	limits []float64
	// demand is the number of requests a second of all callers together.
	demand float64
	// idle is a time without requests in the middle of the simulation. restart restarts a node each second.
	idle    time.Duration
	restart bool
	// minServed is the smallest share of the requests that the leaves must take after limitGrace.
	minServed float64
}

// simulation runs the pools of all nodes on one clock.
type simulation struct {
	limitCase
	random   *rand.Rand
	now      time.Time
	view     View
	pools    []*Pool
	pending  []pendingReply
	arrivals map[string][]time.Time
	asked    int
	served   int
}

type pendingReply struct {
	at     time.Time
	ticket *Ticket
}

func newSimulation(c limitCase, seed uint64) *simulation {
	s := &simulation{limitCase: c, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), arrivals: map[string][]time.Time{}}
	s.view = View{Services: map[string]route.Service{"s": {Name: "s", MaxConnections: 26}}}
	for i := range c.limits {
		s.view.Leaves = append(s.view.Leaves, registry.Leaf{ID: fmt.Sprint("l", i), Service: "s", Zone: fmt.Sprint("z", i), Slots: 2, Boot: 1})
	}
	for i := range c.nodes - c.spare {
		s.view.Advertised = append(s.view.Advertised, fmt.Sprint("n", i))
	}
	s.view.Nodes = c.nodes
	for i := range c.nodes {
		s.pools = append(s.pools, s.newPool(i))
	}
	return s
}

func (s *simulation) newPool(node int) *Pool {
	regions := map[string]string{}
	for i := range s.limits {
		regions[fmt.Sprint("z", i)] = fmt.Sprint("r", i)
	}
	zone := node % len(s.limits)
	p := New(Config{Self: fmt.Sprint("n", node), Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone), RegionByZone: regions,
		Now: func() time.Time { return s.now }})
	p.Update(s.view)
	return p
}

// run simulates the given time.
func (s *simulation) run(d time.Duration) {
	const quiet = 10 * time.Second // before the idle time
	began := s.now
	for s.now.Sub(began) < d {
		s.now = s.now.Add(simulationStep)
		elapsed := s.now.Sub(began)
		s.deliverReplies()
		if s.restart && elapsed%time.Second == 0 {
			node := s.random.IntN(s.nodes)
			s.pools[node] = s.newPool(node)
		}
		if idle := elapsed - quiet; idle >= 0 && idle < s.idle {
			continue
		}
		for node := range s.pools {
			if s.random.Float64() < s.demand/float64(s.nodes)*simulationStep.Seconds() {
				s.request(node, elapsed >= limitGrace)
			}
		}
	}
}

func (s *simulation) request(node int, counted bool) {
	if counted {
		s.asked++
	}
	ticket, _, err := s.pools[node].Acquire(Criteria{Service: "s"})
	if err != nil {
		return
	}
	if counted {
		s.served++
	}
	s.arrivals[ticket.leaf.ID] = append(s.arrivals[ticket.leaf.ID], s.now)
	s.pending = append(s.pending, pendingReply{s.now.Add(10 * time.Millisecond), ticket})
}

func (s *simulation) deliverReplies() {
	for len(s.pending) > 0 && !s.now.Before(s.pending[0].at) {
		ticket := s.pending[0].ticket
		s.pending = s.pending[1:]
		outcome := Outcome{Kind: Answered}
		for i, l := range s.view.Leaves {
			if limit := s.limits[i]; l.ID == ticket.leaf.ID && limit >= 0 {
				outcome.RateLimit = &limit
			}
		}
		ticket.Done(outcome)
	}
}

// most returns the largest number of requests that a leaf got in any limitWindow from limitGrace on.
func (s *simulation) most(leaf string) int {
	list, most, from := s.arrivals[leaf], 0, 0
	for i, at := range list {
		for at.Sub(list[from]) >= limitWindow || list[from].Before(time.Unix(1000, 0).Add(limitGrace)) {
			if from == i {
				break
			}
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against leaves that get more requests from all nodes together than they state that they accept, and against
// limits that the nodes leave unused while requests are refused.
func TestStatedLimitHoldsOverAllNodes(t *testing.T) {
	for _, c := range []limitCase{
		{name: "two of three leaves", nodes: 7, limits: []float64{26, 29, -1}, demand: 168, minServed: 0.99},
		{name: "all leaves", nodes: 8, limits: []float64{26, 29, 24}, demand: 168, minServed: 0.40},
		{name: "low limits", nodes: 8, limits: []float64{3, 2, 4}, demand: 168, minServed: 0.04},
		{name: "no requests accepted", nodes: 7, limits: []float64{0, -1, -1}, demand: 100, minServed: 0.99},
		{name: "many nodes", nodes: 63, spare: 30, limits: []float64{13, 15, 14}, demand: 140, minServed: 0.2},
		{name: "more nodes than a limit has room for", nodes: 300, limits: []float64{40, 30, 50}, demand: 600, minServed: 0.12},
		{name: "requests after a pause", nodes: 8, limits: []float64{10, 12, 9}, demand: 168, idle: 5 * time.Second, minServed: 0.15},
		{name: "nodes restart", nodes: 8, limits: []float64{26, 29, -1}, demand: 168, restart: true, minServed: 0.99},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := qt.New(t)
			s := newSimulation(c, 1)
			s.run(30 * time.Second)
			for i, limit := range c.limits {
				if limit < 0 {
					continue
				}
				leaf, allowed := fmt.Sprint("l", i), int(allowedFactor*limit*limitWindow.Seconds()+allowedSlack)
				q.Check(s.most(leaf) <= allowed, qt.IsTrue, qt.Commentf("%s got %d requests in %v, %d are allowed", leaf, s.most(leaf), limitWindow, allowed))
			}
			share := float64(s.served) / float64(s.asked)
			q.Check(share >= c.minServed, qt.IsTrue, qt.Commentf("%.3f of the requests were sent, %.3f are wanted", share, c.minServed))
		})
	}
}
