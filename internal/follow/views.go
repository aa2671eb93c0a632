package follow

import (
	"context"
	"slices"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/internal/decision"
)

// viewTimeout bounds the wait for another node's view, its connection included.
const viewTimeout = 400 * time.Millisecond

// peerView is the view of the node that listens for its peers at address.
type peerView struct {
	cluster.View
	address string
}

// View returns what this node knows, for a node that knows something already; ok is false while this node knows nothing.
func (f *Follower) View(known cluster.Known) (v cluster.View, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return v, false
	}
	v = cluster.View{State: f.state, Same: digest(f.state) == known.Digest, Confirmed: !f.confirmed.IsZero()}
	if v.Confirmed {
		v.Age = time.Since(f.confirmed)
	}
	return v, true
}

// ask asks the next node for its view, since the registry does not answer this one.
func (f *Follower) ask(ctx context.Context) {
	if address, ok := f.nextPeer(); ok {
		f.fetchView(ctx, address)
	}
}

// askMeanwhile asks the next node without waiting for its answer.
func (f *Follower) askMeanwhile(ctx context.Context, views chan<- peerView) {
	address, ok := f.nextPeer()
	if !ok {
		return
	}
	go func() {
		// A node that does not answer is of no concern: the registry may, and further nodes are asked.
		if v, err := f.views.Fetch(ctx, address, cluster.Known{}); err == nil {
			views <- peerView{v, address}
		}
	}()
}

// nextPeer returns the address of another node, of each in turn.
func (f *Follower) nextPeer() (string, bool) {
	addresses := f.addresses()
	for _, s := range f.config.Seeds {
		if s != f.config.Address && !slices.Contains(addresses, s) {
			addresses = append(addresses, s)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	f.asked++
	return addresses[f.asked%len(addresses)], true
}

// fetchView asks a node for its view and reports whether that one is certain.
func (f *Follower) fetchView(ctx context.Context, address string) bool {
	call, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	began := time.Now()
	known := cluster.Known{ConfigVersion: version(f.state)}
	if f.known {
		known.Digest = digest(f.state)
	}
	v, err := f.views.Fetch(call, address, known)
	f.lastTick = time.Now() // waiting for the answer is no pause
	if err != nil {
		f.log.Info("view_fetch", "address", address, "error", err.Error())
		return false
	}
	return f.takeView(v, began, address)
}

// takeView makes another node's view, asked for at began, the present one if it is newer, and reports whether the state is
// known to have been the newest of late.
func (f *Follower) takeView(v cluster.View, began time.Time, address string) bool {
	confirmed := began.Add(-v.Age)
	if v.Confirmed && confirmed.After(f.lostAt) {
		f.endOutage(time.Now())
	}
	if !v.Confirmed {
		confirmed = f.confirmed
	}
	if v.State.Table == nil {
		v.State.Table = f.state.Table
	}
	switch {
	case v.Same:
		f.confirm(later(f.confirmed, confirmed))
	case v.State.Revision > f.state.Revision || !f.known:
		f.log.Info("view_fetch", "address", address, "revision", v.State.Revision, "known", f.state.Revision,
			"confirmed", v.Confirmed, "age_ms", decision.Millis(v.Age))
		f.install(v.State, confirmed, "view of "+address)
	}
	return v.Confirmed && time.Since(f.confirmed) < f.config.Interval
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
