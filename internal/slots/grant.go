package slots

import (
	"slices"
	"time"

	"cyclamenstream/api/backend"
)

// state is the state of a granted slot.
type state uint8

const (
	granted state = iota // no call was sent
	sent                 // the leaf may be working on the call
	held                 // the outcome is unknown; the leaf may be working on the call until Grant.stopsBy
	ended                // no longer in use
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
	stopsBy      time.Time // when the leaf has certainly stopped the call
	unresponsive bool      // the leaf did not respond in time; it may start the call late, when it resumes
}

// VM returns the leaf's VM.
func (g *Grant) VM() string { return g.leaf.vm }

// BootID returns the boot identifier that the leaf had when the slot was granted.
func (g *Grant) BootID() string { return g.bootID }

// Session returns the session that the leaf had when the slot was granted.
func (g *Grant) Session() any { return g.session }

// MarkSent marks the slot as used by a call with the given timeout. It returns ErrClosed if ownership has ended since
// the grant, and ErrRevoked if the leaf's session or boot identifier has changed. The call must then not be sent.
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

const (
	// NotSent means that the leaf cannot have received the call.
	NotSent Outcome = iota
	// Answered means that the leaf has answered.
	Answered
	// Refused means that the leaf rejected the call because of its load and did not run it.
	Refused
	// Ended means that the leaf has confirmed the end of the call without an answer.
	Ended
	// Lost means that the result is unknown. The leaf may run the call until the call's timeout.
	Lost
	// Unresponsive means that the call's time has passed without a response from the leaf, although the session is
	// still open. The leaf may be paused, with calls that it has not read yet. It must get no new calls on this session.
	Unresponsive
)

// unresponsiveHold bounds how long the slots of an unresponsive leaf stay in use if it does not respond again.
const unresponsiveHold = time.Hour

// Finish reports how the call ended. The latency is used for Answered and Ended. The boot identifier that the leaf has
// shown is used for Answered. Finish does nothing when the slot is no longer in use.
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
	aloneBefore := s.aloneLeaves
	s.end(g)
	if outcome == Answered && bootID != g.bootID {
		s.observeBootID(l, bootID, now)
	}
	if l.connected && l.epoch == g.epoch {
		s.recordOutcome(l, outcome, latency, now)
	}
	if s.aloneLeaves < aloneBefore {
		s.dispatchAll() // another leaf may now be reserved
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

// markUnresponsive ends the use of a session on which a leaf did not respond in time. Its slots stay in use: a paused
// leaf starts the calls that wait in its socket when it resumes, and their timeouts count from then.
func (s *Service) markUnresponsive(l *leafState, session any, now time.Time) {
	for _, g := range l.grants {
		if g.session == session && (g.state == sent || g.state == held) {
			g.unresponsive = true
			s.endAlone(g) // otherwise no other leaf could be reserved for a request that runs alone
			s.hold(g, now.Add(unresponsiveHold))
		}
	}
	switch {
	case l.session == session:
		s.disconnect(l)
	case l.connected: // on a newer session
		s.markResponsive(l, now)
	}
}

// markResponsive limits how long the slots of an unresponsive leaf stay in use, once it has answered on a new session.
// It reads the calls that wait in its old sockets at about the same time, within backend.EndGrace.
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

// revoke ends the grants whose calls were not sent.
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
