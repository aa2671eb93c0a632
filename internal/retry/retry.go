// Package retry holds the budget that keeps extra requests to leaves in proportion to first sends.
package retry

import (
	"sync"
	"time"
)

const (
	// MinPerSecond is the rate of retries that a service may always make, so that a service with little traffic can
	// retry at all.
	MinPerSecond = 1.0
	// Burst is the largest number of extra requests that can be saved up.
	Burst = 10.0
)

// Budget is a token bucket that first sends fill. It is safe for concurrent use.
type Budget struct {
	now     func() time.Time
	perSec  float64
	mu      sync.Mutex
	tokens  float64
	updated time.Time
}

// New returns a budget for retries: a share of first sends plus MinPerSecond.
func New(now func() time.Time) *Budget { return NewBudget(MinPerSecond, now) }

// NewBudget returns an empty budget that gains perSecond tokens each second besides those of first sends.
func NewBudget(perSecond float64, now func() time.Time) *Budget {
	return &Budget{now: now, perSec: perSecond, updated: now()}
}

// FirstSend adds the share of one first send, 0 to 1.
func (b *Budget) FirstSend(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gain(share)
}

// Spend takes one extra request out of the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gain(0)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund gives back a request that was not sent after all.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gain(1)
}

func (b *Budget) gain(tokens float64) {
	now := b.now()
	b.tokens = min(b.tokens+tokens+now.Sub(b.updated).Seconds()*b.perSec, Burst)
	b.updated = now
}
