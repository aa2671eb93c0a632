package experiment

import (
	"strconv"
	"time"

	"cyclamenstream/api/leaf"
	"cyclamenstream/internal/slots"
)

// patience is the deadline of a request in the owner's queue, long enough that none is dropped.
const patience = 24 * time.Hour

// ownerQueue is one owner that admits all requests in one queue, with the shipped policy.
type ownerQueue struct {
	sim      *sim
	service  *slots.Service
	replicas []leaf.Replica
	grants   map[*request]*slots.Grant
}

func newOwnerQueue(s *sim) policy {
	start := time.Unix(0, 0)
	p := &ownerQueue{sim: s, grants: map[*request]*slots.Grant{}}
	w := s.workload
	p.service = slots.NewService(slots.Options{
		Limits:   slots.Limits{Slots: w.Slots, ColdSlots: w.Slots},
		MaxQueue: w.Requests,
		Now:      func() time.Time { return start.Add(s.now) },
		Typical:  func() time.Duration { return 0 },
		Wake:     func(time.Duration) {}, // nothing is lost and no request is dropped
		Changed:  func(string, slots.Change) {},
	})
	p.service.Open(start, nil)
	for i := range w.Leaves {
		vm := strconv.Itoa(i)
		p.replicas = append(p.replicas, leaf.Replica{VM: vm})
		p.service.Connect(vm, "", "boot", i)
	}
	return p
}

func (p *ownerQueue) arrive(r *request) {
	deadline := time.Unix(0, 0).Add(p.sim.now + patience)
	granted := func(g *slots.Grant, _ error) {
		p.grants[r] = g
		p.sim.start(r, g.Session().(int))
	}
	need := slots.Request{Replicas: func() []leaf.Replica { return p.replicas }, Deadline: deadline}
	if g, _, _ := p.service.Acquire(need, granted); g != nil {
		granted(g, nil)
	}
}

func (p *ownerQueue) ended(r *request, _ int) {
	g := p.grants[r]
	delete(p.grants, r)
	if err := g.Send(r.service); err != nil {
		panic(err) // the owner and the leaf never change in the model
	}
	g.Finish(slots.Answered, r.service, "boot")
}

// nodeQueues are limits that each node applies by itself, with a queue of its own.
type nodeQueues struct {
	sim     *sim
	free    [][]int // by node and leaf
	waiting [][]*request
}

func newNodeQueues(s *sim) *nodeQueues {
	p := &nodeQueues{sim: s, free: make([][]int, s.workload.Nodes), waiting: make([][]*request, s.workload.Nodes)}
	for i := range p.free {
		p.free[i] = make([]int, s.workload.Leaves)
	}
	return p
}

// newStaticShares deals the slots out to the nodes, as evenly as their number allows. With fewer slots than nodes, some
// nodes could serve nothing.
func newStaticShares(s *sim) policy {
	p := newNodeQueues(s)
	w := s.workload
	for i := range w.Leaves * w.Slots {
		p.free[i%w.Nodes][i%w.Leaves]++
	}
	return p
}

// newNodeLimiter lets each node have one call on each leaf, the least that a limiter in each node can allow.
func newNodeLimiter(s *sim) policy {
	p := newNodeQueues(s)
	for i := range p.free {
		for leaf := range p.free[i] {
			p.free[i][leaf] = 1
		}
	}
	return p
}

func (p *nodeQueues) arrive(r *request) {
	p.waiting[r.node] = append(p.waiting[r.node], r)
	p.next(r.node)
}

func (p *nodeQueues) ended(r *request, leaf int) {
	p.free[r.node][leaf]++
	p.next(r.node)
}

// next starts the node's first waiting request on the leaf with the most free slots; the first leaf to be looked at
// differs between nodes.
func (p *nodeQueues) next(node int) {
	if len(p.waiting[node]) == 0 {
		return
	}
	free := p.free[node]
	best := node % len(free)
	for i := range free {
		if leaf := (node + i) % len(free); free[leaf] > free[best] {
			best = leaf
		}
	}
	if free[best] == 0 {
		return
	}
	r := p.waiting[node][0]
	p.waiting[node] = p.waiting[node][1:]
	free[best]--
	p.sim.start(r, best)
}
