// Package direct selects a leaf for each request by what this node has observed of the leaves. It enforces this node's
// share of the limits that hold over all nodes. Leaves that cannot take a request refuse it themselves.
package direct

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"time"

	"cyclamenstream/api/registry"
	"cyclamenstream/api/route"
	"cyclamenstream/api/verdict"
)

// Config holds the settings that stay fixed while the process runs.
type Config struct {
	// Self is the name of this node's VM. Zone and Region are its location.
	Self, Zone, Region string
	// RegionByZone maps each zone to its region.
	RegionByZone map[string]string
	// ColdShare and ColdSlack bound the requests that all nodes together send to a cold leaf in any second: the
	// service's warm-up rate times ColdShare, plus ColdSlack.
	ColdShare, ColdSlack float64
	// Now reads the monotonic clock.
	Now func() time.Time
	// Log receives what leaves state about their limits. Nil disables it.
	Log *slog.Logger
}

// View is the state of the registry by which the pool selects leaves.
type View struct {
	Leaves         []registry.Leaf
	Services       map[string]route.Service
	EvacuatedZones []string
	// Advertised holds the names of the nodes that the directory returns to callers. The other nodes send very few
	// requests.
	Advertised []string
	// Nodes is the number of all nodes. It may be lower than the number of advertised ones, which then counts.
	Nodes int
}

// Pool holds the leaves of all services. It is safe for concurrent use; each service has its own lock.
type Pool struct {
	config   Config
	rtts     zoneRTTs
	mu       sync.RWMutex
	services map[string]*service
}

// service holds the leaves of one service.
type service struct {
	pool *Pool

	mu             sync.Mutex
	leaves         []*leafState
	evacuatedZones []string
	// usualProcessing is a moving average of the processing times of the leaves (latency less the round-trip time).
	usualProcessing time.Duration
	// lastReturn is the latest time at which a caller was told to retry.
	lastReturn time.Time
	// freed is closed and replaced when a request ends or the leaves are updated.
	freed chan struct{}
}

// New returns an empty pool.
func New(c Config) *Pool {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return &Pool{config: c, rtts: newZoneRTTs(c), services: map[string]*service{}}
}

// Update replaces the view and returns the leaves of the old view that the new one lacks.
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
	s.evacuatedZones = v.EvacuatedZones
	nodes := tier{self: s.pool.config.Self, advertised: v.Advertised, nodes: max(v.Nodes, len(v.Advertised))}
	old := s.leaves
	s.leaves = make([]*leafState, 0, len(leaves))
	for _, l := range leaves {
		i := slices.IndexFunc(old, func(o *leafState) bool { return o.matches(l) })
		var state *leafState
		if i >= 0 {
			state = old[i]
			state.leaf.Draining, state.leaf.Slots = l.Draining, l.Slots
		} else {
			state = newLeafState(l, s.pool, now)
		}
		state.connections = s.pool.config.connectionShare(settings.MaxConnections, v.Advertised)
		state.cold.setShare(settings, s.pool.config, l.ID, v.Advertised)
		state.rateLimit.setTier(nodes, now)
		s.leaves = append(s.leaves, state)
	}
	for _, o := range old {
		if !slices.ContainsFunc(leaves, o.matches) {
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

// connectionShare returns this node's share of the connections that a leaf accepts, at least one. A node that is not
// advertised to callers gets one.
func (c Config) connectionShare(limit int, advertised []string) int {
	switch {
	case limit <= 0:
		return defaultConnections
	case !slices.Contains(advertised, c.Self):
		return 1
	}
	return max(1, limit/len(advertised))
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
			if s.allowed(l, Criteria{}) && !now.Before(l.backoffUntil) {
				list = append(list, Target{l.leaf, l.connections})
			}
		}
		s.mu.Unlock()
	}
	slices.SortStableFunc(list, func(a, b Target) int { return cmp.Compare(p.rtts.estimate(a.Leaf.Zone), p.rtts.estimate(b.Leaf.Zone)) })
	return list
}

// Criteria describes the leaf that a request needs.
type Criteria struct {
	Service string
	// AllowedRegions lists the allowed regions; empty allows all.
	AllowedRegions []string
	// Exclude lists the identifiers of leaves that must not be used.
	Exclude []string
	// WaitForHealthy waits for a healthy leaf that is full rather than use one that has just failed.
	WaitForHealthy bool
	// MaxLatency is the longest acceptable expected latency; 0 means any.
	MaxLatency time.Duration
	Purpose    Purpose
}

// Purpose says why a request is sent to a leaf.
type Purpose int

// The purposes of sends.
const (
	FirstSend Purpose = iota
	Hedge
	Retry
)

// Acquire reserves the best leaf for one request. Its errors have the verdict "not run". Their code is CodeNoLeaf if
// the service has no usable leaf, and CodeOverloaded if all usable leaves are full. With CodeOverloaded, freed is
// closed once another attempt may succeed.
func (p *Pool) Acquire(c Criteria) (t *Ticket, freed <-chan struct{}, err error) {
	p.mu.RLock()
	s := p.services[c.Service]
	p.mu.RUnlock()
	if s == nil {
		return nil, nil, verdict.Refusef(verdict.CodeNoLeaf, "service %q has no leaf", c.Service)
	}
	return s.acquire(c)
}

func (s *service) acquire(c Criteria) (*Ticket, <-chan struct{}, error) {
	now := s.pool.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	processing := s.processingTime()
	var best *leafState
	bestRank, usable, limited, healthyFull := rank{}, 0, 0, false
	for _, l := range s.leaves {
		if !s.allowed(l, c) {
			continue
		}
		usable++
		if !l.mayAccept(c.Purpose, now) {
			limited++
			continue
		}
		r, free := l.rank(now, processing)
		healthyFull = healthyFull || !free && !r.inBackoff
		if free && (best == nil || r.before(bestRank)) {
			best, bestRank = l, r
		}
	}
	switch {
	case usable == 0:
		return nil, nil, verdict.Refusef(verdict.CodeNoLeaf, "service %q has no usable leaf of %d", c.Service, len(s.leaves))
	case best != nil && c.MaxLatency > 0 && bestRank.expected > c.MaxLatency:
		return nil, s.freed, verdict.Refusef(verdict.CodeOverloaded, "service %q has no leaf that would answer within %v", c.Service, c.MaxLatency)
	case limited == usable:
		return nil, s.freed, verdict.Refusef(verdict.CodeOverloaded, "all %d usable leaves of service %q have reached the limits that they state", usable, c.Service)
	case best == nil || c.WaitForHealthy && bestRank.inBackoff && healthyFull:
		return nil, s.freed, verdict.Refusef(verdict.CodeOverloaded, "all %d usable leaves of service %q are full", usable, c.Service)
	}
	t := &Ticket{service: s, state: best, started: now, expected: bestRank.expected,
		base: best.baseLatency(now, processing), leaf: best.leaf, Connections: best.connections}
	best.running = append(best.running, t)
	best.cold.record(now)
	best.rateLimit.recordSend(c.Purpose, now)
	return t, nil, nil
}

// LimitDelay returns the time until some usable leaf may get a request under the limits that the leaves state. It is 0
// if a leaf may get one now, or if there is no usable leaf.
func (p *Pool) LimitDelay(c Criteria) time.Duration {
	p.mu.RLock()
	s := p.services[c.Service]
	p.mu.RUnlock()
	if s == nil {
		return 0
	}
	now := p.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delay, _ := s.limitDelay(c, now)
	return delay
}

// limitDelay also returns the rate in requests/s at which this node may send to the usable leaves that state a limit.
func (s *service) limitDelay(c Criteria, now time.Time) (delay time.Duration, perSecond float64) {
	first := true
	for _, l := range s.leaves {
		if !s.allowed(l, c) {
			continue
		}
		if d := l.rateLimit.delay(now); first || d < delay {
			delay, first = d, false
		}
		perSecond += l.rateLimit.share()
	}
	return delay, perSecond
}

// ReturnDelay returns after what time a caller whose request was refused because of the limits that the leaves state
// should retry. Refused callers get different times, spread at the rate at which the leaves accept requests.
func (p *Pool) ReturnDelay(c Criteria) time.Duration {
	p.mu.RLock()
	s := p.services[c.Service]
	p.mu.RUnlock()
	if s == nil {
		return 0
	}
	now := p.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delay, perSecond := s.limitDelay(c, now)
	if delay <= 0 || perSecond <= 0 {
		return 0
	}
	next := s.lastReturn.Add(time.Duration(float64(time.Second) / perSecond))
	if earliest := now.Add(delay); next.Before(earliest) {
		next = earliest
	}
	if latest := now.Add(maxReturnDelay); next.After(latest) {
		return maxReturnDelay
	}
	s.lastReturn = next
	return next.Sub(now)
}

// processingTime returns the expected latency of the service at a leaf less the round-trip time. It is that of the
// fastest leaf, or the usual one if even the fastest leaf is clearly slower than usual.
func (s *service) processingTime() time.Duration {
	fastest := time.Duration(0)
	for _, l := range s.leaves {
		if l.sampledAt.IsZero() {
			continue
		}
		if processing := max(0, l.median-l.rtts.estimate(l.leaf.Zone)); fastest == 0 || processing < fastest {
			fastest = processing
		}
	}
	switch {
	case fastest == 0:
		return initialProcessing
	case s.usualProcessing > 0 && fastest > 2*s.usualProcessing:
		return s.usualProcessing
	}
	return fastest
}

// recordProcessing updates the usual processing time with that of the leaf. A clearly higher value has little weight,
// so that a leaf that becomes slow does not make the others look slow.
func (s *service) recordProcessing(l *leafState) {
	processing := max(0, l.median-l.rtts.estimate(l.leaf.Zone))
	switch {
	case s.usualProcessing == 0 || processing < s.usualProcessing/2:
		s.usualProcessing = processing
	case processing < 2*s.usualProcessing:
		s.usualProcessing += (processing - s.usualProcessing) / processingSmoothing
	default:
		s.usualProcessing += (processing - s.usualProcessing) / slowProcessingSmoothing
	}
}

func (s *service) allowed(l *leafState, c Criteria) bool {
	if l.leaf.Draining || l.replaced || slices.Contains(s.evacuatedZones, l.leaf.Zone) || slices.Contains(c.Exclude, l.leaf.ID) {
		return false
	}
	return len(c.AllowedRegions) == 0 || slices.Contains(c.AllowedRegions, s.pool.config.RegionByZone[l.leaf.Zone])
}

// Ticket is the permission to send one request to one leaf.
type Ticket struct {
	service  *service
	state    *leafState
	leaf     registry.Leaf
	started  time.Time
	expected time.Duration
	base     time.Duration
	// Connections is the number of connections that this node may hold to the leaf.
	Connections int
}

// Leaf returns the chosen leaf.
func (t *Ticket) Leaf() registry.Leaf { return t.leaf }

// ExpectedLatency returns the latency that the choice was based on.
func (t *Ticket) ExpectedLatency() time.Duration { return t.expected }

// BaseLatency returns the leaf's latency without queueing.
func (t *Ticket) BaseLatency() time.Duration { return t.base }

// Done releases the ticket and records the outcome of its request.
func (t *Ticket) Done(o Outcome) {
	now := t.service.pool.config.Now()
	t.service.mu.Lock()
	defer t.service.mu.Unlock()
	if i := slices.Index(t.state.running, t); i >= 0 {
		t.state.running = slices.Delete(t.state.running, i, i+1)
	}
	took := now.Sub(t.started)
	if o.Kind == Answered {
		t.service.pool.rtts.record(t.leaf.Zone, took)
	}
	t.state.record(o, took, now, t.service.processingTime())
	if o.Kind == Answered && len(t.state.latencies) == sampleCount {
		t.service.recordProcessing(t.state)
	}
	t.service.wake()
}
