// Package experiment compares ways to share the slots of a service's leaves among nodes, in virtual time and without a
// network. Figures are of the model only: forwarding to an owner, sessions and cold starts are left out.
package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Workload describes the requests, nodes and leaves of one run.
type Workload struct {
	Nodes, Leaves int
	// Slots is the number of calls that a leaf works on at the same time; more wait in the leaf in order of arrival,
	// without loss of efficiency. A real leaf may do worse.
	Slots int
	// Load is the offered work relative to what all slots can do, 0 to 1. Requests arrive independently (Poisson), each
	// at a random node, and any leaf can serve them.
	Load float64
	// Service is the mean service time without stragglers; service times are uniform from half to one and a half of it.
	Service time.Duration
	// StragglerShare of the requests, 0 to 1, take StragglerFactor times longer.
	StragglerShare, StragglerFactor float64
	Requests                        int
	Seed                            uint64
}

// Small is a small service of either user: 3 leaves with 3 slots and 8 nodes, at 70% load, with 1% stragglers that
// take 10 times longer.
func Small() Workload {
	return Workload{
		Nodes: 8, Leaves: 3, Slots: 3, Load: 0.7, Service: 10 * time.Millisecond,
		StragglerShare: 0.01, StragglerFactor: 10, Requests: 200_000, Seed: 1,
	}
}

// Result holds the time from arrival at a node to the end on the leaf, and the most calls that a leaf had at once.
type Result struct {
	Policy          string
	P50, P99, P999  time.Duration
	HighestInFlight int
}

// String returns one line of a table.
func (r Result) String() string {
	return fmt.Sprintf("%-14s p50 %8v  p99 %8v  p99.9 %8v  highest in flight %d", r.Policy,
		r.P50.Round(10*time.Microsecond), r.P99.Round(10*time.Microsecond), r.P999.Round(10*time.Microsecond),
		r.HighestInFlight)
}

// request is one request of the workload.
type request struct {
	arrival time.Duration
	service time.Duration
	node    int
}

// policy decides which leaf gets a request and when. It calls sim.start, and is told of each end.
type policy interface {
	arrive(r *request)
	ended(r *request, leaf int)
}

// policies are the policies by name, in the order of Names.
var policies = []struct {
	name string
	make func(s *sim) policy
}{
	{"owner-queue", newOwnerQueue},
	{"static-shares", newStaticShares},
	{"node-limiter", newNodeLimiter},
}

// Names returns the names of the policies.
func Names() []string {
	names := make([]string, 0, len(policies))
	for _, p := range policies {
		names = append(names, p.name)
	}
	return names
}

// Run runs the workload under the named policy. Equal workloads give equal requests and equal results.
func Run(name string, w Workload) (Result, error) {
	for _, p := range policies {
		if p.name == name {
			s := &sim{workload: w, leaves: make([]leafModel, w.Leaves)}
			s.policy = p.make(s)
			return s.run(name), nil
		}
	}
	return Result{}, fmt.Errorf("no policy %q; there are %v", name, Names())
}

// sim runs events in order of their time.
type sim struct {
	workload  Workload
	policy    policy
	leaves    []leafModel
	now       time.Duration
	events    events
	serial    int // of the last event
	latencies []time.Duration
	highest   int
}

// leafModel is a leaf with Workload.Slots servers and a queue.
type leafModel struct {
	inFlight int
	waiting  []*request
}

func (s *sim) run(name string) Result {
	for _, r := range s.workload.requests() {
		s.at(r.arrival, func() { s.policy.arrive(r) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	slices.Sort(s.latencies)
	quantile := func(q float64) time.Duration { return s.latencies[int(q*float64(len(s.latencies)-1))] }
	return Result{
		Policy: name, P50: quantile(0.5), P99: quantile(0.99), P999: quantile(0.999), HighestInFlight: s.highest,
	}
}

func (w Workload) requests() []*request {
	random := rand.New(rand.NewPCG(w.Seed, 0))
	mean := float64(w.Service) * (1 + w.StragglerShare*(w.StragglerFactor-1))
	between := mean / (w.Load * float64(w.Leaves*w.Slots))
	requests := make([]*request, w.Requests)
	var at float64
	for i := range requests {
		at += random.ExpFloat64() * between
		service := float64(w.Service) * (0.5 + random.Float64())
		if random.Float64() < w.StragglerShare {
			service *= w.StragglerFactor
		}
		requests[i] = &request{time.Duration(at), time.Duration(service), random.IntN(w.Nodes)}
	}
	return requests
}

// start sends a request to a leaf.
func (s *sim) start(r *request, leaf int) {
	l := &s.leaves[leaf]
	l.inFlight++
	s.highest = max(s.highest, l.inFlight)
	if l.inFlight > s.workload.Slots {
		l.waiting = append(l.waiting, r)
		return
	}
	s.serve(r, leaf)
}

func (s *sim) serve(r *request, leaf int) {
	s.at(s.now+r.service, func() {
		l := &s.leaves[leaf]
		l.inFlight--
		s.latencies = append(s.latencies, s.now-r.arrival)
		if len(l.waiting) > 0 {
			next := l.waiting[0]
			l.waiting = l.waiting[1:]
			s.serve(next, leaf)
		}
		s.policy.ended(r, leaf)
	})
}

func (s *sim) at(t time.Duration, do func()) {
	s.serial++
	heap.Push(&s.events, event{t, s.serial, do})
}

// event is something that happens at a time. Events at the same time happen in the order of serial.
type event struct {
	at     time.Duration
	serial int
	do     func()
}

// events is a heap of events.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
