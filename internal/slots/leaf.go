package slots

import (
	"strings"
	"time"

	"cyclamenstream/api/backend"
)

// leafState is one leaf. Its fields are guarded by the service's lock.
type leafState struct {
	vm, zone, bootID string
	session          any
	epoch            uint64 // counts sessions and boot identifiers
	connected        bool
	draining         bool
	forgotten        bool
	handedOver       bool // limit and boot identifier come from a handover
	ramp             ramp
	coldUntil        time.Time // answers before do not raise the limit
	latency          latencyEstimate
	lastGrantAt      time.Time // of the last grant
	grants           []*Grant  // slots in use
	reservedFor      *Waiter   // waits until the leaf is empty, to run alone
	runsAlone        bool
}

func (l *leafState) compareVM(vm string) int { return strings.Compare(l.vm, vm) }

func (l *leafState) add(g *Grant) {
	g.index = len(l.grants)
	l.grants = append(l.grants, g)
}

func (l *leafState) remove(g *Grant) {
	last := len(l.grants) - 1
	l.grants[g.index] = l.grants[last]
	l.grants[g.index].index = g.index
	l.grants[last] = nil
	l.grants = l.grants[:last]
}

func (l *leafState) freeSlots() int { return l.ramp.limit - len(l.grants) }

func (l *leafState) usable() bool {
	return l.connected && !l.draining && !l.runsAlone && l.freeSlots() > 0
}

// idleTime without a call halves a leaf's cost. A leaf that was slow for a time is tried again, and a cold one gets some
// calls, even when the other leaves suffice.
const idleTime = time.Second

// cost ranks the leaf among those with a free slot: its mean latency, up to doubled by the share of its slots in use.
// Latency has the round trip in it, so that near leaves are preferred while they have slots to spare.
func (l *leafState) cost(now time.Time, typical time.Duration) time.Duration {
	mean := l.latency.mean
	if mean == 0 {
		mean = normalFactor * typical
	}
	if len(l.grants) > 0 {
		return mean + mean*time.Duration(len(l.grants))/time.Duration(l.ramp.limit)
	}
	return time.Duration(float64(mean) / (1 + now.Sub(l.lastGrantAt).Seconds()/idleTime.Seconds()))
}

func (l *leafState) busyFor(now time.Time) []time.Duration {
	var busy []time.Duration
	for _, g := range l.grants {
		left := g.stopsBy.Sub(now)
		if g.unresponsive { // the next owner cannot know when the leaf goes on
			left = g.timeout + backend.EndGrace
		}
		busy = append(busy, max(left, 0))
	}
	return busy
}
