// Package direct admits requests straight to leaves: it chooses the leaf by what this node has seen of it and keeps the
// node's share of every limit that holds over all nodes. Leaves that cannot take a request refuse it themselves.
package direct

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cyclamenstream/api/registry"
	"cyclamenstream/api/route"
	"cyclamenstream/api/verdict"
)

// Config holds what does not change while the process runs.
type Config struct {
	// Self is the name of this node's VM; Zone and Region are its place.
	Self, Zone, Region string
	// RegionByZone names the region of each zone.
	RegionByZone map[string]string
	// ColdShare and ColdSlack bound the requests that all nodes together send to a cold leaf in any second: the
	// service's warm-up rate times ColdShare, plus ColdSlack.
	ColdShare, ColdSlack float64
	// Now reads the monotonic clock.
	Now func() time.Time
}

// View is what the pool admits by.
type View struct {
	Leaves         []registry.Leaf
	Services       map[string]route.Service
	EvacuatedZones []string
	// Advertised holds the names of the nodes that callers are sent to; the other nodes hardly send anything.
	Advertised []string
}

// Pool is the leaves of all services. It is safe for concurrent use; each service has its own lock.
type Pool struct {
	config   Config
	zones    distances
	mu       sync.RWMutex
	services map[string]*service
}

// service holds the leaves of one service.
type service struct {
	pool *Pool

	mu        sync.Mutex
	leaves    []*leafState
	evacuated []string
	// usualWork is the latency of the leaves without the way to them.
	usualWork time.Duration
	// freed is closed and replaced when a request ends or a leaf is added.
	freed chan struct{}
}

// New returns an empty pool.
func New(c Config) *Pool {
	return &Pool{config: c, zones: newDistances(c), services: map[string]*service{}}
}

// Update replaces the view. It returns the leaves that are gone.
func (p *Pool) Update(v View) (gone []registry.Leaf) {
	byService := map[string][]registry.Leaf{}
	for _, l := range v.Leaves {
		byService[l.Service] = append(byService[l.Service], l)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range byService {
		if p.services[name] == nil {
			p.services[name] = &service{pool: p, freed: make(chan struct{})}
		}
	}
	for name, s := range p.services {
		gone = append(gone, s.update(byService[name], v.Services[name], v)...)
	}
	return gone
}

func (s *service) update(leaves []registry.Leaf, settings route.Service, v View) (gone []registry.Leaf) {
	now := s.pool.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = v.EvacuatedZones
	old := s.leaves
	s.leaves = make([]*leafState, 0, len(leaves))
	for _, l := range leaves {
		i := slices.IndexFunc(old, func(o *leafState) bool { return o.same(l) })
		var state *leafState
		if i >= 0 {
			state = old[i]
			state.leaf.Draining, state.leaf.Slots = l.Draining, l.Slots
		} else {
			state = newLeafState(l, &s.pool.zones, now)
		}
		state.connections = s.pool.config.connectionShare(settings.MaxConnections, v.Advertised)
		state.cold.share(settings, s.pool.config, l.ID, v.Advertised)
		s.leaves = append(s.leaves, state)
	}
	for _, o := range old {
		if !slices.ContainsFunc(leaves, o.same) {
			gone = append(gone, o.leaf)
		}
	}
	s.wake()
	return gone
}

func (s *service) wake() {
	close(s.freed)
	s.freed = make(chan struct{})
}

// connectionShare returns this node's part of the connections that a leaf accepts, at least one. A node that callers are
// not sent to has one.
func (c Config) connectionShare(limit int, front []string) int {
	switch {
	case limit <= 0:
		return defaultConnections
	case !slices.Contains(front, c.Self):
		return 1
	}
	return max(1, limit/len(front))
}

// Target is a leaf that requests may be sent to, and the number of connections that this node may hold to it.
type Target struct {
	Leaf        registry.Leaf
	Connections int
}

// Targets returns the leaves that this node may use at present, the nearest first.
func (p *Pool) Targets() []Target {
	now := p.config.Now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	var list []Target
	for _, s := range p.services {
		s.mu.Lock()
		for _, l := range s.leaves {
			if s.allowed(l, Criteria{}) && !now.Before(l.avoidUntil) {
				list = append(list, Target{l.leaf, l.connections})
			}
		}
		s.mu.Unlock()
	}
	slices.SortStableFunc(list, func(a, b Target) int { return cmp.Compare(p.zones.to(a.Leaf.Zone), p.zones.to(b.Leaf.Zone)) })
	return list
}

// Criteria describes the leaf that a request asks for.
type Criteria struct {
	Service string
	// AllowedRegions lists the allowed regions; empty allows all.
	AllowedRegions []string
	// Exclude lists the identifiers of leaves that must not be used.
	Exclude []string
	// WaitForHealthy needs rather wait for a leaf that is full than use one that has just failed.
	WaitForHealthy bool
	// MaxLatency is the longest expected latency that is of use; 0 means any.
	MaxLatency time.Duration
}

// Acquire returns a place on the best leaf. Its errors have verdict "not run" and code
// CodeNoLeaf when the service has no usable leaf, CodeOverloaded when all are full. With CodeOverloaded, freed is
// closed once another try may succeed.
func (p *Pool) Acquire(n Criteria) (t *Ticket, freed <-chan struct{}, err error) {
	p.mu.RLock()
	s := p.services[n.Service]
	p.mu.RUnlock()
	if s == nil {
		return nil, nil, verdict.Refusef(verdict.CodeNoLeaf, "service %q has no leaf", n.Service)
	}
	return s.acquire(n)
}

func (s *service) acquire(n Criteria) (*Ticket, <-chan struct{}, error) {
	now := s.pool.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	work := s.work()
	var best *leafState
	bestRank, usable, soundFull := rank{}, 0, false
	for _, l := range s.leaves {
		if !s.allowed(l, n) {
			continue
		}
		usable++
		r, free := l.rank(now, work)
		soundFull = soundFull || !free && !r.avoided
		if free && (best == nil || r.before(bestRank)) {
			best, bestRank = l, r
		}
	}
	switch {
	case usable == 0:
		return nil, nil, verdict.Refusef(verdict.CodeNoLeaf, "service %q has no usable leaf of %d", n.Service, len(s.leaves))
	case best != nil && n.MaxLatency > 0 && bestRank.expected > n.MaxLatency:
		return nil, s.freed, verdict.Refusef(verdict.CodeOverloaded, "service %q has no leaf that would answer within %v", n.Service, n.MaxLatency)
	case best == nil || n.WaitForHealthy && bestRank.avoided && soundFull:
		return nil, s.freed, verdict.Refusef(verdict.CodeOverloaded, "all %d usable leaves of service %q are full", usable, n.Service)
	}
	t := &Ticket{service: s, state: best, started: now, expected: bestRank.expected,
		usual: best.usual(now, work), leaf: best.leaf, Connections: best.connections}
	best.running = append(best.running, t)
	best.cold.take(now)
	return t, nil, nil
}

// work returns the service's latency at a leaf without the way to it: that of the fastest leaf, unless all that have
// answered of late are clearly slower than usual.
func (s *service) work() time.Duration {
	fastest := time.Duration(0)
	for _, l := range s.leaves {
		if l.sampled.IsZero() {
			continue
		}
		if w := max(0, l.median-l.zones.to(l.leaf.Zone)); fastest == 0 || w < fastest {
			fastest = w
		}
	}
	switch {
	case fastest == 0:
		return unknownWork
	case s.usualWork > 0 && fastest > 2*s.usualWork:
		return s.usualWork
	}
	return fastest
}

// learnWork follows the leaves' latencies without the way to them. One that is clearly higher counts little, so that a
// leaf that turns slow does not make the others look slow.
func (s *service) learnWork(l *leafState) {
	w := max(0, l.median-l.zones.to(l.leaf.Zone))
	switch {
	case s.usualWork == 0 || w < s.usualWork/2:
		s.usualWork = w
	case w < 2*s.usualWork:
		s.usualWork += (w - s.usualWork) / workInertia
	default:
		s.usualWork += (w - s.usualWork) / slowWorkInertia
	}
}

func (s *service) allowed(l *leafState, n Criteria) bool {
	if l.leaf.Draining || l.replaced || slices.Contains(s.evacuated, l.leaf.Zone) || slices.Contains(n.Exclude, l.leaf.ID) {
		return false
	}
	return len(n.AllowedRegions) == 0 || slices.Contains(n.AllowedRegions, s.pool.config.RegionByZone[l.leaf.Zone])
}

// Ticket is the right to send one request to one leaf.
type Ticket struct {
	service  *service
	state    *leafState
	leaf     registry.Leaf
	started  time.Time
	expected time.Duration
	usual    time.Duration
	// Connections is the number of connections that this node may hold to the leaf.
	Connections int
}

// Leaf returns the chosen leaf.
func (t *Ticket) Leaf() registry.Leaf { return t.leaf }

// ExpectedLatency returns the latency that the choice was based on.
func (t *Ticket) ExpectedLatency() time.Duration { return t.expected }

// BaseLatency returns the leaf's latency without queueing.
func (t *Ticket) BaseLatency() time.Duration { return t.usual }

// Done ends the request with what came of it.
func (t *Ticket) Done(o Outcome) {
	now := t.service.pool.config.Now()
	t.service.mu.Lock()
	defer t.service.mu.Unlock()
	if i := slices.Index(t.state.running, t); i >= 0 {
		t.state.running = slices.Delete(t.state.running, i, i+1)
	}
	took := now.Sub(t.started)
	if o.Kind == Answered {
		t.service.pool.zones.learn(t.leaf.Zone, took)
	}
	t.state.learn(o, took, now, t.service.work())
	if o.Kind == Answered && len(t.state.latencies) == samples {
		t.service.learnWork(t.state)
	}
	t.service.wake()
}
