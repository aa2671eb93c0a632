package follow

import (
	"context"
	"math"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/internal/decision"
)

const (
	// viewTimeout bounds the wait for another node's view, its connection included.
	viewTimeout = 400 * time.Millisecond
	// viewRequestInterval is the time between two requests for views. A node sends them while its reads of the registry
	// fail and no notice has confirmed its state for viewRequestAge read intervals.
	viewRequestInterval = time.Second
	viewRequestAge      = 2
)

// peerView is the view of the node that listens for its peers at address.
type peerView struct {
	cluster.View
	address string
}

// View returns this node's view for another node. ok is false while this node has no state. In that case it requests
// the view of the other node if that one has a state. Nodes that cannot read the registry send requests to each other
// in turn, so a node that starts during an outage gets a view this way.
func (f *Follower) View(request cluster.ViewRequest) (v cluster.View, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasState {
		if request.Digest != 0 {
			select {
			case f.viewHints <- request.Address:
			default: // a request to another node is already pending
			}
		}
		return v, false
	}
	v = cluster.View{State: f.state, Same: digest(f.state) == request.Digest, Confirmed: !f.confirmed.IsZero()}
	if v.Confirmed {
		v.Age = f.sinceConfirmed()
	}
	return v, true
}

// Age returns how long ago this node's state was known to be the newest, or the longest time if it never was. It counts the time
// for which the VM was suspended, also before checkPause has noticed that.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return math.MaxInt64
	}
	return f.sinceConfirmed()
}

// sinceConfirmed returns the time since the state was confirmed, by whichever clock has advanced more. The monotonic clock stops
// while the VM is suspended, and the wall clock might be set back.
func (f *Follower) sinceConfirmed() time.Duration {
	return max(time.Since(f.confirmed), f.wallClock().Sub(f.confirmed))
}

// wallClock returns the time without a monotonic reading.
func wallClock() time.Time { return time.Now().Round(0) }

// refused reports whether this node cannot read the registry although other nodes can.
func (f *Follower) refused() bool { return f.failing && !f.outage && f.lastFailure.After(f.outageEnd) }

// requestView requests the view of the next peer, since this node cannot read the registry. It reports whether the
// state is now certain to be the newest. Nodes of different ranks ask different peers at a time, so that no peer gets
// many requests at once.
func (f *Follower) requestView(ctx context.Context) bool {
	addresses := f.peerAddresses()
	if len(addresses) == 0 {
		return false
	}
	f.viewRequests++
	return f.fetchView(ctx, addresses[(f.rank()+f.viewRequests)%len(addresses)])
}

// fetchViewAsync requests a node's view and sends it to views unless ctx ends.
func (f *Follower) fetchViewAsync(ctx context.Context, address string, views chan<- peerView) {
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

// fetchView requests and applies a node's view. It reports whether the state is now certain to be the newest.
func (f *Follower) fetchView(ctx context.Context, address string) bool {
	fetchCtx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	began := time.Now()
	request := cluster.ViewRequest{ConfigVersion: configVersion(f.state), Address: f.config.Address}
	if f.hasState {
		request.Digest = digest(f.state)
	}
	v, err := f.views.Fetch(fetchCtx, address, request)
	f.lastTick = time.Now() // the wait for the answer does not count as a pause
	if err != nil {
		f.log.Info("view_fetch", "address", address, "error", err.Error())
		return false
	}
	return f.applyView(v, began, address)
}

// applyView installs another node's view, requested at began, if it is newer than the current state. It reports whether
// the view is confirmed and the state is known to have been the newest within the last read interval.
func (f *Follower) applyView(v cluster.View, began time.Time, address string) bool {
	confirmed := began.Add(-v.Age)
	if v.Confirmed && confirmed.After(f.firstFailure) {
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
	case !f.hasState || older(f.state.Epoch, f.state.Revision, v.State):
		f.log.Info("view_fetch", "address", address, "revision", v.State.Revision, "known", f.state.Revision,
			"confirmed", v.Confirmed, "age_ms", decision.Millis(v.Age))
		f.install(v.State, confirmed, "view of "+address)
	case configVersion(v.State) > configVersion(f.state):
		next := f.state
		next.Table = v.State.Table
		f.setState(next, "view of "+address)
	}
	return v.Confirmed && time.Since(f.confirmed) < f.config.Interval
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
