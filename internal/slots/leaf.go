package slots

import (
	"strings"
	"time"

	"cyclamenstream/api/backend"
)

// leafState is one leaf. Its fields are guarded by the service's lock.
type leafState struct {
	vm, zone, bootID string
	conn             any
	epoch            uint64 // counts sessions and boot identifiers
	connected        bool
	draining         bool
	forgotten        bool
	handedOver       bool // limit and boot identifier come from a handover
	ramp             ramp
	coldUntil        time.Time // answers before do not raise the limit
	latency          latency
	grants           []*Grant // slots in use
	reserved         *Waiter  // waits until the leaf is empty, to run alone
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

func (l *leafState) free() int { return l.ramp.limit - len(l.grants) }

func (l *leafState) usable() bool {
	return l.connected && !l.draining && !l.runsAlone && l.free() > 0
}

func (l *leafState) busyFor(now time.Time) []time.Duration {
	var busy []time.Duration
	for _, g := range l.grants {
		left := g.until.Sub(now)
		if g.silent { // the next owner cannot know when the leaf goes on
			left = g.timeout + backend.EndGrace
		}
		busy = append(busy, max(left, 0))
	}
	return busy
}
