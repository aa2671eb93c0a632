// Package budget limits the extra requests to leaves, such as retries and hedges, to a share of a service's first
// sends.
package budget

import (
	"math"
	"sync"
	"sync/atomic"
)

// Budget holds a token bucket for each service. It is safe for concurrent use.
type Budget struct {
	initial  float64
	maxBits  atomic.Uint64 // maximum number of tokens in a bucket, as float64 bits
	services sync.Map      // service name to *bucket
}

type bucket struct {
	mu     sync.Mutex
	tokens float64
}

// New returns a budget whose buckets start with initial tokens and hold at most maxTokens. Over any time the extra
// requests of a service are at most initial plus its first sends times the share.
func New(initial, maxTokens float64) *Budget {
	b := &Budget{initial: initial}
	b.SetMax(maxTokens)
	return b
}

func (b *Budget) bucket(service string) *bucket {
	if s, ok := b.services.Load(service); ok {
		return s.(*bucket)
	}
	s, _ := b.services.LoadOrStore(service, &bucket{tokens: b.initial})
	return s.(*bucket)
}

// OnSend records a first send, which adds share (0 to 1) of a token.
func (b *Budget) OnSend(service string, share float64) {
	s := b.bucket(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(math.Float64frombits(b.maxBits.Load()), s.tokens+share)
}

// Allow takes one token and reports whether there was one. A share of 0 allows no extra request.
func (b *Budget) Allow(service string, share float64) bool {
	s := b.bucket(service)
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

// Return gives back the token of an extra request that was not sent.
func (b *Budget) Return(service string) { b.OnSend(service, 1) }

// SetMax sets the maximum number of tokens that each bucket holds.
func (b *Budget) SetMax(maxTokens float64) {
	b.maxBits.Store(math.Float64bits(maxTokens))
}
