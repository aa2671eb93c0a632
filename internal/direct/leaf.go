package direct

import (
	"slices"
	"time"

	"cyclamenstream/api/exchange"
	"cyclamenstream/api/registry"
)

const (
	// defaultConnections applies to services that state no limit on connections.
	defaultConnections = 16
	// sampleCount is the number of most recent latencies whose median represents a leaf. Three slow answers are enough
	// to change it.
	sampleCount = 5
	// sampleTTL is the age after which the latencies of a leaf are ignored, so that a slow leaf is tried again.
	sampleTTL = 3 * time.Second
	// initialProcessing is the processing time assumed for a service before its first answer.
	initialProcessing = 10 * time.Millisecond
	// processingSmoothing is the number of answers over which a service's usual processing time is averaged.
	// slowProcessingSmoothing applies to leaves that are clearly slower.
	processingSmoothing     = 20
	slowProcessingSmoothing = 500
	// An unanswered request is a sign of a stalled leaf once it is older than stallFactor times the base latency plus
	// stallSlack.
	stallFactor = 2
	stallSlack  = 5 * time.Millisecond
	// stallWeight scales the age of such a request to the expected latency of the next one.
	stallWeight = 4
	// failurePenalty is the latency added to the expected latency of a leaf if all its requests fail.
	failurePenalty = 300 * time.Millisecond
	// failureWeight is the weight of the latest request in the share of failures.
	failureWeight = 0.2
	// failureHalfLife is the time in which the share of failures halves while no request fails.
	failureHalfLife = 2 * time.Second
	// initialBackoff is how long a leaf is avoided after a request to it got no answer. It doubles up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// outlierFactor is the ratio, in either direction, between a leaf's median and the latency expected of its service
	// beyond which the leaf's own median is used. Below it the few samples of a median are not significant.
	outlierFactor = 1.7
	// slowdownThreshold is the share of slots in use above which leaves slow down.
	slowdownThreshold = 0.5
	tieBreak          = 0.01
	// maxReturnDelay is the longest time after which callers are told to retry. They do not wait much longer.
	maxReturnDelay = time.Second
	// loadReportTTL is how long a load report of a leaf is used.
	loadReportTTL = 100 * time.Millisecond
)

// Outcome is the result of a request to a leaf.
type Outcome struct {
	Kind Kind
	// Load is the leaf's own report, if there was one.
	Load *exchange.Load
	// RateLimit is the limit that the leaf has stated, as in exchange.Reply.
	RateLimit *float64
	// Leaving and Pause are as in exchange.Reply.
	Leaving bool
	Pause   time.Duration
	// Absent is set if nothing listens at the leaf's address.
	Absent bool
	// RequestID names the request in the log.
	RequestID string
}

// Kind says how a request to a leaf ended.
type Kind int

// The kinds of outcomes.
const (
	// Answered means that the leaf returned a signed answer of success.
	Answered Kind = iota
	// Failed means that the leaf returned a failure or an unusable answer.
	Failed
	// Refused means that the leaf refused the request and did not run it.
	Refused
	// Broken means that the exchange ended without an answer.
	Broken
	// Replaced means that another server was found at the leaf's address.
	Replaced
	// Stale means that the leaf had closed the idle connection before the request was sent on it. It says nothing about
	// the leaf's health.
	Stale
	// Abandoned means that the request was given up before the leaf answered.
	Abandoned
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	return [...]string{"answered", "failed", "refused", "broken", "replaced", "stale", "abandoned"}[k]
}

// leafState is what this node knows about one boot of a leaf.
type leafState struct {
	leaf registry.Leaf
	// otherRegion is set if the leaf is in another region than this node.
	otherRegion bool
	rtt         *zoneRTT
	pool        *Pool
	connections int
	running     []*Ticket
	cold        coldLimiter
	rateLimit   rateLimit
	// replaced is set once another server was found at the leaf's address.
	replaced bool
	signals  signals

	latencies []time.Duration // most recent ones, at most sampleCount
	median    time.Duration
	sampledAt time.Time

	failures     float64 // share of recent requests that failed, 0 to 1
	failedAt     time.Time
	backoff      time.Duration
	backoffUntil time.Time

	load        statement
	expectation expectation
}

func newLeafState(l registry.Leaf, p *Pool, now time.Time) *leafState {
	state := &leafState{leaf: l, pool: p, cold: coldLimiter{until: now.Add(l.WarmupLeft)},
		otherRegion: p.config.inOtherRegion(l), rtt: p.rtts.of(l.Zone)}
	state.signals.leaf = state
	state.rateLimit = newRateLimit(state, p.config.Log)
	return state
}

func (l *leafState) matches(o registry.Leaf) bool {
	return l.leaf.ID == o.ID && l.leaf.Boot == o.Boot && l.leaf.Address == o.Address
}

// update adopts the registry's entry of the same boot. A leaf may become cold again without a restart.
func (l *leafState) update(entry registry.Leaf, now time.Time) {
	if entry.Revision != l.leaf.Revision && entry.WarmupLeft > 0 {
		l.cold.until = now.Add(entry.WarmupLeft)
	}
	l.leaf, l.otherRegion, l.rtt = entry, l.pool.config.inOtherRegion(entry), l.pool.rtts.of(entry.Zone)
}

// rank orders the leaves of a service: leaves in backoff come last, before them those known to be too slow for the request,
// then the cost decides.
type rank struct {
	inBackoff, tooSlow bool
	expected, cost     time.Duration
}

func (r rank) before(o rank) bool {
	if r.inBackoff != o.inBackoff {
		return o.inBackoff
	}
	if r.tooSlow != o.tooSlow {
		return o.tooSlow
	}
	return r.cost < o.cost
}

// delayed returns the rank if the answer arrives later by d.
func (r rank) delayed(d time.Duration) rank {
	r.expected, r.cost = r.expected+d, r.cost+d
	return r
}

// mayAccept reports whether the leaf's stated limit allows another request from this node. A leaf that states a limit
// gets no hedges.
func (l *leafState) mayAccept(p Purpose, now time.Time) bool {
	if l.rateLimit.stated() && p == Hedge {
		return false
	}
	return l.admissionDelay(now) <= 0
}

// admissionDelay returns the time until the leaf accepts a request from this node, by the limit and the pause that it
// has stated.
func (l *leafState) admissionDelay(now time.Time) time.Duration {
	return max(l.rateLimit.delay(now), l.signals.pausedUntil.Sub(now))
}

// rank returns the leaf's rank, and whether it can take another request from this node.
func (l *leafState) rank(now time.Time, processing time.Duration) (r rank, free bool) {
	// After a backoff has ended, one request at a time probes whether the leaf is usable again.
	probing := l.backoff > 0 && len(l.running) > 0
	expected := l.expectedLatency(now, processing)
	r = rank{inBackoff: now.Before(l.backoffUntil) || probing, expected: expected, cost: l.cost(expected)}
	return r, len(l.running) < l.connections && l.cold.allow(now)
}

// expectedLatency returns the latency that the next request would see.
func (l *leafState) expectedLatency(now time.Time, processing time.Duration) time.Duration {
	if l.expectation.stated() {
		return l.expectedFinish(now) + l.failureDelay(now)
	}
	base := l.baseLatency(now, processing)
	expected := base
	for _, t := range l.running {
		if age := now.Sub(t.started); age > stallFactor*base+stallSlack {
			expected = max(expected, stallWeight*age)
		}
	}
	expected += time.Duration(float64(base) * l.queueingFactor(now))
	return expected + l.failureDelay(now)
}

// failureDelay returns the part of the expected latency that stands for failures.
func (l *leafState) failureDelay(now time.Time) time.Duration {
	return time.Duration(l.failureShare(now) * float64(failurePenalty))
}

// queueingFactor returns the extra latency of the next request as a multiple of the base latency. It covers the wait
// for a slot and the slowdown of a leaf that is nearly full. A small random part breaks ties between leaves that are
// otherwise equal.
func (l *leafState) queueingFactor(now time.Time) float64 {
	slots := float64(max(1, l.leaf.Slots))
	running, waiting := float64(len(l.running)), 0.0
	if l.load.age(now) < loadReportTTL {
		running, waiting = max(running, float64(l.load.Running)), float64(l.load.Waiting)
	}
	waiting += max(0, running+1-slots)
	return waiting/slots + max(0, running/slots-slowdownThreshold) + tieBreak*(float64(len(l.running))+l.pool.config.Random())
}

// baseLatency returns the latency without queueing: the round-trip time plus the service's processing time, or the
// leaf's median if that is clearly different.
func (l *leafState) baseLatency(now time.Time, processing time.Duration) time.Duration {
	if l.expectation.stated() {
		return l.statedBaseLatency(now)
	}
	typical := l.rtt.estimate() + processing
	if l.sampledAt.IsZero() || now.Sub(l.sampledAt) > sampleTTL {
		return typical
	}
	if ratio := float64(l.median) / float64(typical); ratio < outlierFactor && ratio > 1/outlierFactor {
		return typical
	}
	return l.median
}

func (l *leafState) failureShare(now time.Time) float64 {
	if l.failures == 0 {
		return 0
	}
	sinceFailure := max(0, now.Sub(l.failedAt))
	return l.failures / (1 + float64(sinceFailure)/float64(failureHalfLife))
}

// record updates the state with the outcome of a request that took d. usual is what such a request takes unless the leaf has
// stalled.
func (l *leafState) record(o Outcome, d, usual time.Duration, now time.Time) {
	if o.Load != nil {
		l.load = statement{*o.Load, now}
		l.recordSpeed(o, d, now)
	}
	if o.RateLimit != nil {
		l.rateLimit.set(*o.RateLimit, now)
	}
	l.signals.record(o, now)
	switch o.Kind {
	case Answered:
		l.sampleOnce(d, now)
		l.failures *= 1 - failureWeight
		l.backoff, l.backoffUntil = 0, time.Time{}
	case Failed, Refused:
		l.recordFailure(now)
	case Broken:
		l.recordFailure(now)
		l.startBackoff(now)
		if o.Absent {
			l.cold.assumeUntil(now.Add(l.backoff + l.pool.config.EntryDelay))
		}
	case Abandoned:
		if d > stallFactor*usual+stallSlack {
			l.sampleOnce(d, now)
			l.startBackoff(now)
		}
	case Replaced:
		l.replaced = true
	}
}

// sampleOnce records a latency unless the request began before the last recorded one ended. Requests that wait for the
// end of the same pause are thus counted once. The latencies of a leaf that states its speed are not used.
func (l *leafState) sampleOnce(d time.Duration, now time.Time) {
	if l.expectation.stated() || now.Add(-d).Before(l.sampledAt) {
		return
	}
	l.sample(d, now)
}

func (l *leafState) sample(d time.Duration, now time.Time) {
	if len(l.latencies) == sampleCount {
		l.latencies = slices.Delete(l.latencies, 0, 1)
	}
	l.latencies = append(l.latencies, d)
	var sorted [sampleCount]time.Duration
	n := copy(sorted[:], l.latencies)
	slices.Sort(sorted[:n])
	l.median = sorted[n/2]
	l.sampledAt = now
}

func (l *leafState) recordFailure(now time.Time) {
	l.failures = l.failureShare(now)*(1-failureWeight) + failureWeight
	l.failedAt = now
}

func (l *leafState) startBackoff(now time.Time) {
	if now.Before(l.backoffUntil) {
		return
	}
	l.backoff = min(max(initialBackoff, 2*l.backoff), maxBackoff)
	l.backoffUntil = now.Add(l.backoff)
}
