package follow

import (
	"context"
	"maps"
	"slices"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
)

// peerAddresses returns the addresses at which the other nodes receive notices. It includes nodes whose entries have
// disappeared recently.
func (f *Follower) peerAddresses() []string {
	now := time.Now()
	f.recordSeen(f.state.Members, now)
	maps.DeleteFunc(f.lastSeen, func(_ string, at time.Time) bool { return now.Sub(at) > notifyAfterGone })
	return slices.Sorted(maps.Keys(f.lastSeen))
}

// recordSeen records that the entries of the given nodes were present at now.
func (f *Follower) recordSeen(members []registry.Member, now time.Time) {
	for _, m := range members {
		if m.ID != f.config.Self && m.PeerAddress != "" {
			f.lastSeen[m.PeerAddress] = now
		}
	}
}

// handleNotice handles a notice, which confirms the current state, updates it, or shows that it is out of date. Each
// notice ends an outage, since its sender has read the registry.
func (f *Follower) handleNotice(ctx context.Context, n cluster.Notice) {
	if !f.hasState || older(n.Epoch, n.Revision, f.state) || n.Sender == f.config.Self {
		return
	}
	now, currentDigest := time.Now(), digest(f.state)
	f.endOutage(now)
	switch {
	case n.Digest == currentDigest:
		f.mu.Lock()
		f.state.Revision = n.Revision
		f.mu.Unlock()
		f.confirmFromNotice(n, now)
		return
	case n.Base == currentDigest && !n.Partial:
		next := applyNotice(f.state, n)
		if n.ConfigVersion != configVersion(next) && !f.fetchTable(ctx, &next, n.ConfigVersion) {
			break
		}
		if digest(next) == n.Digest {
			f.confirmFromNotice(n, now)
			f.recordRestore(next, now, "notice of "+n.Sender)
			f.setState(next, "notice of "+n.Sender)
			return
		}
	case n.More:
		return // the last notice of the read shows whether this node is out of date
	}
	f.log.Info("notice_unknown", "sender", n.Sender, "epoch", n.Epoch, "known_epoch", f.state.Epoch, "revision", n.Revision, "known", f.state.Revision)
	f.exchangeTables(ctx, n)
	// The sender's view is certain, but it is asked last, so that not every node that the registry refuses asks it.
	if f.refused() && (f.requestView(ctx) && !f.isBefore(n) || f.fetchView(ctx, n.From)) {
		return
	}
	f.confirm(time.Time{})
}

// exchangeTables gets the sender's routing configuration if it is newer than this node's, or tells the sender that this
// node's is newer. The registry lacks the newest one for a while after it was restored from a copy, and a node that
// starts then reads an older one.
func (f *Follower) exchangeTables(ctx context.Context, n cluster.Notice) {
	switch known := configVersion(f.state); {
	case n.ConfigVersion > known && n.ConfigVersion != f.wantedVersion:
		f.wantedVersion = n.ConfigVersion // a read comes first
	case n.ConfigVersion > known && !f.refused():
		f.fetchView(ctx, n.From)
	case n.ConfigVersion < known && f.rank() < notifyRanks:
		f.peers.SendNotice([]string{n.From}, newNotices(f.config.Self, f.state, f.state)[0])
	}
}

// isBefore reports whether the state is older than the one that a notice is about.
func (f *Follower) isBefore(n cluster.Notice) bool {
	return older(f.state.Epoch, f.state.Revision, registry.State{Epoch: n.Epoch, Revision: n.Revision})
}

// endOutage records that some node has read the registry since this node's reads began to fail.
func (f *Follower) endOutage(now time.Time) {
	if f.outage {
		f.outage, f.outageEnd, f.nextRead = false, now, now
	}
}

// confirm records the time at which the state is certain to have been the newest. The zero time marks it as
// unconfirmed.
func (f *Follower) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = at
}

// confirmFromNotice records that a notice has shown the state to be the newest, unless further notices of the same read
// follow.
func (f *Follower) confirmFromNotice(n cluster.Notice, now time.Time) {
	if !n.More {
		f.confirm(now)
	}
}

// fetchTable reads the routing configuration of the wanted version into state. It tries a serializable read first, and
// a linearizable one if the result is too old. It does not try while the registry refuses only this node.
func (f *Follower) fetchTable(ctx context.Context, state *registry.State, wanted uint64) bool {
	if f.refused() {
		return false
	}
	for _, consistency := range []registry.Consistency{registry.Serializable, registry.Linearizable} {
		readCtx, cancel := context.WithTimeout(ctx, callTimeout)
		operator, err := f.registry.ReadOperatorState(readCtx, consistency)
		cancel()
		f.lastTick = time.Now()
		if err != nil {
			f.log.Info("config_fetch", "error", err.Error(), "wanted", wanted)
			return false
		}
		if operator.Table != nil && operator.Table.Version == wanted {
			state.Table = operator.Table
			return true
		}
	}
	return false
}
