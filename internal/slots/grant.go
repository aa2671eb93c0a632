package slots

import (
	"slices"
	"time"

	"cyclamenstream/api/backend"
)

// state is what a grant's slot is used for.
type state uint8

const (
	granted state = iota // not sent
	sent                 // the leaf may work on the call
	held                 // the session is lost or the answer unknown; the leaf may work on the call until Grant.until
	ended                // not in use
)

// Grant is a slot in use on one leaf.
type Grant struct {
	service *Service
	leaf    *leafState
	bootID  string
	session any
	epoch   uint64
	alone   bool
	index   int

	state        state
	timeout      time.Duration
	stopsBy      time.Time // when the leaf has certainly stopped a sent call
	unresponsive bool      // the leaf was silent for too long; it may begin the call late, when it is back
}

// VM returns the leaf's VM.
func (g *Grant) VM() string { return g.leaf.vm }

// BootID returns the boot identifier of the leaf when the slot was granted.
func (g *Grant) BootID() string { return g.bootID }

// Session returns the session that the leaf was connected with.
func (g *Grant) Session() any { return g.session }

// MarkSent marks the slot as used by a call with the given timeout. The call must not be sent when it returns an error:
// ErrClosed when ownership has ended since the grant, ErrRevoked when the leaf's session or boot identifier has changed.
func (g *Grant) MarkSent(timeout time.Duration) error {
	now := g.service.lock()
	defer func() { g.service.unlock(now) }()
	if g.state != granted {
		if !g.service.open {
			return ErrClosed
		}
		return ErrRevoked
	}
	g.state, g.timeout, g.stopsBy = sent, timeout, now.Add(timeout+backend.EndGrace)
	return nil
}

// Outcome is how a call ended.
type Outcome uint8

// The outcomes of a call.
const (
	// NotSent says that the leaf cannot have received the call.
	NotSent Outcome = iota
	// Answered says that the leaf has answered.
	Answered
	// Refused says that the leaf did not run the call because of its load.
	Refused
	// Ended says that the leaf has confirmed the end of the call without an answer.
	Ended
	// Lost says that nothing is known: the leaf may run the call until its timeout.
	Lost
	// Unresponsive says that the call's time has passed without word from the leaf on a session that still stands. The leaf
	// may be paused, with calls that it has not read yet, and must get no new ones on this session.
	Unresponsive
)

// unresponsiveHold bounds how long the slots of a silent leaf are kept that does not come back.
const unresponsiveHold = time.Hour

// Finish says how the call ended. Latency is used for Answered and Ended, the boot identifier that the leaf has shown
// for Answered. Finish does nothing when the slot is no longer in use.
func (g *Grant) Finish(outcome Outcome, latency time.Duration, bootID string) {
	s, l := g.service, g.leaf
	now := s.lock()
	defer func() { s.unlock(now) }()
	if g.state != granted && g.state != sent {
		return
	}
	if outcome == Unresponsive && g.state == sent {
		s.markUnresponsive(l, g.session, now)
		return
	}
	if outcome == Lost && g.state == sent && now.Before(g.stopsBy) {
		s.hold(g, g.stopsBy)
		return
	}
	alone := s.aloneLeaves
	s.end(g)
	if outcome == Answered && bootID != g.bootID {
		s.observeBootID(l, bootID, now)
	}
	if l.connected && l.epoch == g.epoch {
		s.recordOutcome(l, outcome, latency, now)
	}
	if s.aloneLeaves < alone {
		s.dispatchAll() // another leaf may be reserved now
		return
	}
	s.dispatch(l)
}

func (s *Service) recordOutcome(l *leafState, outcome Outcome, latency time.Duration, now time.Time) {
	switch outcome {
	case Answered:
		l.latency.record(latency)
		if !now.Before(l.coldUntil) && l.ramp.recordAnswer(latency, s.options.TypicalLatency(), l.latency.settled(), s.options.Limits) {
			s.options.OnLimitChange(l.vm, TurnedWarm)
		}
	case Ended:
		if latency > l.latency.mean { // the call would have taken at least as long
			l.latency.record(latency)
		}
		l.ramp.detectRise(latency, s.options.Limits)
	case Refused:
		l.ramp.reduce(s.options.ColdSlots)
	}
}

// markUnresponsive disconnects a leaf from a session on which it was silent for too long. Its slots stay in use: a paused leaf
// begins the calls that wait in its socket when it goes on, and their timeouts count from then.
func (s *Service) markUnresponsive(l *leafState, conn any, now time.Time) {
	for _, g := range l.grants {
		if g.session == conn && (g.state == sent || g.state == held) {
			g.unresponsive = true
			s.endAlone(g) // else no other leaf could be kept for a request that runs alone
			s.hold(g, now.Add(unresponsiveHold))
		}
	}
	switch {
	case l.session == conn:
		s.disconnect(l)
	case l.connected: // on a newer session
		s.markResponsive(l, now)
	}
}

// markResponsive sets the end of the slots of a silent leaf, which has just answered on a new session. It reads what waits in
// its old sockets at about the same time, within backend.EndGrace.
func (s *Service) markResponsive(l *leafState, now time.Time) {
	for _, g := range l.grants {
		if g.unresponsive {
			g.unresponsive = false
			s.hold(g, now.Add(g.timeout+backend.EndGrace))
		}
	}
}

// hold keeps a slot in use until the given time.
func (s *Service) hold(g *Grant, until time.Time) {
	g.state, g.stopsBy = held, until
	s.nextHoldExpiry = earliest(s.nextHoldExpiry, until)
}

func (s *Service) expireHolds(now time.Time) {
	s.nextHoldExpiry = time.Time{}
	for _, l := range slices.Clone(s.sortedLeaves) { // end may drop a leaf
		for i := len(l.grants) - 1; i >= 0; i-- {
			g := l.grants[i]
			if g.state != held {
				continue
			}
			if now.Before(g.stopsBy) {
				s.nextHoldExpiry = earliest(s.nextHoldExpiry, g.stopsBy)
				continue
			}
			s.end(g)
		}
	}
}

// revoke ends the grants that were not sent.
func (s *Service) revoke(l *leafState) {
	s.endWhere(l, func(g *Grant) bool { return g.state == granted })
}

func (s *Service) endWhere(l *leafState, match func(*Grant) bool) {
	for i := len(l.grants) - 1; i >= 0; i-- {
		if g := l.grants[i]; match(g) {
			s.end(g)
		}
	}
}

func (s *Service) end(g *Grant) {
	g.state = ended
	g.leaf.remove(g)
	s.endAlone(g)
	s.dropForgotten(g.leaf)
}

func (s *Service) endAlone(g *Grant) {
	if g.alone {
		g.alone, g.leaf.runsAlone = false, false
		s.aloneLeaves--
	}
}

func (s *Service) dropForgotten(l *leafState) {
	if l.forgotten && len(l.grants) == 0 {
		s.dropLeaf(l)
	}
}
