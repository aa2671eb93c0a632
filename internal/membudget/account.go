package membudget

import "sync/atomic"

// Phase is what a connection does.
type Phase int32

// The phases of a connection, in the order in which a request passes through the first five; then the connection is idle
// again. One in Working never gives way, since its request may run. Refused and Closed are final.
const (
	Idle      Phase = iota // no byte of a request has arrived
	Header                 // a header arrives
	Body                   // a body arrives
	Working                // the request was passed on
	Answering              // the answer is written
	Refused                // the request must be refused
	Closed                 // the connection was closed to give way
	phases
)

var phaseNames = map[Phase]string{Idle: "idle", Header: "header", Body: "body", Answering: "answer"}

// Account is the part of a budget that one connection holds. Its methods are called by the goroutine that serves the
// connection, and Begin also by the one that waits for the next request meanwhile. A nil account has no limit.
type Account struct {
	budget *Budget
	evict  func(closeConnection bool)
	// reserved is set if the connection may use what is reserved.
	reserved bool
	// index is the position in the budget's list, and waiter the reservation that waits. The budget's lock guards both.
	index  int
	waiter *waiter
	phase  atomic.Int32
	held   atomic.Int64
	// kept is the part of held that is given back only when the connection ends.
	kept atomic.Int64
	// progress is the sequence number of the last step of progress.
	progress atomic.Int64
}

// move changes the phase and reports whether it was one of the given ones.
func (a *Account) move(to Phase, from ...Phase) bool {
	for _, p := range from {
		if a.phase.CompareAndSwap(int32(p), int32(to)) {
			return true
		}
	}
	return false
}

// Begin records bytes of a request. It returns false if the connection was closed to give way.
func (a *Account) Begin() bool {
	if Phase(a.phase.Load()) == Idle {
		a.Progress()
		a.move(Header, Idle) // fails also if a request whose header came with an earlier one is served meanwhile
	}
	return !a.Evicted()
}

// InHeader reports whether a header arrives.
func (a *Account) InHeader() bool { return Phase(a.phase.Load()) == Header }

// HeaderDone records that a whole header has arrived.
func (a *Account) HeaderDone() {
	// In this order, since Begin may move the account from Idle to Header between two attempts.
	if a != nil && a.move(Body, Idle, Header) {
		a.Progress()
	}
}

// Work records that the request is about to be passed on. It returns false if the request must be refused instead.
func (a *Account) Work() bool { return a == nil || a.move(Working, Body) }

// Answer records that the answer is about to be written.
func (a *Account) Answer() {
	if a != nil {
		a.Progress()
		a.move(Answering, Working, Body)
	}
}

// Done records that the answer is written. All that the request held is given back.
func (a *Account) Done() {
	a.Progress()
	a.move(Idle, Answering, Working, Body, Header)
	a.Release()
}

// Evicted reports whether the connection must give way.
func (a *Account) Evicted() bool {
	return a != nil && Phase(a.phase.Load()) >= Refused
}

// Progress records a step of progress.
func (a *Account) Progress() {
	if a != nil {
		a.progress.Store(a.budget.sequence.Add(1))
	}
}

// Reserve adds n bytes to the account. If the budget is short, others give way first. It returns false if that is not
// enough, if done is closed meanwhile, or if the account must give way itself.
func (a *Account) Reserve(done <-chan struct{}, n int64) bool {
	if a == nil || a.take(n) {
		return true
	}
	granted := false
	if w := a.budget.makeRoom(a, n); w != nil {
		select {
		case <-w.ended:
		case <-a.budget.config.MaxWait():
		case <-done:
		}
		granted = a.budget.giveUp(w)
	}
	if !granted {
		a.budget.refusedRequests.Add(1)
	}
	return granted
}

// take takes n bytes that are free.
func (a *Account) take(n int64) bool {
	if !a.budget.take(a, n) {
		// What was taken for a moment may have kept others from being granted.
		a.budget.grantQueued()
		return false
	}
	a.held.Add(n)
	return true
}

// Keep adds n bytes to the account until the connection ends. It returns false if more than half of the budget would be in use,
// since they are not given back when the request must be refused.
func (a *Account) Keep(n int64) bool {
	if a == nil || a.budget.used.Load()+n > a.budget.config.Bytes/2 || !a.take(n) {
		return false
	}
	a.kept.Add(n)
	return true
}

// connectionBytes returns what the connection itself holds.
func (a *Account) connectionBytes() int64 { return ConnectionBytes + a.kept.Load() }

// Release gives back all but what the connection itself holds.
func (a *Account) Release() {
	if a == nil {
		return
	}
	if n := a.held.Load() - a.connectionBytes(); n > 0 {
		a.held.Add(-n)
		a.budget.give(n)
	}
}

// Close gives everything back. The account must not be used any more.
func (a *Account) Close() {
	a.budget.remove(a)
	a.budget.give(a.held.Swap(0))
}
