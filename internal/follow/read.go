package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cyclamenstream/api/registry"
)

// reading is what a read of the registry has returned.
type reading struct {
	registry.State
	// newest is set if the state was the newest one when the read began.
	newest bool
	// view is the view of another node that was received instead. The other fields are then empty.
	view *peerView
}

// read reads the registry. The node of the first rank always sends notices of the changes, other nodes only if it is their
// turn to read on behalf of others. What a node reads because it lacks something is known to the others already, or they
// get it from the node whose turn it is.
func (f *Follower) read(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began, inTurn := time.Now(), !f.behind
	r, err := f.readOnce(readCtx)
	f.lastTick = time.Now() // the wait for the answer does not count as a pause
	switch {
	case r.view != nil:
		f.applyView(r.view.View, began, r.view.address)
		return
	case err != nil:
		f.recordFailure(err)
		return
	}
	f.recordSuccess(r.State)
	if !r.newest {
		f.installUnconfirmed(r.State, began)
		return
	}
	if !f.confirmed.IsZero() {
		f.age.RecordDuration(began.Sub(f.confirmed))
	}
	f.nextRead, f.rereadUnlisted = began.Add(minReadInterval), false
	old := f.state
	if f.install(r.State, began, "read") && f.shouldNotify(inTurn) {
		f.notify(ctx, old, began)
	}
}

// recordSuccess records that the registry has answered a read.
func (f *Follower) recordSuccess(read registry.State) {
	if f.failing {
		f.failing = false
		f.log.Info("registry_regained")
	}
	if f.outage {
		f.outage, f.outageEnd = false, time.Now()
	}
	f.retryDelay = 0
	f.skipped.Update(float64(read.Skipped))
	if !slices.Equal(read.InvalidRollouts, f.invalidRollouts) {
		f.invalidRollouts = read.InvalidRollouts
		f.log.Warn("rollout_entry_invalid", "entries", read.InvalidRollouts, "revision", read.Revision)
	}
}

// installUnconfirmed installs the result of a serializable read. Until this node's turn to read the registry has come, a
// notice may show that it is the newest one.
func (f *Follower) installUnconfirmed(next registry.State, began time.Time) {
	f.install(next, f.confirmed, "serializable read")
	switch {
	case !f.Serving():
		f.nextRead = began.Add(firstPollInterval)
	case !f.listed() && !f.rereadUnlisted:
		// When many nodes start at once, none of them knows its rank before their entries are published.
		f.rereadUnlisted = true
		f.nextRead = began.Add(time.Duration(unlistedWait * (1 + rand.Float64()) * float64(f.config.Interval)))
	default:
		f.rereadUnlisted = false
		f.nextRead = began.Add(f.maxAge() - f.config.Interval)
	}
	if !f.rereadAt.IsZero() && f.rereadAt.Before(f.nextRead) {
		f.nextRead = f.rereadAt
	}
}

// unlistedWait is the share of the read interval for which a node that the registry does not list waits at least before it
// reads again.
const unlistedWait = 0.25

// listed reports whether the state lists this node.
func (f *Follower) listed() bool {
	return slices.ContainsFunc(f.state.Members, func(m registry.Member) bool { return m.ID == f.config.Self })
}

// shouldNotify reports whether this node sends notices of what it has read. The first rank always does, the next ranks
// do if it was their turn. Late ranks have little capacity, and sending to hundreds of nodes would keep them from
// receiving notices themselves.
func (f *Follower) shouldNotify(inTurn bool) bool {
	rank := f.rank()
	return rank == 0 || inTurn && rank < notifyRanks
}

// install replaces the current state by a complete one unless that is older. The new state was the newest at confirmed.
func (f *Follower) install(next registry.State, confirmed time.Time, source string) bool {
	old, now := f.state, time.Now()
	if older(next.Epoch, next.Revision, atNewest(old)) {
		f.log.Warn("read_ignored", "epoch", next.Epoch, "known_epoch", old.Epoch, "revision", next.Revision, "known", old.Revision, "source", source)
		return false
	}
	f.recordRestore(next, now, source)
	next = f.reconcile(old, keepNewest(old, next), now)
	f.confirm(confirmed)
	f.behind = false
	f.setState(next, source)
	return true
}

// readOnce reads the registry. A node that can serve does a serializable read, which costs less, while the registry does not
// answer and until it lists the node.
func (f *Follower) readOnce(ctx context.Context) (reading, error) {
	if !f.Serving() {
		return f.readFirst(ctx)
	}
	consistency := registry.Linearizable
	if f.failing || f.rereadUnlisted {
		consistency = registry.Serializable
	}
	state, err := f.registry.Read(ctx, consistency)
	return reading{State: state, newest: consistency == registry.Linearizable}, err
}

func (f *Follower) recordFailure(err error) {
	f.lastFailure = time.Now()
	if !f.failing {
		f.failing, f.outage, f.firstFailure = true, true, time.Now()
		f.log.Warn("registry_lost", "error", err.Error(), "revision", f.state.Revision)
	}
	maxDelay := maxRetryDelay
	if f.Serving() {
		maxDelay = max(maxDelay, f.maxAge())
	}
	f.retryDelay = min(max(minRetryDelay, 2*f.retryDelay), maxDelay)
	f.nextRead = time.Now().Add(f.retryDelay + rand.N(minRetryDelay))
}
