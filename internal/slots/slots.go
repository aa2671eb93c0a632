// Package slots limits the concurrent calls to the leaves of a service and decides which request gets a slot on which
// leaf. It does no input or output. Its user reports sessions, sends and answers, and gets grants.
//
// Each Service has its own state and lock. A slot that a leaf may still be working on stays in use until the leaf has
// confirmed the end of the call, the call's timeout plus backend.EndGrace has passed since the send, or the leaf shows
// a new boot identifier. If the time passes without a response from the leaf, the leaf may be paused. It is then
// disconnected, and the time starts again when it answers on a new session.
package slots

import (
	"slices"
	"sync"
	"time"

	"cyclamenstream/api/cluster"
)

// DefaultMaxQueue bounds the requests that wait for a service's slots. It is about one second of work for three leaves
// with three slots each and calls of 10 ms.
const DefaultMaxQueue = 1024

// aloneDivisor bounds the number of leaves that run a call alone or are reserved for one. The bound is the number of
// the service's leaves divided by aloneDivisor, but at least one.
const aloneDivisor = 3

// Limits bounds the concurrent calls to a leaf of the service.
type Limits struct {
	Slots     int
	ColdSlots int
	// ColdTime is the minimum time for which a leaf counts as cold. Answers within it do not raise the limit.
	ColdTime time.Duration
}

// Options configures a Service. Its functions are called with the service's lock held, so they must not block or call
// the Service.
type Options struct {
	Limits
	// Zone is the zone of this node. Its leaves are preferred among otherwise equal ones.
	Zone string
	// MaxQueue bounds the number of waiting requests; 0 means DefaultMaxQueue.
	MaxQueue int
	Now      func() time.Time
	// TypicalLatency returns the recent typical latency of a call, or 0 if it is not known.
	TypicalLatency func() time.Duration
	// SchedulePoll asks for a call of Poll after d. It replaces an earlier request.
	SchedulePoll func(d time.Duration)
	// OnLimitChange is called when a leaf becomes cold or warm.
	OnLimitChange func(vm string, change LimitChange)
}

// LimitChange is a change of a leaf's limit.
type LimitChange uint8

const (
	// TurnedCold means that the limit was set to ColdSlots.
	TurnedCold LimitChange = iota
	// TurnedWarm means that the limit has reached Slots.
	TurnedWarm
)

// Service is the state of one service's slots. It is safe for concurrent use.
type Service struct {
	options Options

	mu             sync.Mutex
	open           bool
	usableFrom     time.Time
	started        bool // usableFrom has passed
	leaves         map[string]*leafState
	sortedLeaves   []*leafState // sorted by VM, so that the same schedule always gives the same result
	queue          queue
	aloneLeaves    int       // number of leaves that run a call alone or are reserved for one
	nextHoldExpiry time.Time // the earliest time at which a held slot may become free; zero if none is held
	nextPoll       time.Time // when Poll is scheduled; zero if it is not
}

// NewService returns a closed service without leaves.
func NewService(opt Options) *Service {
	if opt.MaxQueue == 0 {
		opt.MaxQueue = DefaultMaxQueue
	}
	return &Service{options: opt, leaves: map[string]*leafState{}}
}

// lock locks the service and does the work that has become due. It returns the current time, which the caller passes to
// unlock.
func (s *Service) lock() time.Time {
	s.mu.Lock()
	now := s.options.Now()
	dispatch := false
	if !s.nextHoldExpiry.IsZero() && !now.Before(s.nextHoldExpiry) {
		s.expireHolds(now)
		dispatch = true
	}
	if s.open && !s.started && !now.Before(s.usableFrom) {
		s.started = true
		dispatch = true
	}
	if s.queue.size > 0 {
		dispatch = s.dropLate(now) || dispatch
	}
	if dispatch {
		s.dispatchAll()
	}
	return now
}

// unlock schedules Poll for the next due time and unlocks the service.
func (s *Service) unlock(now time.Time) {
	due := s.nextDue()
	if !due.IsZero() && (s.nextPoll.IsZero() || due.Before(s.nextPoll)) {
		s.nextPoll = due
		s.options.SchedulePoll(max(due.Sub(now), 0))
	}
	s.mu.Unlock()
}

func (s *Service) nextDue() time.Time {
	due := s.nextHoldExpiry
	if s.queue.size == 0 {
		return due
	}
	if !s.started {
		due = earliest(due, s.usableFrom)
	}
	typical := s.options.TypicalLatency()
	for _, class := range s.queue.classes {
		if len(class) > 0 {
			due = earliest(due, class[0].Deadline.Add(-typical+1)) // the first time at which the deadline cannot be met
		}
	}
	return due
}

// earliest returns the earlier of two times. If a is zero, it returns b.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Poll frees held slots whose time has passed and drops waiting requests that cannot be served in time.
func (s *Service) Poll() {
	now := s.lock()
	s.nextPoll = time.Time{}
	s.unlock(now)
}

// Open starts admission from usableFrom. Leaves in the handover start with the limit given there. All other leaves
// are unknown and therefore cold. Slots that are still in use from an earlier period of ownership stay in use.
func (s *Service) Open(usableFrom time.Time, handover *cluster.Handover) {
	now := s.lock()
	defer func() { s.unlock(now) }()
	s.open, s.usableFrom, s.started = true, usableFrom, !now.Before(usableFrom)
	for _, l := range slices.Clone(s.sortedLeaves) {
		l.handedOver = false
		if len(l.grants) == 0 {
			s.dropLeaf(l)
		}
	}
	if handover == nil {
		return
	}
	for _, previous := range handover.Leaves {
		l := s.ensureLeaf(previous.VM)
		l.bootID, l.handedOver = previous.BootID, true
		l.ramp.reset(min(max(previous.Limit, s.options.ColdSlots), s.options.Slots))
		if l.ramp.limit == s.options.ColdSlots {
			l.coldUntil = now.Add(s.options.ColdTime)
		}
		for _, busy := range previous.BusyFor {
			g := &Grant{service: s, leaf: l, bootID: previous.BootID, state: held}
			l.add(g)
			s.hold(g, now.Add(busy))
		}
	}
}

// Close ends admission. Waiting requests fail with ErrClosed, and grants whose call was not sent are revoked. Close
// returns the state of the slots for the next owner.
func (s *Service) Close() cluster.Handover {
	now := s.lock()
	defer func() { s.unlock(now) }()
	s.open, s.started = false, false
	for w := s.queue.head(); w != nil; w = s.queue.head() {
		s.drop(w, ErrClosed)
	}
	var state cluster.Handover
	for _, l := range slices.Clone(s.sortedLeaves) { // revoke may drop a leaf
		s.revoke(l)
		state.Leaves = append(state.Leaves, cluster.LeafHandover{
			VM: l.vm, BootID: l.bootID, Limit: s.handoverLimit(l), BusyFor: l.busyFor(now),
		})
		l.connected, l.epoch = false, l.epoch+1
	}
	return state
}

func (s *Service) handoverLimit(l *leafState) int {
	if l.connected || l.handedOver {
		return l.ramp.limit
	}
	return s.options.ColdSlots
}

// SetLimits changes the limits. A leaf above its new limit gets no new calls until enough of its calls have ended.
func (s *Service) SetLimits(limits Limits) {
	now := s.lock()
	defer func() { s.unlock(now) }()
	if s.options.Limits == limits {
		return
	}
	s.options.Limits = limits
	for _, l := range s.sortedLeaves {
		l.ramp.limit = max(min(l.ramp.limit, limits.Slots), limits.ColdSlots)
	}
	s.dispatchAll()
}

// Connect reports a new session to a leaf and the boot identifier that the leaf shows on it. The leaf is cold unless
// the handover names it with the same boot identifier. Each grant on the leaf refers to the session.
func (s *Service) Connect(vm, zone, bootID string, session any) {
	now := s.lock()
	defer func() { s.unlock(now) }()
	l := s.ensureLeaf(vm)
	keepLimit := l.handedOver && l.bootID == bootID
	if l.bootID != "" && l.bootID != bootID {
		s.endWhere(l, func(*Grant) bool { return true }) // they were sent to a process that has ended
	}
	s.markResponsive(l, now)
	l.zone, l.bootID, l.session = zone, bootID, session
	l.connected, l.draining, l.forgotten, l.handedOver = true, false, false, false
	l.epoch++
	if !keepLimit {
		s.turnCold(l, now)
	}
	s.dispatchAll()
}

// ObserveBootID reports the boot identifier that a connected leaf has shown in a status requested at the given epoch
// (see Epoch). The leaf becomes cold if the identifier has changed.
func (s *Service) ObserveBootID(vm, bootID string, epoch uint64) {
	now := s.lock()
	defer func() { s.unlock(now) }()
	if l := s.leaves[vm]; l != nil && l.epoch == epoch {
		s.observeBootID(l, bootID, now)
		s.dispatchAll()
	}
}

// Epoch returns a number that changes whenever the leaf's session or boot identifier changes.
func (s *Service) Epoch(vm string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leaves[vm]; l != nil {
		return l.epoch
	}
	return 0
}

// observeBootID handles a boot identifier that was shown on the current session. Slots of calls that were sent stay in
// use, because the session still stands and the calls may still run.
func (s *Service) observeBootID(l *leafState, bootID string, now time.Time) {
	if !l.connected || bootID == l.bootID {
		return
	}
	l.bootID = bootID
	l.epoch++
	s.revoke(l)
	s.turnCold(l, now)
}

// SetDraining sets whether the leaf is draining. A draining leaf gets no new calls.
func (s *Service) SetDraining(vm string, draining bool) {
	now := s.lock()
	defer func() { s.unlock(now) }()
	if l := s.leaves[vm]; l != nil && l.draining != draining {
		l.draining = draining
		s.unreserve(l)
		s.dispatchAll()
	}
}

// ReplicasChanged reports that the replicas of some shards have changed. Waiting requests that no replica can serve any
// longer fail with ErrNoReplica.
func (s *Service) ReplicasChanged() {
	now := s.lock()
	defer func() { s.unlock(now) }()
	for _, class := range s.queue.classes {
		for _, w := range slices.Clone(class) {
			if !w.hasReplica() {
				s.drop(w, ErrNoReplica)
			} else if w.reservedLeaf != nil && !w.mayUse(w.reservedLeaf.vm) {
				s.unreserve(w.reservedLeaf)
			}
		}
	}
	s.dispatchAll()
}

// Disconnect reports that the session to a leaf is lost or is being closed. The leaf gets no new calls.
func (s *Service) Disconnect(vm string) {
	now := s.lock()
	defer func() { s.unlock(now) }()
	if l := s.leaves[vm]; l != nil && l.connected {
		s.disconnect(l)
	}
}

func (s *Service) disconnect(l *leafState) {
	l.connected, l.session = false, nil
	l.epoch++
	s.revoke(l)
	s.unreserve(l)
	s.dispatchAll()
}

// Forget removes a leaf that has no session, as soon as none of its slots is in use.
func (s *Service) Forget(vm string) {
	now := s.lock()
	defer func() { s.unlock(now) }()
	if l := s.leaves[vm]; l != nil && !l.connected {
		l.forgotten = true
		s.dropForgotten(l)
	}
}

// Stats holds the number of waiting requests and the totals over a service's leaves.
type Stats struct {
	Waiting, InUse, Limit, Connected int
}

// Stats returns the current numbers.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Waiting: s.queue.size}
	for _, l := range s.sortedLeaves {
		st.InUse += len(l.grants)
		if l.connected {
			st.Connected++
			st.Limit += l.ramp.limit
		}
	}
	return st
}

// LeafStats returns the slots in use and the limit of a leaf, or zeros if the leaf is unknown.
func (s *Service) LeafStats(vm string) (inUse, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leaves[vm]; l != nil {
		return len(l.grants), l.ramp.limit
	}
	return 0, 0
}

func (s *Service) ensureLeaf(vm string) *leafState {
	l := s.leaves[vm]
	if l == nil {
		l = &leafState{vm: vm}
		l.ramp.reset(s.options.ColdSlots)
		s.leaves[vm] = l
		i, _ := slices.BinarySearchFunc(s.sortedLeaves, vm, (*leafState).compareVM)
		s.sortedLeaves = slices.Insert(s.sortedLeaves, i, l)
	}
	return l
}

func (s *Service) dropLeaf(l *leafState) {
	delete(s.leaves, l.vm)
	i, _ := slices.BinarySearchFunc(s.sortedLeaves, l.vm, (*leafState).compareVM)
	s.sortedLeaves = slices.Delete(s.sortedLeaves, i, i+1)
}

func (s *Service) turnCold(l *leafState, now time.Time) {
	if l.ramp.limit >= s.options.Slots {
		l.latency.warmMean = l.latency.mean
	}
	l.ramp.reset(s.options.ColdSlots)
	l.latency = latencyEstimate{warmMean: l.latency.warmMean}
	l.coldUntil = now.Add(s.options.ColdTime)
	s.options.OnLimitChange(l.vm, TurnedCold)
}

func (s *Service) maxAlone() int { return max(1, len(s.leaves)/aloneDivisor) }
