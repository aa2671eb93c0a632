// Package direct selects a leaf for each request by what this node has observed of the leaves. It enforces this node's
// share of the limits that hold over all nodes. Leaves that cannot take a request refuse it themselves.
package direct

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/registry"
	"cyclamenstream/api/route"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/rollout"
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
	// EntryDelay is how long the entry of a leaf that has started takes to be known at most.
	EntryDelay time.Duration
	// Now reads the monotonic clock.
	Now func() time.Time
	// Random returns random numbers from 0 to below 1. Nil selects those of math/rand/v2.
	Random func() float64
	// Connected reports whether a connection to the leaf is at hand. Nil means that there always is one.
	Connected func(registry.Leaf) bool
	// Log receives what leaves state about the requests that they want. Nil disables it.
	Log *slog.Logger
	// Scope receives the pool's metrics. Nil disables them.
	Scope tally.Scope
	// Rollouts restricts the versions of leaves that get requests. Nil allows all.
	Rollouts *rollout.Controller
}

// advertisedConnections is the part of a leaf's connections for the nodes that callers are sent to, if there are others.
const advertisedConnections = 0.8

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
	rtts     *zoneRTTs
	signals  signalCounters
	sends    sendMetrics
	mu       sync.RWMutex
	services map[string]*service
}

// New returns an empty pool.
func New(c Config) *Pool {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	return &Pool{config: c, rtts: newZoneRTTs(c), signals: newSignalCounters(c.Scope), sends: newSendMetrics(c.Scope), services: map[string]*service{}}
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

// connectionShare returns this node's share of the connections that a leaf accepts, at least one. The nodes that are
// advertised to callers divide most of them; each other node gets one, which it seldom uses.
func (c Config) connectionShare(limit int, t tier) int {
	switch {
	case limit <= 0:
		return defaultConnections
	case !slices.Contains(t.advertised, c.Self):
		return 1
	case t.nodes > len(t.advertised):
		limit = int(float64(limit) * advertisedConnections)
	}
	return max(1, limit/len(t.advertised))
}

// inOtherRegion reports whether a leaf is in another region than this node.
func (c Config) inOtherRegion(l registry.Leaf) bool { return c.RegionByZone[l.Zone] != c.Region }

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
			if (s.allowed(l, Criteria{}) || s.allowed(l, Criteria{tried: true})) && !now.Before(l.backoffUntil) {
				list = append(list, Target{l.leaf, l.connections})
			}
		}
		s.mu.Unlock()
	}
	slices.SortStableFunc(list, func(a, b Target) int {
		return cmp.Compare(p.rtts.of(a.Leaf.Zone).estimate(), p.rtts.of(b.Leaf.Zone).estimate())
	})
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
	// Route is the name of the request's route, by which answers are compared during a rollout.
	Route string
	// tried selects only leaves of the version that a running rollout tries.
	tried bool
}

// Purpose says why a request is sent to a leaf.
type Purpose int

// The purposes of sends.
const (
	FirstSend Purpose = iota
	Hedge
	Retry
)

// service returns the service with the given name, or nil.
func (p *Pool) service(name string) *service {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.services[name]
}

// Acquire reserves the best leaf for one request. Its errors have the verdict "not run". Their code is CodeNoLeaf if
// the service has no usable leaf, and CodeOverloaded if all usable leaves are full. With CodeOverloaded, freed is
// closed once another attempt may succeed.
func (p *Pool) Acquire(c Criteria) (t *Ticket, freed <-chan struct{}, err error) {
	s := p.service(c.Service)
	if s == nil {
		return nil, nil, verdict.Refusef(verdict.CodeNoLeaf, "service %q has no leaf", c.Service)
	}
	return s.acquire(c)
}

// HasUsable reports whether the service has a leaf that may get requests now or later.
func (p *Pool) HasUsable(c Criteria) bool {
	s := p.service(c.Service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.leaves, func(l *leafState) bool { return s.allowed(l, c) })
}

// ExpectedLatency returns the shortest expected latency of a request at a usable leaf, or 0 without one.
func (p *Pool) ExpectedLatency(c Criteria) time.Duration {
	s := p.service(c.Service)
	if s == nil {
		return 0
	}
	now := p.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	shortest, processing := time.Duration(0), s.processingTime()
	for _, l := range s.leaves {
		if !s.allowed(l, c) {
			continue
		}
		if expected := l.expectedLatency(now, processing) + l.connectionDelay(); shortest == 0 || expected < shortest {
			shortest = expected
		}
	}
	return shortest
}

// LimitDelay returns the time until some usable leaf may get a request under the limits that the leaves state. It is 0
// if a leaf may get one now, or if there is no usable leaf.
func (p *Pool) LimitDelay(c Criteria) time.Duration {
	s := p.service(c.Service)
	if s == nil {
		return 0
	}
	now := p.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delay, _ := s.limitDelay(c, now)
	return delay
}

// ReturnDelay returns after what time a caller whose request was refused because of the limits that the leaves state
// should retry. Refused callers get different times, spread at the rate at which the leaves accept requests.
func (p *Pool) ReturnDelay(c Criteria) time.Duration {
	s := p.service(c.Service)
	if s == nil {
		return 0
	}
	now := p.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returnDelay(c, now)
}
