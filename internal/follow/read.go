package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"cyclamenstream/api/registry"
)

// read reads the registry exactly. It tells the other nodes if it is this node's turn to read for them: what a node reads
// because it lacks something, the others know already, or hear from the node whose turn it is.
func (f *Follower) read(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began, inTurn := time.Now(), !f.confirmed.IsZero()
	next, view, err := f.readOnce(call)
	f.lastTick = time.Now() // waiting for the answer is no pause
	switch {
	case view != nil:
		f.takeView(view.View, began, view.address)
		return
	case err != nil:
		f.failed(err)
		return
	}
	if f.away {
		f.away = false
		f.log.Info("registry_regained")
	}
	if f.outage {
		f.outage, f.returned = false, time.Now()
	}
	if !f.confirmed.IsZero() {
		f.age.RecordDuration(began.Sub(f.confirmed))
	}
	f.pause, f.next = 0, began.Add(minRead)
	f.skipped.Update(float64(next.Skipped))
	old := f.state
	if !f.install(next, began, "read") || !f.tells(inTurn) {
		return
	}
	addresses := f.addresses()
	for _, n := range newNotices(f.config.Self, old, f.state) {
		f.peers.SendNotice(addresses, n)
	}
}

// tells reports whether this node tells the others what it has read: the first reader always does, the next ones if it was their
// turn. Nodes of late ranks are weak ones; telling hundreds of others would keep them from hearing anything themselves.
func (f *Follower) tells(inTurn bool) bool {
	rank := f.rank()
	return rank == 0 || inTurn && rank < tellRanks
}

// install makes a whole state the present one unless it is older. It was the newest for certain at confirmed.
func (f *Follower) install(next registry.State, confirmed time.Time, source string) bool {
	old := f.state
	if next.Revision < old.Revision {
		f.log.Warn("read_ignored", "revision", next.Revision, "known", old.Revision, "source", source)
		return false
	}
	exact := digest(next)
	next = keepNewest(old, next, f.holding(time.Now()))
	f.held = digest(next) != exact
	f.confirm(confirmed)
	f.adopt(next, source)
	return true
}

// readOnce reads the registry. A node that knows nothing yet starts further reads while the first one waits, since the
// connection of a call to a registry that was away may stay silent after its return, and asks the nodes that have asked it: then
// view is what one of them knows.
func (f *Follower) readOnce(ctx context.Context) (state registry.State, view *peerView, err error) {
	if f.known {
		state, err = f.registry.Read(ctx)
		return state, nil, err
	}
	type answer struct {
		state registry.State
		err   error
	}
	answers := make(chan answer, int(callTimeout/firstReadEvery)+1)
	views := make(chan peerView)
	ticker := time.NewTicker(firstReadEvery)
	defer ticker.Stop()
	read := func() {
		s, err := f.registry.Read(ctx)
		answers <- answer{s, err}
	}
	go read()
	for {
		select {
		case a := <-answers:
			return a.state, nil, a.err
		case v := <-views:
			return registry.State{}, &v, nil
		case address := <-f.hints:
			go f.askMeanwhile(ctx, address, views)
		case <-ticker.C:
			go read()
		case <-ctx.Done():
			return registry.State{}, nil, ctx.Err()
		}
	}
}

func (f *Follower) failed(err error) {
	f.failedAt = time.Now()
	if !f.away {
		f.away, f.outage, f.lostAt = true, true, time.Now()
		f.log.Warn("registry_lost", "error", err.Error(), "revision", f.state.Revision)
	}
	most := maxRetry
	if f.Serving() {
		most = max(most, f.maxAge())
	}
	f.pause = min(max(firstRetry, 2*f.pause), most)
	f.next = time.Now().Add(f.pause + rand.N(firstRetry))
}
