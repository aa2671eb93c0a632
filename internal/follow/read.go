package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"cyclamenstream/api/registry"
)

// read does a linearizable read of the registry. The node of the first rank always sends notices of the changes, other
// nodes only if it is their turn to read on behalf of others. What a node reads because it lacks something is known to
// the others already, or they get it from the node whose turn it is.
func (f *Follower) read(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began, inTurn := time.Now(), !f.confirmed.IsZero()
	next, view, err := f.readOnce(readCtx)
	f.lastTick = time.Now() // the wait for the answer does not count as a pause
	switch {
	case view != nil:
		f.applyView(view.View, began, view.address)
		return
	case err != nil:
		f.recordFailure(err)
		return
	}
	if f.failing {
		f.failing = false
		f.log.Info("registry_regained")
	}
	if f.outage {
		f.outage, f.outageEnd = false, time.Now()
	}
	if !f.confirmed.IsZero() {
		f.age.RecordDuration(began.Sub(f.confirmed))
	}
	f.retryDelay, f.nextRead = 0, began.Add(minReadInterval)
	f.skipped.Update(float64(next.Skipped))
	old := f.state
	if !f.install(next, began, "read") || !f.shouldNotify(inTurn) {
		return
	}
	addresses := f.peerAddresses()
	for _, n := range newNotices(f.config.Self, old, f.state) {
		f.peers.SendNotice(addresses, n)
	}
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
	if older(next.Epoch, next.Revision, old) {
		f.log.Warn("read_ignored", "epoch", next.Epoch, "known_epoch", old.Epoch, "revision", next.Revision, "known", old.Revision, "source", source)
		return false
	}
	f.recordRestore(next, now, source)
	next = f.reconcile(old, keepNewest(old, next), now)
	f.confirm(confirmed)
	f.setState(next, source)
	return true
}

// readOnce reads the registry. A node without a state starts further reads while the first one waits, since a
// connection opened during an outage may get no answer even after the outage. Meanwhile it also requests the views of
// nodes that have requested its own. If one of them answers first, readOnce returns its view instead of a state.
func (f *Follower) readOnce(ctx context.Context) (state registry.State, view *peerView, err error) {
	if f.hasState {
		state, err = f.registry.Read(ctx)
		return state, nil, err
	}
	type result struct {
		state registry.State
		err   error
	}
	results := make(chan result, int(callTimeout/firstReadInterval)+1)
	views := make(chan peerView)
	ticker := time.NewTicker(firstReadInterval)
	defer ticker.Stop()
	read := func() {
		s, err := f.registry.Read(ctx)
		results <- result{s, err}
	}
	go read()
	for {
		select {
		case r := <-results:
			return r.state, nil, r.err
		case v := <-views:
			return registry.State{}, &v, nil
		case address := <-f.viewHints:
			go f.fetchViewAsync(ctx, address, views)
		case <-ticker.C:
			go read()
		case <-ctx.Done():
			return registry.State{}, nil, ctx.Err()
		}
	}
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
