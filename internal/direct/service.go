package direct

import (
	"slices"
	"sync"
	"time"

	"cyclamenstream/api/registry"
	"cyclamenstream/api/route"
	"cyclamenstream/api/verdict"
)

// service holds the leaves of one service.
type service struct {
	pool *Pool

	mu     sync.Mutex
	leaves []*leafState
	// departed holds the leaves that the registry listed until recently. One that is listed again, such as after an
	// outage of the registry, keeps what this node knows about it.
	departed       []departedLeaf
	evacuatedZones []string
	// usualProcessing is a moving average of the processing times of the leaves (latency less the round-trip time).
	usualProcessing time.Duration
	// work is what leaves that state their speed usually take.
	work usualWork
	// lastReturn is the latest time at which a caller was told to retry.
	lastReturn time.Time
	// freed is closed and replaced when a request ends or the leaves are updated.
	freed chan struct{}
}

// departedMemory is how long leaves are remembered after the registry has ceased to list them.
const departedMemory = time.Minute

type departedLeaf struct {
	*leafState
	since time.Time
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
		state := s.known(old, l)
		if state != nil {
			state.update(l, now)
		} else {
			state = newLeafState(l, s.pool, now)
			state.expectation = newExpectation(&s.work, state.otherRegion)
			// Requests that were sent before the entry showed the new boot may have reached it.
			if i := slices.IndexFunc(old, func(o *leafState) bool { return o.leaf.ID == l.ID }); i >= 0 {
				state.cold.sentAt = slices.Clone(old[i].cold.sentAt)
			}
		}
		state.connections = s.pool.config.connectionShare(settings.MaxConnections, nodes)
		state.cold.setShare(settings, s.pool.config, l.ID, v.Advertised)
		state.rateLimit.setTier(nodes, now)
		s.leaves = append(s.leaves, state)
	}
	for _, o := range old {
		if !slices.ContainsFunc(leaves, o.matches) {
			gone = append(gone, o.leaf)
			s.departed = append(s.departed, departedLeaf{o, now})
			if slices.ContainsFunc(leaves, func(l registry.Leaf) bool { return l.ID == o.leaf.ID }) { // restarted
				o.signals.end()
			}
		}
	}
	s.departed = slices.DeleteFunc(s.departed, func(d departedLeaf) bool {
		forgotten := now.Sub(d.since) > departedMemory
		if forgotten {
			d.signals.end()
		}
		return forgotten || slices.ContainsFunc(leaves, d.matches)
	})
	s.wake()
	return gone
}

// known returns what this node knows about the entry's boot of a leaf, or nil. current holds the leaves listed so far.
func (s *service) known(current []*leafState, entry registry.Leaf) *leafState {
	if i := slices.IndexFunc(current, func(o *leafState) bool { return o.matches(entry) }); i >= 0 {
		return current[i]
	}
	if i := slices.IndexFunc(s.departed, func(d departedLeaf) bool { return d.matches(entry) }); i >= 0 {
		return s.departed[i].leafState
	}
	return nil
}

func (s *service) wake() {
	close(s.freed)
	s.freed = make(chan struct{})
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
		if !free || best != nil && !r.before(bestRank) {
			continue
		}
		r = r.delayed(l.connectionDelay()) // asked of few leaves, since it takes locks
		r.tooSlow = c.MaxLatency > 0 && r.expected > c.MaxLatency && l.expectation.stated()
		if best == nil || r.before(bestRank) {
			best, bestRank = l, r
		}
	}
	sole := usable == 0 || best != nil && bestRank.inBackoff && !healthyFull
	tried := s.tryVersion(c, best, sole, now, processing)
	switch {
	case tried != nil:
		best, bestRank = tried, rank{expected: tried.expectedLatency(now, processing)}
	case usable == 0:
		return nil, nil, verdict.Refusef(verdict.CodeNoLeaf, "service %q has no usable leaf of %d", c.Service, len(s.leaves))
	case best != nil && c.MaxLatency > 0 && bestRank.expected > c.MaxLatency:
		return nil, s.freed, verdict.Refusef(verdict.CodeOverloaded, "service %q has no leaf that would answer within %v", c.Service, c.MaxLatency)
	case limited == usable:
		return nil, s.freed, verdict.Refusef(verdict.CodeOverloaded, "all %d usable leaves of service %q have reached the limits that they state or want no requests for a while", usable, c.Service)
	case best == nil || c.WaitForHealthy && bestRank.inBackoff && healthyFull:
		return nil, s.freed, verdict.Refusef(verdict.CodeOverloaded, "all %d usable leaves of service %q are full", usable, c.Service)
	}
	t := &Ticket{service: s, state: best, route: c.Route, started: now, expected: bestRank.expected,
		base: best.baseLatency(now, processing), leaf: best.leaf, Connections: best.connections}
	t.wait = max(0, t.expected-t.base-best.failureDelay(now))
	best.running = append(best.running, t)
	best.cold.record(now)
	best.rateLimit.recordSend(c.Purpose, now)
	best.signals.recordSend()
	s.pool.sends.record(best, now)
	return t, nil, nil
}

// limitDelay returns the time until some usable leaf may get a request under the limits that the leaves state, and the
// rate in requests/s at which this node may send to the usable leaves that state one.
func (s *service) limitDelay(c Criteria, now time.Time) (delay time.Duration, perSecond float64) {
	first := true
	for _, l := range s.leaves {
		if !s.allowed(l, c) {
			continue
		}
		if d := l.admissionDelay(now); first || d < delay {
			delay, first = d, false
		}
		perSecond += l.rateLimit.share()
	}
	return delay, perSecond
}

// returnInterval is the time between the returns of callers that leaves without a stated limit have turned away.
const returnInterval = 20 * time.Millisecond

// returnDelay returns after what time the next refused caller should retry.
func (s *service) returnDelay(c Criteria, now time.Time) time.Duration {
	delay, perSecond := s.limitDelay(c, now)
	if delay <= 0 {
		return 0
	}
	interval := returnInterval
	if perSecond > 0 {
		interval = time.Duration(float64(time.Second) / perSecond)
	}
	next := s.lastReturn.Add(interval)
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
		if processing := max(0, l.median-l.rtt.estimate()); fastest == 0 || processing < fastest {
			fastest = processing
		}
	}
	if work := s.work.shortest; work > 0 && (fastest == 0 || work < fastest) { // of leaves that state their speed
		fastest = work
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
	processing := max(0, l.median-l.rtt.estimate())
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
	return s.takesWork(l, c) && s.allowsVersion(l, c)
}

// takesWork reports whether a leaf may be used for the request, whatever its version.
func (s *service) takesWork(l *leafState, c Criteria) bool {
	if l.leaf.Draining || l.signals.leaving || l.replaced || slices.Contains(s.evacuatedZones, l.leaf.Zone) || slices.Contains(c.Exclude, l.leaf.ID) {
		return false
	}
	return len(c.AllowedRegions) == 0 || slices.Contains(c.AllowedRegions, s.pool.config.RegionByZone[l.leaf.Zone])
}
