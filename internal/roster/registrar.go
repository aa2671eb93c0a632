package roster

import (
	"context"
	"errors"
	"slices"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
)

const (
	// registrarInterval is the time between two writes of a registrar.
	registrarInterval = 250 * time.Millisecond
	// registrantTimeout is the time without a registration after which a registrar removes the node's entry.
	registrantTimeout = 3500 * time.Millisecond
	// freshRegistration is the age up to which a registration is a reason to write an entry.
	freshRegistration = registrationInterval + registrarInterval
	// tombstoneTime is how long a registrar remembers that a node has left. Datagrams may be late.
	tombstoneTime = 10 * time.Second
	// maxRegistrants bounds the nodes that register with one registrar.
	maxRegistrants = 1024
	// A registrar that stood still for maxPause does not take the silence of the meantime for that of the registrants.
	maxPause = 700 * time.Millisecond
	// answerAge is the share of the lease's time for which a renewal proves to registrants that their entries exist. When
	// renewals fail they have the rest of the time to find another registrar.
	answerAge = 0.625
)

// registrar keeps the entries of other nodes in the registry, under this node's lease. It writes many entries in one call,
// so that most nodes of a large tier need neither a lease nor calls of their own.
type registrar struct {
	roster  *Roster
	entries map[string]*registrant
	lastRun time.Time
	// After a failed call the next one is made at nextCall. retryDelay is the delay after that one.
	nextCall   time.Time
	retryDelay time.Duration
}

// registrant is a node that registers with this one.
type registrant struct {
	member registry.Member
	// heard is when the latest registration arrived. The node is silent from silentAt on.
	heard, silentAt time.Time
	// left is when the node said that it stops, or when its entry was removed.
	left time.Time
	// lease is the one under which the entry was written, or 0. revision is the entry's. changed is set if it differs from
	// member.
	lease, revision uint64
	written         time.Time
	changed         bool
}

func newRegistrar(r *Roster) *registrar {
	return &registrar{roster: r, entries: map[string]*registrant{}, retryDelay: renewRetryDelay}
}

// run keeps the entries of registrants until ctx ends.
func (g *registrar) run(ctx context.Context) {
	ticker := time.NewTicker(registrarInterval)
	defer ticker.Stop()
	g.lastRun = time.Now()
	for {
		select {
		case registration := <-g.roster.registrations.Registrations():
			if !g.checkPause() {
				g.handle(registration)
			}
		case <-ticker.C:
			g.checkPause()
			g.write(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// checkPause drops the queued registrations after the process was paused or its VM was suspended, and reports that. The
// registrants get time to register again before their entries are removed; entries are written for new registrations only.
func (g *registrar) checkPause() bool {
	now := time.Now()
	paused := max(now.Sub(g.lastRun), now.Round(0).Sub(g.lastRun.Round(0))) >= maxPause
	g.lastRun = now
	if !paused {
		return false
	}
	for _, e := range g.entries {
		e.silentAt = now.Add(registrantTimeout)
	}
	for {
		select {
		case <-g.roster.registrations.Registrations():
		default:
			return true
		}
	}
}

// handle records a registration, and answers it if nothing has to be written.
func (g *registrar) handle(r cluster.Registration) {
	now, m := time.Now(), r.Member
	e := g.entries[m.ID]
	switch {
	case m.ID == g.roster.self.ID || e == nil && (r.Leaving || len(g.entries) >= maxRegistrants):
		return
	case e == nil:
		e = &registrant{}
		g.entries[m.ID] = e
	case m.Boot < e.member.Boot || m.Boot == e.member.Boot && !e.left.IsZero():
		return // late
	}
	if e.member != m {
		e.member, e.changed, e.left = m, true, time.Time{}
	}
	e.heard, e.silentAt = now, now.Add(registrantTimeout)
	if r.Leaving {
		e.left = now
		return
	}
	lease, fresh := g.roster.validLease(now)
	if published := e.lease == lease && !e.changed; lease == 0 || !fresh || published {
		g.answer(e, fresh && published)
	}
}

func (g *registrar) answer(e *registrant, published bool) {
	if g.roster.isStopping() {
		return
	}
	g.roster.registrations.SendRegistered(e.member.PeerAddress, cluster.Registered{Member: e.member.ID, Boot: e.member.Boot,
		Published: published, Registrar: g.roster.self.ID})
}

// write writes the entries that the registry lacks and removes those of nodes that have left or are silent.
func (g *registrar) write(ctx context.Context) {
	now := time.Now()
	lease, _ := g.roster.validLease(now)
	if lease == 0 || now.Before(g.nextCall) {
		return
	}
	listed := g.roster.listed()
	var due []*registrant
	for id, e := range g.entries {
		switch {
		case !e.left.IsZero() && e.revision == 0:
			if now.Sub(e.left) > tombstoneTime {
				delete(g.entries, id)
			}
		case !e.left.IsZero() || now.After(e.silentAt):
			if !g.remove(ctx, e, lease) {
				return
			}
		case now.Sub(e.heard) > freshRegistration:
		case e.lease != lease || e.changed || now.Sub(e.written) > publishGrace && listed[id] != e.member.Boot:
			due = append(due, e)
		}
	}
	for batch := range slices.Chunk(due, registry.MaxEntries) {
		if !g.publish(ctx, batch, lease) {
			return
		}
	}
}

// publish writes entries and answers their nodes. It reports whether it has succeeded.
func (g *registrar) publish(ctx context.Context, batch []*registrant, lease uint64) bool {
	var members []registry.Member
	for _, e := range batch {
		members = append(members, e.member)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	revision, err := g.roster.registry.Publish(callCtx, lease, members...)
	g.lastRun = time.Now() // the wait for the answer does not count as a pause
	if err != nil {
		// The write may still take effect, for nodes that have left by then. It does no harm once the lease has ended.
		g.roster.abandonLease(lease)
		g.recordFailure(ctx, err)
		return false
	}
	g.retryDelay = renewRetryDelay
	for _, e := range batch {
		e.lease, e.revision, e.written, e.changed = lease, revision, began, false
		g.answer(e, true)
	}
	return true
}

// remove removes the entry of a node, unless it was written again elsewhere. It reports whether the next call may be made.
func (g *registrar) remove(ctx context.Context, e *registrant, lease uint64) bool {
	if e.lease == lease {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := g.roster.registry.Remove(callCtx, e.member.ID, e.revision)
		g.lastRun = time.Now()
		if err != nil && !errors.Is(err, registry.ErrChanged) {
			g.recordFailure(ctx, err)
			return false
		}
		g.retryDelay = renewRetryDelay
	}
	e.lease, e.revision = 0, 0
	if e.left.IsZero() {
		delete(g.entries, e.member.ID)
	}
	return true
}

func (g *registrar) recordFailure(ctx context.Context, err error) {
	if ctx.Err() == nil {
		g.roster.log.Warn("registrar", "outcome", "not written", "error", err.Error())
	}
	g.nextCall = time.Now().Add(g.retryDelay)
	g.retryDelay = min(2*g.retryDelay, g.roster.config.RenewInterval)
}

// validLease returns this node's lease, or 0 if it may have ended or this node stops. fresh is set if it was renewed a short
// time ago.
func (r *Roster) validLease(now time.Time) (lease uint64, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := max(now.Sub(r.renewed), now.Round(0).Sub(r.renewed.Round(0)))
	if r.stopping || r.lease == 0 || age >= r.config.LeaseTTL {
		return 0, false
	}
	return r.lease, float64(age) < answerAge*float64(r.config.LeaseTTL)
}

// abandonLease makes this node write its entry under a new lease. The old one ends by itself.
func (r *Roster) abandonLease(lease uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == lease {
		r.lease = 0
		r.signalChange()
	}
}

// listed returns the boots of the nodes that this node's view of the registry lists, by their names.
func (r *Roster) listed() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	boots := make(map[string]int64, len(r.members))
	for _, m := range r.members {
		boots[m.ID] = m.Boot
	}
	return boots
}
