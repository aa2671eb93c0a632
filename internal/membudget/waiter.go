package membudget

import "slices"

// waiter is a reservation that waits until others have given way.
type waiter struct {
	account *Account
	n       int64
	// ended is closed when the reservation is granted or its account must give way itself.
	ended   chan struct{}
	granted bool
}

// limit returns how much of the budget may be used once the reservation is granted.
func (w *waiter) limit() int64 { return w.account.budget.limit(w.account, w.n) }

// makeRoom lets others give way for n more bytes of an account, and queues a reservation of them. It returns nil if the
// account must give way itself or the others do not hold enough.
func (b *Budget) makeRoom(a *Account, n int64) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.Evicted() {
		return nil
	}
	list := b.holdings(a)
	defer b.clearHoldings()
	need := b.used.Load() + n - b.limit(a, n)
	for _, h := range list {
		need -= h.leaving()
	}
	for _, w := range b.waiters {
		need += w.n
	}
	if need > 0 {
		chosen := leastProgress(list, b.sequence.Load(), need, int64(roomShare*float64(b.config.Bytes)))
		if len(chosen) == 0 {
			return nil
		}
		for _, h := range chosen {
			b.giveWay(h, h.phase != Body)
		}
	}
	w := &waiter{account: a, n: n, ended: make(chan struct{})}
	b.enqueue(w)
	b.grant()
	return w
}

// enqueue queues a reservation. Those that may use more of the budget go first, since there may be room for them when there
// is none for others.
func (b *Budget) enqueue(w *waiter) {
	at := slices.IndexFunc(b.waiters, func(other *waiter) bool { return other.limit() < w.limit() })
	if at < 0 {
		at = len(b.waiters)
	}
	b.waiters = slices.Insert(b.waiters, at, w)
	b.queued.Store(int64(len(b.waiters)))
	w.account.waiter = w
}

// endWait removes a reservation from the queue.
func (b *Budget) endWait(w *waiter) {
	b.waiters = slices.DeleteFunc(b.waiters, func(other *waiter) bool { return other == w })
	b.queued.Store(int64(len(b.waiters)))
	w.account.waiter = nil
	close(w.ended)
}

// grant grants the first reservations in the queue as far as there is room.
func (b *Budget) grant() {
	for len(b.waiters) > 0 {
		w := b.waiters[0]
		if !b.take(w.account, w.n) {
			return
		}
		w.account.held.Add(w.n)
		w.granted = true
		b.endWait(w)
	}
}

// give gives bytes back.
func (b *Budget) give(n int64) {
	b.used.Add(-n)
	b.grantQueued()
}

// grantQueued grants reservations that wait, if there are any.
func (b *Budget) grantQueued() {
	if b.queued.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grant()
}

// giveUp ends the wait of a reservation and reports whether it was granted.
func (b *Budget) giveUp(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.account.waiter == w {
		b.endWait(w)
	}
	return w.granted
}
