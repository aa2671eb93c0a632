package slots

import (
	"strings"
	"time"

	"cyclamenstream/api/backend"
)

// leafState is the state of one leaf. Its fields are guarded by the service's lock.
type leafState struct {
	vm, zone, bootID string
	session          any
	epoch            uint64 // counts changes of the session and the boot identifier
	connected        bool
	draining         bool
	forgotten        bool
	handedOver       bool // limit and boot identifier come from a handover
	ramp             ramp
	coldUntil        time.Time // answers before this time do not raise the limit
	latency          latencyEstimate
	lastGrantAt      time.Time
	grants           []*Grant // slots in use
	reservedFor      *Waiter  // waits until the leaf is empty, to run alone on it
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

// idleTime is the time without a call after which a leaf's cost is halved. Thus a leaf that was slow for a time is
// tried again, and a cold one gets some calls, even if the other leaves have enough free slots.
const idleTime = time.Second

// cost ranks the leaf among those with a free slot. It is the mean latency times one plus the share of its slots in
// use. The latency includes the round trip, so nearby leaves are preferred while they have free slots.
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
		if g.unresponsive { // the next owner cannot know when the leaf resumes
			left = g.timeout + backend.EndGrace
		}
		busy = append(busy, max(left, 0))
	}
	return busy
}
