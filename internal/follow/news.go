package follow

import (
	"context"
	"maps"
	"slices"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
)

// addresses returns where the other nodes receive notices: those of the state, and those that have left it of late.
func (f *Follower) addresses() []string {
	now := time.Now()
	f.see(f.state.Members, now)
	maps.DeleteFunc(f.seen, func(_ string, at time.Time) bool { return now.Sub(at) > tellGone })
	return slices.Sorted(maps.Keys(f.seen))
}

// see notes that the entries of nodes are there.
func (f *Follower) see(members []registry.Member, now time.Time) {
	for _, m := range members {
		if m.ID != f.config.Self && m.PeerAddress != "" {
			f.seen[m.PeerAddress] = now
		}
	}
}

// hear takes a notice: it confirms the present state, brings it up to date, or shows that it is behind. It ends an outage in
// any case, since another node has read the registry.
func (f *Follower) hear(ctx context.Context, n cluster.Notice) {
	if !f.known || n.Revision < f.state.Revision || n.Sender == f.config.Self {
		return
	}
	now, own := time.Now(), digest(f.state)
	f.endOutage(now)
	switch {
	case n.Digest == own:
		f.mu.Lock()
		f.state.Revision = n.Revision
		f.mu.Unlock()
		f.confirmBy(n, now)
		return
	case n.Base == own && !n.Partial:
		next := applied(f.state, n)
		if n.ConfigVersion != version(next) && !f.fetchTable(ctx, &next, n.ConfigVersion) {
			break
		}
		if digest(next) == n.Digest {
			f.confirmBy(n, now)
			f.adopt(next, "notice of "+n.Sender)
			return
		}
	case n.More:
		return // the last notice of the read tells whether this node is behind
	}
	f.log.Info("notice_unknown", "sender", n.Sender, "revision", n.Revision, "known", f.state.Revision)
	// The sender knows for certain, but is not asked by all that the registry refuses.
	if f.refusedAlone() && (f.ask(ctx) || f.fetchView(ctx, n.From)) {
		return
	}
	f.confirm(time.Time{})
}

// endOutage notes that a node has read the registry since this node could not.
func (f *Follower) endOutage(now time.Time) {
	if f.outage {
		f.outage, f.returned, f.next = false, now, now
	}
}

// confirm notes when the state was the newest for certain; the zero time says that it is in doubt.
func (f *Follower) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = at
}

// confirmBy notes that a notice has shown the state to be the newest; one that more notices lead on from is not.
func (f *Follower) confirmBy(n cluster.Notice, now time.Time) {
	if !n.More {
		f.confirm(now)
	}
}

// fetchTable reads the routing configuration of a known version: cheaply if that is not too old. It does not try while the
// registry answers others only.
func (f *Follower) fetchTable(ctx context.Context, s *registry.State, wanted uint64) bool {
	if f.refusedAlone() {
		return false
	}
	for _, freshness := range []registry.Consistency{registry.Serializable, registry.Linearizable} {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		o, err := f.registry.ReadOperatorState(call, freshness)
		cancel()
		f.lastTick = time.Now()
		if err != nil {
			f.log.Info("config_fetch", "error", err.Error(), "wanted", wanted)
			return false
		}
		if o.Table != nil && o.Table.Version == wanted {
			s.Table = o.Table
			return true
		}
	}
	return false
}
