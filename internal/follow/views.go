package follow

import (
	"context"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/internal/decision"
)

const (
	// viewTimeout bounds the wait for another node's view, its connection included.
	viewTimeout = 400 * time.Millisecond
	// askInterval is the time between two questions while the registry does not answer and no notice has confirmed the state
	// for askAge intervals of reads.
	askInterval = time.Second
	askAge      = 2
)

// peerView is the view of the node that listens for its peers at address.
type peerView struct {
	cluster.View
	address string
}

// View returns what this node knows, for another node; ok is false while this node knows nothing. Then it asks the other node,
// if that one knows something: nodes that the registry does not answer ask each other in turn, so that one which starts meanwhile
// is found.
func (f *Follower) View(known cluster.ViewRequest) (v cluster.View, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		if known.Digest != 0 {
			select {
			case f.hints <- known.Address:
			default: // another node is asked already
			}
		}
		return v, false
	}
	v = cluster.View{State: f.state, Same: digest(f.state) == known.Digest, Confirmed: !f.confirmed.IsZero()}
	if v.Confirmed {
		v.Age = time.Since(f.confirmed)
	}
	return v, true
}

// refusedAlone reports whether the registry has not answered this node although it answers others.
func (f *Follower) refusedAlone() bool { return f.away && !f.outage && f.failedAt.After(f.returned) }

// ask asks the next one of the other nodes for its view, since the registry does not answer this one, and reports whether that
// one is certain. Nodes of different rank ask different ones at a time, so that none is asked by many.
func (f *Follower) ask(ctx context.Context) bool {
	addresses := f.addresses()
	if len(addresses) == 0 {
		return false
	}
	f.asked++
	return f.fetchView(ctx, addresses[(f.rank()+f.asked)%len(addresses)])
}

// askMeanwhile asks a node and hands over its view unless ctx ends.
func (f *Follower) askMeanwhile(ctx context.Context, address string, views chan<- peerView) {
	v, err := f.views.Fetch(ctx, address, cluster.ViewRequest{Address: f.config.Address})
	if err != nil {
		f.log.Info("view_fetch", "address", address, "error", err.Error())
		return
	}
	select {
	case views <- peerView{v, address}:
	case <-ctx.Done():
	}
}

// fetchView asks a node for its view and reports whether that one is certain.
func (f *Follower) fetchView(ctx context.Context, address string) bool {
	call, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	began := time.Now()
	known := cluster.ViewRequest{ConfigVersion: version(f.state), Address: f.config.Address}
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
