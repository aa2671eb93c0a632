package slots

import (
	"slices"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/leaf"
)

// Request asks for a slot.
type Request struct {
	// Replicas returns the leaves that may serve the request now.
	Replicas func() []leaf.Replica
	// Exclude lists leaves that must not be used.
	Exclude []string
	// Priority is 0 (lowest) to config.MaxPriority.
	Priority int
	Deadline time.Time
	// Immediate makes Acquire fail with ErrNoSlot when no slot is free.
	Immediate bool
	// Alone asks for a leaf that runs no other call, and keeps other calls off it.
	Alone bool
}

func (r *Request) mayUse(vm string) bool {
	if slices.Contains(r.Exclude, vm) {
		return false
	}
	for _, replica := range r.Replicas() {
		if replica.VM == vm {
			return true
		}
	}
	return false
}

// precedes reports whether r is served before o, which has waited longer.
func (r *Request) precedes(o *Request) bool {
	return r.Priority > o.Priority || r.Priority == o.Priority && r.Deadline.Before(o.Deadline)
}

func (r *Request) hasReplica() bool {
	for _, replica := range r.Replicas() {
		if !slices.Contains(r.Exclude, replica.VM) {
			return true
		}
	}
	return false
}

// Acquire returns a grant, or a waiter whose deliver function is called once with a grant or an error. The function is
// called with the service's lock held, so it must not block or call the Service.
func (s *Service) Acquire(r Request, deliver func(*Grant, error)) (*Grant, *Waiter, error) {
	now := s.lock()
	defer func() { s.unlock(now) }()
	if !s.open {
		return nil, nil, ErrClosed
	}
	if !r.hasReplica() {
		return nil, nil, ErrNoReplica
	}
	if err := s.deadlineError(&r, now); err != nil {
		return nil, nil, err
	}
	r.Priority = min(max(r.Priority, 0), config.MaxPriority)
	best := s.best(&r)
	if best != nil && (!r.Alone || len(best.grants) == 0) {
		return s.grant(best, r.Alone), nil, nil
	}
	if r.Immediate {
		return nil, nil, ErrNoSlot
	}
	w := &Waiter{Request: r, deliver: deliver}
	s.queue.push(w)
	if best != nil {
		s.dispatch(best) // reserves the leaf
	}
	if s.queue.size > s.options.MaxQueue {
		s.drop(s.queue.worst(), ErrQueueFull)
		s.dispatchAll() // a leaf may have been reserved for the dropped request
	}
	return nil, w, nil
}

// Cancel ends a wait. It returns false if a result was already delivered.
func (s *Service) Cancel(w *Waiter) bool {
	now := s.lock()
	defer func() { s.unlock(now) }()
	if w.done {
		return false
	}
	s.remove(w)
	s.dispatchAll()
	return true
}

// best returns the leaf with the lowest cost, or nil if no slot is free. Ties go to the leaf with the most free slots,
// then to the one with the fewest calls in flight, then to one in this node's zone. For a request that runs alone, the
// fewest calls in flight come first and cost does not count.
func (s *Service) best(r *Request) *leafState {
	if !s.started || (r.Alone && s.aloneLeaves >= s.maxAlone()) {
		return nil
	}
	now, typical := s.options.Now(), s.options.TypicalLatency()
	var best *leafState
	var lowest time.Duration
	for _, replica := range r.Replicas() {
		l := s.leaves[replica.VM]
		if l == nil || !l.usable() || l.reservedFor != nil && !r.precedes(&l.reservedFor.Request) || slices.Contains(r.Exclude, l.vm) {
			continue
		}
		cost := l.cost(now, typical)
		if best == nil || !r.Alone && cost < lowest || (r.Alone || cost == lowest) && s.better(l, best, r.Alone) {
			best, lowest = l, cost
		}
	}
	return best
}

func (s *Service) better(a, b *leafState, alone bool) bool {
	if fa, fb := a.freeSlots(), b.freeSlots(); !alone && fa != fb {
		return fa > fb
	}
	if len(a.grants) != len(b.grants) {
		return len(a.grants) < len(b.grants)
	}
	return a.zone == s.options.Zone && b.zone != s.options.Zone
}

// deadlineError returns an error if the request cannot be served in time, else nil.
func (s *Service) deadlineError(r *Request, now time.Time) error {
	if !now.Before(r.Deadline) {
		return ErrDeadline
	}
	start := now
	if !s.started && s.usableFrom.After(now) {
		start = s.usableFrom
	}
	if r.Deadline.Sub(start) < s.options.TypicalLatency() {
		return ErrTooLate
	}
	return nil
}

// dropLate drops the requests that cannot be served in time. They are at the heads of their priority classes. It
// reports whether a leaf was reserved for one of them.
func (s *Service) dropLate(now time.Time) bool {
	aloneBefore := s.aloneLeaves
	for i := range s.queue.classes {
		for len(s.queue.classes[i]) > 0 {
			w := s.queue.classes[i][0]
			err := s.deadlineError(&w.Request, now)
			if err == nil {
				break
			}
			s.drop(w, err)
		}
	}
	return s.aloneLeaves < aloneBefore
}

// dispatch gives the leaf's free slots to waiting requests. Under overload, the requests at the head of the queue have
// little time left, and a distant or cold leaf would not answer them in time. The leaf therefore gets the first request
// that leaves it enough time. If there is none, it gets the request with the most time left, because a leaf that is
// slower than the deadlines allow would otherwise get no calls and stay cold. A request that runs alone may have to
// wait until the leaf is empty. The leaf is then reserved for it, and later requests get no slot there unless they
// precede it.
func (s *Service) dispatch(l *leafState) {
	now := s.options.Now()
	for s.started && l.usable() {
		w := s.queue.next(now.Add(l.latency.upperEstimate(s.options.TypicalLatency())), func(w *Waiter) bool {
			free := w.reservedLeaf == nil && (!w.Alone || l.reservedFor != nil || s.aloneLeaves < s.maxAlone())
			return (free || w == l.reservedFor) && w.mayUse(l.vm)
		})
		if w == nil {
			return
		}
		if w.Alone && w != l.reservedFor {
			s.unreserve(l)
			s.reserve(l, w)
		}
		if w.Alone && len(l.grants) > 0 {
			return
		}
		s.deliver(w, l)
	}
}

func (s *Service) dispatchAll() {
	if !s.started || s.queue.size == 0 {
		return
	}
	for _, l := range s.sortedLeaves {
		s.dispatch(l)
	}
}

func (s *Service) deliver(w *Waiter, l *leafState) {
	s.remove(w)
	w.deliver(s.grant(l, w.Alone), nil)
}

func (s *Service) drop(w *Waiter, err error) {
	s.remove(w)
	w.deliver(nil, err)
}

// remove removes a waiter from the queue and ends its reservation.
func (s *Service) remove(w *Waiter) {
	s.queue.remove(w)
	w.done = true
	if w.reservedLeaf != nil {
		s.unreserve(w.reservedLeaf)
	}
}

func (s *Service) reserve(l *leafState, w *Waiter) {
	l.reservedFor, w.reservedLeaf = w, l
	s.aloneLeaves++
}

func (s *Service) unreserve(l *leafState) {
	if l.reservedFor != nil {
		l.reservedFor.reservedLeaf, l.reservedFor = nil, nil
		s.aloneLeaves--
	}
}

func (s *Service) grant(l *leafState, alone bool) *Grant {
	g := &Grant{service: s, leaf: l, bootID: l.bootID, session: l.session, epoch: l.epoch, alone: alone}
	if alone {
		l.runsAlone = true
		s.aloneLeaves++
	}
	l.add(g)
	l.lastGrantAt = s.options.Now()
	return g
}
