// Package budget limits extra leaf requests to a share of the first sends of a service.
package budget

import (
	"math"
	"sync"
	"sync/atomic"
)

// Budget is a token bucket for each service. It is safe for concurrent use.
type Budget struct {
	initial  float64
	limit    atomic.Uint64 // bits of the most that a bucket may hold
	services sync.Map      // service name to *state
}

type state struct {
	mu     sync.Mutex
	tokens float64
}

// New returns buckets that begin with initial tokens and hold at most max. Over any time the extra requests of a
// service are at most initial plus its first sends times the share.
func New(initial, max float64) *Budget {
	b := &Budget{initial: initial}
	b.SetMax(max)
	return b
}

func (b *Budget) state(service string) *state {
	if s, ok := b.services.Load(service); ok {
		return s.(*state)
	}
	s, _ := b.services.LoadOrStore(service, &state{tokens: b.initial})
	return s.(*state)
}

// OnSend notes a first send, which earns share (0 to 1) of an extra request.
func (b *Budget) OnSend(service string, share float64) {
	s := b.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(math.Float64frombits(b.limit.Load()), s.tokens+share)
}

// Allow takes the budget of one extra request and reports whether there was enough. A share of 0 allows none.
func (b *Budget) Allow(service string, share float64) bool {
	s := b.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The sum of 20 shares of 0.05 may be slightly below 1 in floating point.
	const tolerance = 1e-9
	if share <= 0 || s.tokens < 1-tolerance {
		return false
	}
	s.tokens = max(0, s.tokens-1)
	return true
}

// Return gives back the budget of an extra request that was not sent.
func (b *Budget) Return(service string) { b.OnSend(service, 1) }

// SetMax changes what each bucket may hold.
func (b *Budget) SetMax(most float64) {
	b.limit.Store(math.Float64bits(most))
}
