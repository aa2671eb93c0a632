package admission

import (
	"math"
	"time"
)

const (
	// onsetTime is how long pressure must last until requests are held back. Leaves pause for up to 250 ms.
	onsetTime = 300 * time.Millisecond
	// calmTime is how long no request must have been held back, or the pressure must have been 0, until a gate opens, and how
	// long a class counts as crowded.
	calmTime = time.Second
	// rateMemory is the time over which completions are averaged.
	rateMemory = time.Second
	// minPerSecond keeps a node without recent completions sending, so that it learns of room.
	minPerSecond = 1
	// equalShare is the weight of the equal part in the rate. Without it the parts of the nodes would drift apart, since each node
	// keeps what it has by chance.
	equalShare = 0.3
	// burstTime is the time over which unused room adds up.
	burstTime = 200 * time.Millisecond
	// maxGrowth bounds the rate as a multiple of that of completions, and minShrink is the smallest multiple under pressure.
	maxGrowth = 2.0
	minShrink = 0.25
	// shrinkage is by how much the multiple falls for each acceptable wait above the first. The queues at the leaves drain
	// over several statements rather than at once, since the statements are late.
	shrinkage = 0.25
	// crowdedShare is the share of refused requests above which a class stays crowded, averaged over refusedSmoothing requests.
	crowdedShare     = 0.1
	refusedSmoothing = 32
	// tolerance covers the rounding of sums of tokens.
	tolerance = 1e-6
)

// gate limits the rate of requests to one resource while it is closed. The rate follows that of completions: while leaves are
// saturated, it is this node's part of the capacity.
type gate struct {
	name      string
	completed rateMeter
	// equalPart is this node's part of the capacity in requests/s if all advertised nodes have the same, or 0 if it is not known.
	equalPart float64
	// floor is the smallest rate.
	floor float64
	// pressure is the expected wait relative to the acceptable one. pressedSince is when it exceeded 1, or zero.
	pressure     float64
	pressedSince time.Time
	// idleSince is when the pressure fell to 0, or zero.
	idleSince time.Time
	closed    bool
	// tokens is the room for requests at the time at, and perSecond the rate at which more appears.
	tokens, perSecond float64
	at                time.Time
	burst             float64
	// heldBackAt is when a request was last held back by this gate.
	heldBackAt time.Time
	// crowdedUntil is until when the requests of a class are known not to be all served in time.
	crowdedUntil [priorities]time.Time
	// refused is the share of the latest requests of each class that were refused.
	refused [priorities]float64
	// returnsAt is the latest time at which refused callers of each class return.
	returnsAt [priorities]time.Time
}

// update adopts a pressure and reports whether the gate has closed or opened.
func (g *gate) update(pressure float64, now time.Time) bool {
	unknown := now.Sub(g.at) > staleTime // what was between two statements far apart
	g.accrue(now)
	g.pressure = pressure
	g.perSecond = g.rate()
	switch {
	case pressure <= 1:
		g.pressedSince = time.Time{}
	case g.pressedSince.IsZero() || unknown:
		g.pressedSince = now
	}
	switch {
	case pressure > 0:
		g.idleSince = time.Time{}
	case g.idleSince.IsZero() || unknown:
		g.idleSince = now
	}
	before := g.closed
	switch {
	case g.closed:
		idle := !g.idleSince.IsZero() && now.Sub(g.idleSince) >= calmTime // requests that are held back are no sign of a shortage then
		g.closed = pressure > 1 || now.Sub(g.heldBackAt) < calmTime && !idle
	case pressure > 1 && now.Sub(g.pressedSince) >= onsetTime:
		g.closed, g.tokens, g.heldBackAt = true, 1, now
	}
	return g.closed != before
}

// rate returns the number of requests a second that the gate is to let pass at present.
func (g *gate) rate() float64 {
	factor := min(maxGrowth, 1+2*(1-g.pressure))
	if g.pressure > 1 {
		factor = max(minShrink, 1-shrinkage*(g.pressure-1))
	}
	base := g.completed.perSecond(g.at)
	if g.equalPart > 0 {
		base += equalShare * (g.equalPart - base)
	}
	return max(g.floor, minPerSecond+factor*base)
}

// accrue adds the room that has appeared since the last call.
func (g *gate) accrue(now time.Time) {
	elapsed := max(0, now.Sub(g.at))
	g.at = now
	if g.closed && elapsed > 0 {
		g.perSecond = g.rate()
		g.tokens = min(g.tokens+g.perSecond*elapsed.Seconds(), max(1, g.burst)+g.perSecond*burstTime.Seconds())
	}
}

// wait returns the time until there is room for a request of the given cost behind others, or 0 if there is room now.
func (g *gate) wait(cost, ahead float64, now time.Time) time.Duration {
	g.burst = max(g.burst, cost)
	g.accrue(now)
	missing := cost + ahead - g.tokens
	if missing <= tolerance {
		return 0
	}
	return max(time.Microsecond, time.Duration(missing/g.perSecond*float64(time.Second)))
}

// pass takes the room for a request of the class.
func (g *gate) pass(cost float64, class int) {
	g.tokens -= cost
	g.refused[class] -= g.refused[class] / refusedSmoothing
}

// refuse records that a request of the class was refused. A few refusals, such as of requests that arrive close to each other,
// do not make a class crowded.
func (g *gate) refuse(class int, now time.Time) {
	g.refused[class] += (1 - g.refused[class]) / refusedSmoothing
	if g.refused[class] > crowdedShare {
		g.crowdedUntil[class] = now.Add(calmTime)
	}
}

// interval returns the time in which room for one more request of the given cost appears.
func (g *gate) interval(cost float64) time.Duration {
	return time.Duration(cost / g.perSecond * float64(time.Second))
}

func (g *gate) crowded(class int, now time.Time) bool { return now.Before(g.crowdedUntil[class]) }

// rateMeter measures the rate of events, with the weight of each falling exponentially.
type rateMeter struct {
	weight float64
	at     time.Time
}

func (m *rateMeter) add(n float64, now time.Time) {
	m.weight, m.at = m.decayed(now)+n, now
}

func (m *rateMeter) decayed(now time.Time) float64 {
	return m.weight * math.Exp(-max(0, now.Sub(m.at).Seconds())/rateMemory.Seconds())
}

func (m *rateMeter) perSecond(now time.Time) float64 { return m.decayed(now) / rateMemory.Seconds() }
