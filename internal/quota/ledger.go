package quota

import (
	"math"
	"slices"
	"time"

	"cyclamenstream/api/cluster"
)

const (
	// advanceTime is the time for whose usual requests a node asks in advance. Nodes that get few requests ask for none.
	advanceTime = 100 * time.Millisecond
	// rateMemory is the time over which a node measures how many requests it gets.
	rateMemory = time.Second
	// reportDelay is how long a report waits for others to be combined with it while no request waits for the grant.
	reportDelay = 25 * time.Millisecond
	// askInterval is the shortest time between two reports to an allocator about one organisation.
	askInterval = 5 * time.Millisecond
)

// account is what a node has admitted of one organisation. It has no clock: times are those of a clock that also counts
// while the node is suspended, so that grants expire meanwhile.
type account struct {
	organisation string
	// overdraft is set if this node may admit one request before it is granted. owed is that request, or nil.
	overdraft bool
	owed      *Ticket
	// overdraftFrom is the time before which it may not, since an earlier boot of it may owe one.
	overdraftFrom time.Duration
	// sessions holds the allocators in the order in which they are asked.
	sessions []*session
	// rate is the number of admitted requests a second, measured up to ratedAt.
	rate    float64
	ratedAt time.Duration
	// waiting holds the requests that wait for a grant, oldest first.
	waiting []*waiter
	refusals
}

// session is the account of a node with one allocator.
type session struct {
	allocator *peer
	// boot tells this session from earlier ones of this node with the same allocator.
	boot int64
	// granted is the number of requests that the allocator has granted, and returned the number of those that have not run.
	granted, returned uint64
	// stock holds what the allocator has granted and no request has used, oldest first.
	stock []batch
	// wanted is the largest number that the allocator was asked to grant, and reported the last number returned to it.
	wanted, reported uint64
	// askedAt is the time of the latest report, and pending is set while its grant may come.
	askedAt time.Duration
	pending bool
	// answered is the stamp of the newest report that the allocator has answered.
	answered time.Duration
	// deniedUntil is when the allocator expects to grant another request.
	deniedUntil time.Duration
	// returnedAt is the time of the first request of returned that was not reported.
	returnedAt time.Duration
}

// batch is a number of requests that are granted until a time.
type batch struct {
	count int
	until time.Duration
}

// Ticket is an admitted request.
type Ticket struct {
	account *account
	// session is the one whose allocator grants the request, or nil while none does. The grant is unused until then.
	session    *session
	until      time.Duration
	admittedAt time.Duration
}

// setSessions adopts the allocators in the order in which they are asked. Numbers of a session that ends are forgotten; if its allocator
// returns, a new boot starts.
func (a *account) setSessions(order []*peer, newBoot func() int64) {
	var sessions []*session
	for _, p := range order {
		i := slices.IndexFunc(a.sessions, func(l *session) bool { return l.allocator == p })
		if i >= 0 {
			sessions = append(sessions, a.sessions[i])
		} else {
			sessions = append(sessions, &session{allocator: p, boot: newBoot(), answered: -1})
		}
	}
	a.sessions = sessions
}

// admit admits a request if an allocator has granted one, or by overdraft. It returns nil if the request must wait.
func (a *account) admit(now time.Duration) *Ticket {
	for _, l := range a.sessions {
		l.expire(now)
		if len(l.stock) == 0 {
			continue
		}
		t := &Ticket{account: a, session: l, until: l.stock[0].until, admittedAt: now}
		if l.stock[0].count--; l.stock[0].count == 0 {
			l.stock = l.stock[1:]
		}
		a.count(now)
		return t
	}
	if !a.overdraft || a.owed != nil || now < a.overdraftFrom {
		return nil
	}
	a.owed = &Ticket{account: a, admittedAt: now}
	a.count(now)
	return a.owed
}

// giveBack returns an admitted request that has not run. Its grant can be used while it lasts, and is returned to the allocator
// otherwise.
func (a *account) giveBack(t *Ticket, now time.Duration) {
	switch {
	case a.owed == t:
		a.owed = nil
	case t.session != nil && now < t.until:
		t.session.stock = slices.Insert(t.session.stock, 0, batch{1, t.until})
	case t.session != nil:
		t.session.giveBack(1, now)
	}
}

// expire returns grants that were not used in time.
func (l *session) expire(now time.Duration) {
	l.stock = slices.DeleteFunc(l.stock, func(b batch) bool {
		if now < b.until {
			return false
		}
		l.giveBack(b.count, now)
		return true
	})
}

func (l *session) giveBack(count int, now time.Duration) {
	if l.returned == l.reported {
		l.returnedAt = now
	}
	l.returned += uint64(count)
}

// count counts an admitted request.
func (a *account) count(now time.Duration) {
	a.rate = a.rateAt(now) + 1/rateMemory.Seconds()
	a.ratedAt, a.refused = now, 0
}

func (a *account) rateAt(now time.Duration) float64 {
	return a.rate * math.Exp(-(now-a.ratedAt).Seconds()/rateMemory.Seconds())
}

// need returns the number of requests for which a grant is missing.
func (a *account) need(now time.Duration) int {
	need, stock := len(a.waiting), 0
	if a.owed != nil {
		need++
	}
	for _, l := range a.sessions {
		for _, b := range l.stock {
			stock += b.count
		}
	}
	advance := int(math.Round(a.rateAt(now) * advanceTime.Seconds()))
	return need + max(0, advance-stock)
}

// target returns the allocator to ask: the first one that has neither denied nor failed to answer, or else the one of those that
// failed to answer whose silence ends first. It is nil if one has denied and the others are lost.
func (a *account) target(now time.Duration) *session {
	var first *session
	denied := false
	for _, l := range a.sessions {
		switch {
		case now < l.deniedUntil:
			denied = true
		case now >= l.allocator.silentUntil:
			return l
		case first == nil || l.allocator.silentUntil < first.allocator.silentUntil:
			first = l
		}
	}
	if denied && first != nil && first.allocator.lost(now) {
		return nil
	}
	return first
}

// deniedUntil returns when the next allocator expects to grant a request, if all allocators that are not lost have denied.
func (a *account) deniedUntil(now time.Duration) (until time.Duration, denied bool) {
	for _, l := range a.sessions {
		switch {
		case now < l.deniedUntil:
			if !denied || l.deniedUntil < until {
				until = l.deniedUntil
			}
			denied = true
		case !l.allocator.lost(now):
			return 0, false
		}
	}
	return until, denied
}

// report returns the report that is due to the allocator of the session.
func (l *session) report(a *account, need int, now time.Duration) cluster.QuotaReport {
	wanted := l.granted + uint64(need)
	l.wanted, l.askedAt, l.pending, l.reported = max(l.wanted, wanted), now, need > 0, l.returned
	return cluster.QuotaReport{Organisation: a.organisation, Boot: l.boot, Stamp: now, Granted: l.granted, Wanted: wanted, Returned: l.returned}
}

// grant adopts what an allocator has granted. A grant for a report that is too old cannot be used, except for the request that is
// owed.
func (a *account) grant(l *session, g cluster.QuotaGrant, now time.Duration) {
	if g.Granted > l.wanted {
		return // never asked for
	}
	if g.Stamp >= l.askedAt {
		l.pending = false
	}
	if g.Stamp > l.answered {
		l.answered, l.deniedUntil = g.Stamp, 0
		if g.Wait > 0 {
			l.deniedUntil = now + g.Wait
		}
	}
	if g.Granted <= l.granted {
		return
	}
	count, until := int(g.Granted-l.granted), g.Stamp+grantLife
	l.granted = g.Granted
	if a.owed != nil {
		a.owed.session, a.owed.until, a.owed = l, until, nil
		count--
	}
	if count > 0 {
		l.stock = append(l.stock, batch{count, until})
		l.expire(now)
	}
}
