package direct

import (
	"cmp"
	"time"
)

const (
	// otherRegionCost is how much earlier a leaf of another region must be expected to finish than one of this node's own
	// region to be chosen. Bytes between regions are the highest cost, and they are spent for certain, while a gain of less
	// than a quarter of the shortest target latency seldom decides whether an answer is in time.
	otherRegionCost = 20 * time.Millisecond
	// nearEqual is the share of the expected time by which random numbers make leaves differ, so that nodes which know the
	// same do not all choose the same leaf.
	nearEqual = 0.1
	// maxQueue bounds the requests of other nodes in front, as a multiple of a leaf's slots. A longer queue is not worked off
	// before any deadline, or is stated wrongly, and would keep requests away for long after it has gone.
	maxQueue = 64
	// minWork is the shortest working time that is told from the error of an estimated round-trip time.
	minWork = sameZoneRTT
)

// expectation holds what predicts when a leaf that states its speed finishes a request.
type expectation struct {
	// work is the usual working time of the service, and own that of the leaf.
	work *usualWork
	own  workTime
	// slowness is the multiple of the usual working time that the leaf states.
	slowness     agedFigure
	misstatement misstatement
	// others is the number of requests of other nodes at the leaf.
	others agedFigure
	// answeredAt is when the leaf has answered last.
	answeredAt time.Time
}

func newExpectation(w *usualWork, otherRegion bool) expectation {
	e := expectation{work: w, slowness: agedFigure{usual: 1}, misstatement: misstatement{ratio: agedFigure{idle: misstatementHalfLife}}}
	if otherRegion {
		e.slowness.idle = otherRegionIdleHalfLife
	}
	return e
}

// stated reports whether the leaf has stated its speed.
func (e *expectation) stated() bool { return !e.slowness.at.IsZero() }

// recordSpeed adopts what the leaf states in an answer that took d, if it states its speed.
func (l *leafState) recordSpeed(o Outcome, d time.Duration, now time.Time) {
	e := &l.expectation
	if o.Load.Speed > 0 {
		e.slowness.set(1/o.Load.Speed, now)
	}
	if !e.stated() {
		return
	}
	e.answeredAt = now
	rtt := l.rtt.estimate()
	others := max(0, o.Load.Running+o.Load.Waiting-l.sentBefore(now.Add(-rtt)))
	e.others.set(min(float64(others), maxQueue*l.slots()), now)
	if o.Kind == Answered && o.Load.Waiting == 0 && d > rtt { // without a wait for a slot
		e.learn(max(d-rtt, minWork), now)
		e.misstatement.report(l, now)
	}
}

// slots returns the number of requests that the leaf runs at the same time.
func (l *leafState) slots() float64 { return float64(max(1, cmp.Or(l.load.Slots, l.leaf.Slots))) }

// sentBefore returns the number of unanswered requests of this node that were sent by the given time. A statement that has
// arrived now includes those that were sent a round trip ago.
func (l *leafState) sentBefore(at time.Time) int {
	n := 0
	for n < len(l.running) && !l.running[n].started.After(at) {
		n++
	}
	return n
}

// learn records a measured working time. That of a leaf that states to be faster than usual counts as it is, so that a wrong
// statement does not make the usual time seem long.
func (e *expectation) learn(measured time.Duration, now time.Time) {
	slowness := e.slowness.estimate(now, 0)
	e.own.record(time.Duration(float64(measured) / max(1, slowness)))
	e.misstatement.record(float64(measured)/(float64(e.work.expected())*slowness), now)
}

// slownessFactor returns the expected multiple of the usual working time.
func (e *expectation) slownessFactor(now time.Time, rtt time.Duration) float64 {
	return e.slowness.estimate(now, rtt/2) * e.misstatement.correction(now)
}

// expectedFinish returns the time until the answer to the next request on a connection at hand: the way there and back, the
// wait for a slot, the work, and what remains of a pause of the leaf.
func (l *leafState) expectedFinish(now time.Time) time.Duration {
	e, rtt, slots := &l.expectation, l.rtt.estimate(), l.slots()
	front := min(e.others.estimate(now, rtt/2), maxQueue*slots) + float64(len(l.running))
	work := float64(e.work.expected()) * e.slownessFactor(now, rtt)
	work *= 1 + max(0, front/slots-slowdownThreshold)
	wait := work * max(0, front+1-slots) / slots
	return max(rtt+time.Duration(work+wait), stallWeight*l.silence(now))
}

// connectionDelay returns the time to open a connection to a leaf that states its speed, or 0 if there is one at hand.
func (l *leafState) connectionDelay() time.Duration {
	if connected := l.pool.config.Connected; connected == nil || !l.expectation.stated() || connected(l.leaf) {
		return 0
	}
	return l.rtt.estimate()
}

// statedBaseLatency returns the latency without queueing at a leaf that has stated its speed.
func (l *leafState) statedBaseLatency(now time.Time) time.Duration {
	e, rtt := &l.expectation, l.rtt.estimate()
	return rtt + time.Duration(float64(e.work.expected())*e.slownessFactor(now, rtt))
}

// silence returns for how long the leaf has answered nothing, if that is clearly longer than its oldest request should
// take, or else 0.
func (l *leafState) silence(now time.Time) time.Duration {
	if len(l.running) == 0 {
		return 0
	}
	oldest, since := l.running[0], l.running[0].started
	if l.expectation.answeredAt.After(since) {
		since = l.expectation.answeredAt
	}
	if silent := now.Sub(since); silent > stallFactor*oldest.base+stallSlack {
		return silent
	}
	return 0
}

// cost returns what decides between the leaves of a service: the expected time, and the cost of bytes between regions if
// the leaf states its speed.
func (l *leafState) cost(expected time.Duration) time.Duration {
	if !l.expectation.stated() {
		return expected
	}
	cost := expected + time.Duration(nearEqual*l.pool.config.Random()*float64(expected))
	if l.otherRegion {
		cost += otherRegionCost
	}
	return cost
}
