package quota

import "time"

// returnDelay is how long returned grants wait for a report to be combined with.
const returnDelay = 100 * time.Millisecond

// flush sends the reports that are due, and decides on waiting requests.
func (n *node) flush(a *account, at instant) {
	for l := a.due(at.elapsed); l != nil; l = a.due(at.elapsed) {
		r := l.report(a, a.need(at.elapsed), at.elapsed)
		r.Node = n.config.Self
		if l.allocator.name != n.config.Self {
			n.meters.reports.Inc(1)
			n.out.SendQuotaReport(l.allocator.address, r)
		} else if g, ok := n.answer(r, at); ok {
			l.allocator.heard(at.elapsed, at.elapsed)
			a.grant(l, g, at.elapsed)
			a.settle(at.elapsed, n.config.Bounds.Window)
		}
	}
	a.settle(at.elapsed, n.config.Bounds.Window)
}

// due returns the session whose allocator must get a report now, or nil.
func (a *account) due(now time.Duration) *session {
	for _, l := range a.sessions {
		l.expire(now)
		if l.pending && now-l.askedAt > l.allocator.answerTime() {
			l.pending = false
			l.allocator.missed(now)
		}
	}
	if need := a.need(now); need > 0 {
		l := a.target(now)
		if l != nil && !l.askAllowed(len(a.waiting) > 0, need, now) {
			l = a.second(l, now)
		}
		if l != nil {
			return l
		}
	}
	for _, l := range a.sessions {
		if l.returned > l.reported && !l.pending && now-l.returnedAt >= returnDelay {
			return l
		}
	}
	return nil
}

// second returns another allocator to ask while the first one has not answered, or nil. It is asked if the oldest waiting request
// cannot wait for one answer after the other. What both grant beyond the need goes back.
func (a *account) second(first *session, now time.Duration) *session {
	if len(a.waiting) == 0 || !first.pending {
		return nil
	}
	for _, l := range a.sessions {
		if l == first || l.pending || now < l.deniedUntil || now < l.allocator.silentUntil {
			continue
		}
		late := first.askedAt+first.allocator.usualTrip()+l.allocator.usualTrip() > a.waiting[0].deadline
		if late && l.askAllowed(true, len(a.waiting), now) {
			return l
		}
	}
	return nil
}

// askAllowed reports whether the allocator may be asked now. A report that says more than a pending one may be sent while a
// request waits.
func (l *session) askAllowed(urgent bool, need int, now time.Duration) bool {
	if l.wanted == 0 {
		return true
	}
	since := now - l.askedAt
	if urgent {
		return since >= askInterval && (!l.pending || l.granted+uint64(need) > l.wanted)
	}
	return since >= reportDelay && !l.pending
}
