package connpool

import (
	"context"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// Total bounds the open connections of several pools together. When it is reached, the idle connection of any pool that was not
// used for the longest time gives way, and requests wait for a connection in the order in which they ask. A nil Total has no bound.
type Total struct {
	free *semaphore.Weighted
	// waiting is the number of dials that wait.
	waiting atomic.Int64

	// mu is locked before the lock of a pool.
	mu    sync.Mutex
	pools map[*Pool]struct{}
}

// NewTotal returns a bound of the given number of connections, at least one.
func NewTotal(connections int) *Total {
	return &Total{free: semaphore.NewWeighted(int64(max(1, connections))), pools: map[*Pool]struct{}{}}
}

// acquire waits until another connection may be opened. Its error is that of ctx.
func (t *Total) acquire(ctx context.Context) error {
	if t == nil || t.free.TryAcquire(1) {
		return nil
	}
	t.waiting.Add(1)
	defer t.waiting.Add(-1)
	t.closeOldestIdle()
	return t.free.Acquire(ctx, 1)
}

// release is called for each connection that has ended.
func (t *Total) release() {
	if t != nil {
		t.free.Release(1)
	}
}

// isShort reports whether dials wait, so that a connection must not become idle.
func (t *Total) isShort() bool { return t != nil && t.waiting.Load() > 0 }

func (t *Total) add(p *Pool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pools[p] = struct{}{}
}

func (t *Total) remove(p *Pool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pools, p)
}

// closeOldestIdle closes the idle connection that was not used for the longest time. No lock of a pool may be held.
func (t *Total) closeOldestIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	var oldest *Pool
	var since int64
	for p := range t.pools {
		if at, ok := p.oldestIdle(); ok && (oldest == nil || at < since) {
			oldest, since = p, at
		}
	}
	if oldest != nil {
		oldest.closeOldest()
	}
}

// oldestIdle returns when the oldest idle connection was last used, in Unix nanoseconds, and false if none is idle.
func (p *Pool) oldestIdle() (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return 0, false
	}
	return p.idle[0].idleSince.UnixNano(), true
}

// closeOldest closes the oldest idle connection, if there is one.
func (p *Pool) closeOldest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(p.idle[:min(1, len(p.idle))])
	p.notify()
}
