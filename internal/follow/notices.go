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
	if !f.hasState || older(n.Epoch, n.Revision, atNewest(f.state)) || n.Sender == f.config.Self {
		return
	}
	now, currentDigest := time.Now(), digest(f.state)
	read := now.Add(-n.Age) // when the sender read the registry
	f.endOutage(now)
	if n.Digest == currentDigest {
		f.mu.Lock()
		f.state.Revision = n.Revision
		f.mu.Unlock()
		f.confirmFromNotice(n, read)
		return
	}
	next := f.applyInTurn(n)
	if n.More {
		return // the last notice of the read shows whether this node is out of date
	}
	if !n.Partial && f.completeTable(ctx, &next, n.ConfigVersion) && digest(next) == n.Digest {
		f.confirm(read)
		f.recordRestore(next, now, "notice of "+n.Sender)
		f.setState(next, "notice of "+n.Sender)
		return
	}
	f.log.Info("notice_unknown", "sender", n.Sender, "epoch", n.Epoch, "known_epoch", f.state.Epoch, "revision", n.Revision, "known", f.state.Revision)
	f.exchangeTables(ctx, n)
	// The sender's view is certain, but it is asked last, so that not every node that the registry refuses asks it.
	if f.refused() && (f.requestView(ctx) && !f.isBefore(n) || f.fetchView(ctx, n.From)) {
		return
	}
	f.planCatchUp(n, now, read)
}

// noticeChain is the state after the notices of one read that have been received so far.
type noticeChain struct {
	epoch, revision uint64
	state           registry.State
	latest          time.Time
}

const (
	// chainTimeout is the time after which the rest of a chain is not expected any more.
	chainTimeout = time.Second
	// maxChains bounds the memory of chains. Only the nodes of the first ranks send notices.
	maxChains = notifyRanks
)

// applyInTurn applies a notice to the state after the notices of the same read before it, or to the current state if it is
// the first one. The result is only certain if it has the digest of the last notice. The current state need not be the one
// to which the sender has compared: a state that already includes some of the changes leads to the same result.
func (f *Follower) applyInTurn(n cluster.Notice) registry.State {
	state, now := f.state, time.Now()
	if c, ok := f.chains[n.Sender]; ok && c.epoch == n.Epoch && c.revision == n.Revision {
		state = c.state
	}
	next := applyNotice(state, n)
	maps.DeleteFunc(f.chains, func(sender string, c noticeChain) bool { return sender == n.Sender || now.Sub(c.latest) > chainTimeout })
	if n.More && len(f.chains) < maxChains {
		f.chains[n.Sender] = noticeChain{n.Epoch, n.Revision, next, now}
	}
	return next
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

// confirmFromNotice records that a notice has shown the state to be the newest one when its sender read it, unless further notices of the same read
// follow.
func (f *Follower) confirmFromNotice(n cluster.Notice, read time.Time) {
	if !n.More {
		f.confirm(later(f.confirmed, read))
	}
}

// completeTable gives the state the routing configuration of the wanted version, unless that is older than its own.
func (f *Follower) completeTable(ctx context.Context, state *registry.State, wanted uint64) bool {
	known := configVersion(*state)
	return known == wanted || known < wanted && f.fetchTable(ctx, state, wanted)
}

// fetchTable reads the routing configuration of the wanted version into state. It tries a serializable read first, and
// a linearizable one if the result is too old. It does not try while the registry refuses only this node.
func (f *Follower) fetchTable(ctx context.Context, state *registry.State, wanted uint64) bool {
	if f.refused() {
		return false
	}
	for _, consistency := range []registry.Consistency{registry.Serializable, registry.Linearizable} {
		readCtx, cancel := context.WithTimeout(ctx, callTimeout)
		operators, err := f.registry.ReadOperatorState(readCtx, consistency)
		cancel()
		f.lastTick = time.Now()
		if err != nil {
			f.log.Info("config_fetch", "error", err.Error(), "wanted", wanted)
			return false
		}
		if operators.Table != nil && operators.Table.Version == wanted {
			state.Table = operators.Table
			return true
		}
	}
	return false
}
