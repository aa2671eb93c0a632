// Package hedge decides when a second request for a shard may be sent to another replica.
package hedge

import (
	"time"

	"cyclamenstream/internal/retry"
)

const (
	// Floor is the shortest delay before a hedge: below it, jitter of the network and of the scheduler decides.
	Floor = 2 * time.Millisecond
	// UnknownDelay is used while the service's latencies are not known.
	UnknownDelay = 100 * time.Millisecond
)

// Delay returns how long to wait for the first answer before a hedge is sent, from the 95th percentile of the
// service's leaf latencies; 0 means that it is not known.
func Delay(p95 time.Duration) time.Duration {
	if p95 <= 0 {
		return UnknownDelay
	}
	return max(p95, Floor)
}

// NewBudget returns a budget that only first sends fill, so that hedges never exceed their share of extra load by more
// than the saved-up retry.Burst.
func NewBudget(now func() time.Time) *retry.Budget { return retry.NewBudget(0, now) }
