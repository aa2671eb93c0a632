package gather

import (
	"context"
	"sync/atomic"
	"time"

	"cyclamenstream/api/exchange"
	"cyclamenstream/internal/routing"
)

const (
	// startTime is the time after the start of the process within which requests wait for the first routing configuration.
	// The registry usually answers within a fraction of it. Later on, such as during an outage of the registry, requests are
	// refused at once.
	startTime = 1500 * time.Millisecond
	// maxStartWait and startWaitShare bound the wait of one request, the latter as a share of its remaining time.
	maxStartWait   = 600 * time.Millisecond
	startWaitShare = 0.5
	// maxWaiting bounds the number of requests that wait.
	maxWaiting = 512
)

// startGate lets requests wait for the first routing configuration. Callers whose requests have failed at a node that went
// down send them once more, often to a node that has just started.
type startGate struct {
	started time.Time
	waiting atomic.Int64
}

// await returns the routing configuration, or nil if none is known in time.
func (g *startGate) await(ctx context.Context, r *exchange.Request, d Deps) *routing.Index {
	if index := d.Index(); index != nil || d.Configured == nil {
		return index
	}
	now := time.Now()
	wait := min(maxStartWait, time.Duration(startWaitShare*float64(r.Deadline.Sub(now))), g.started.Add(startTime).Sub(now))
	if wait <= 0 {
		return nil
	}
	defer g.waiting.Add(-1)
	if g.waiting.Add(1) > maxWaiting {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-d.Configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.Index()
}
