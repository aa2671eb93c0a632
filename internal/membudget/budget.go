// Package membudget bounds the memory and the number of the connections of callers that the process does not control. One
// budget of bytes in flight covers all of them: connections, header fields and bodies that have arrived, and answers that
// are not read yet. When it is short, the connections with the least recent progress give way. The package has no network
// and no clock of its own.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ReceiveBytes is the data of a connection that the kernel may hold until it is read.
	ReceiveBytes = 8 << 10
	// ConnectionBytes is what a connection takes: ReceiveBytes, and buffers, stack, state and an ordinary header. Of resident
	// memory 16 KiB were measured for each of 570 connections that had sent a part of a header.
	ConnectionBytes = 16<<10 + ReceiveBytes
	// SmallRequestBytes is the largest size of a request, beside ConnectionBytes, that may use the reserve.
	SmallRequestBytes = 32 << 10
	// reserveShare is the part of the budget that only connections and small requests may use.
	reserveShare = 0.125
	// roomShare is the part of the budget that is freed at once, since finding what to free takes time.
	roomShare = 1. / 32
)

// Config holds the limits of a budget.
type Config struct {
	// Bytes is the number of bytes in flight, and Connections the number of open connections.
	Bytes       int64
	Connections int
	// ReservedBytes and ReservedConnections are the parts of them that only OpenReserved gives.
	ReservedBytes       int64
	ReservedConnections int
	// MaxWait returns a channel that ends the wait of one reservation for others to give way.
	MaxWait func() <-chan time.Time
}

// Budget is a budget of bytes in flight and connections. It is safe for concurrent use.
type Budget struct {
	config Config
	used   atomic.Int64
	// sequence numbers the steps of progress of all accounts.
	sequence atomic.Int64

	mu       sync.Mutex
	accounts []*Account
	// scratch is the memory of the list that holdings returns.
	scratch []holding
	// waiters holds the reservations that wait, in the order in which they get room. queued is their number.
	waiters []*waiter
	queued  atomic.Int64
	// removed is closed when a connection has ended.
	removed chan struct{}

	evicted                            [phases]atomic.Int64
	refusedRequests, refusedConnection atomic.Int64
}

// New returns a budget that is not used.
func New(c Config) *Budget { return &Budget{config: c, removed: make(chan struct{})} }

// Stats describes the use of a budget. Counts grow from the start of the process.
type Stats struct {
	Used, Limit int64
	Connections int
	// Evicted counts the connections that gave way, by the phase that they were in.
	Evicted map[string]int64
	// RefusedRequests counts reservations without success, and RefusedConnections connections that were not opened.
	RefusedRequests, RefusedConnections int64
}

// Stats returns the present use.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	connections := len(b.accounts)
	b.mu.Unlock()
	s := Stats{Used: b.used.Load(), Limit: b.config.Bytes, Connections: connections, Evicted: map[string]int64{},
		RefusedRequests: b.refusedRequests.Load(), RefusedConnections: b.refusedConnection.Load()}
	for phase, name := range phaseNames {
		s.Evicted[name] = b.evicted[phase].Load()
	}
	return s
}

// Open returns an account for a new connection, or nil if there is no room for it and nothing gives way. The function
// evict is called when the connection must give way, with false if it is enough that its request is refused, and must not
// block.
func (b *Budget) Open(evict func(closeConnection bool)) *Account {
	return b.open(&Account{budget: b, evict: evict})
}

// OpenReserved is Open for a connection that may use what is reserved.
func (b *Budget) OpenReserved(evict func(closeConnection bool)) *Account {
	return b.open(&Account{budget: b, evict: evict, reserved: true})
}

// open returns the account once there is room for it.
func (b *Budget) open(a *Account) *Account {
	a.Progress()
	if !b.add(a) {
		b.refusedConnection.Add(1)
		return nil
	}
	if !a.Reserve(nil, ConnectionBytes) {
		b.refusedConnection.Add(1)
		a.Close()
		return nil
	}
	return a
}

// add adds an account once the number of connections allows it.
func (b *Budget) add(a *Account) bool {
	var end <-chan time.Time
	for {
		added, wait := b.tryAdd(a)
		if added || wait == nil {
			return added
		}
		if end == nil {
			end = b.config.MaxWait()
		}
		select {
		case <-wait:
		case <-end:
			return false
		}
	}
}

// tryAdd adds an account or lets others give way. It returns a channel to wait for, or nil if none can give way.
func (b *Budget) tryAdd(a *Account) (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.config.Connections
	if !a.reserved {
		limit -= b.config.ReservedConnections
	}
	if len(b.accounts) < limit {
		a.index = len(b.accounts)
		b.accounts = append(b.accounts, a)
		return true, nil
	}
	list := b.holdings(nil)
	defer b.clearHoldings()
	leaving := 0
	for _, h := range list {
		if h.phase == Closed {
			leaving++
		}
	}
	if leaving == 0 {
		chosen := leastRecentConnections(list, max(1, int(roomShare*float64(b.config.Connections))))
		if len(chosen) == 0 {
			return false, nil
		}
		for _, h := range chosen {
			b.giveWay(h, true)
		}
	}
	return false, b.removed
}

// remove removes an account that is closed.
func (b *Budget) remove(a *Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := len(b.accounts) - 1
	if a.index > last || b.accounts[a.index] != a {
		return
	}
	b.accounts[a.index] = b.accounts[last]
	b.accounts[a.index].index = a.index
	b.accounts[last] = nil
	b.accounts = b.accounts[:last]
	close(b.removed)
	b.removed = make(chan struct{})
}

// take takes n bytes if they are free for the account.
func (b *Budget) take(a *Account, n int64) bool {
	if b.used.Add(n) <= b.limit(a, n) {
		return true
	}
	b.used.Add(-n)
	return false
}

// limit returns how much of the budget may be used once the account holds n bytes more.
func (b *Budget) limit(a *Account, n int64) int64 {
	switch {
	case a.held.Load()+n > a.connectionBytes()+SmallRequestBytes:
		return b.config.Bytes - max(int64(reserveShare*float64(b.config.Bytes)), b.config.ReservedBytes)
	case !a.reserved:
		return b.config.Bytes - b.config.ReservedBytes
	}
	return b.config.Bytes
}

// giveWay lets a connection give way if it is still in the same phase. b.mu must be held.
func (b *Budget) giveWay(h holding, closeConnection bool) {
	to := Refused
	if closeConnection {
		to = Closed
	}
	if !h.account.move(to, h.phase) {
		return
	}
	b.evicted[h.phase].Add(1)
	if w := h.account.waiter; w != nil {
		b.endWait(w)
	}
	h.account.evict(closeConnection)
}

// holdings describes all accounts but one. The list is valid until clearHoldings is called. b.mu must be held.
func (b *Budget) holdings(except *Account) []holding {
	list := b.scratch[:0]
	for _, a := range b.accounts {
		if a != except {
			list = append(list, holding{account: a, phase: Phase(a.phase.Load()), held: a.held.Load(), connection: a.connectionBytes(), progress: a.progress.Load()})
		}
	}
	b.scratch = list
	return list
}

// clearHoldings releases the accounts in the list of holdings, whose connections may end. b.mu must be held.
func (b *Budget) clearHoldings() { clear(b.scratch) }
