package gather

import (
	"time"

	"cyclamenstream/internal/decision"
)

const (
	// minArrivedShare is the share of the parts of a gathered answer that must be in before one of the others is hedged.
	// Whatever delays most parts, such as a pause of this node, would delay the hedges too. A single part is hedged alone.
	minArrivedShare = 0.5
	// lastChanceFactor is the time that an overdue answer leaves for a hedge, as a multiple of the latency expected of the
	// hedge. Many answers take longer than expected.
	lastChanceFactor = 2
)

// prospects decides on a hedge to a service whose leaves state their speed.
type prospects struct {
	// left is the expected time until the leaf of the latest send answers, and overdue is set if it should have answered.
	left    time.Duration
	overdue bool
	// untilCutoff is the time until the answer to the caller must leave.
	untilCutoff time.Duration
	// alternative is the expected latency of the best other leaf, or 0 without one.
	alternative time.Duration
}

// hedgeLimit returns the expected latency up to which a hedge helps at present, or 0 if none does. A hedge helps if the
// answer is expected too late and the other leaf is faster, or if the answer is overdue and the other leaf will soon be too
// late as well.
func (p prospects) hedgeLimit() time.Duration {
	limit := time.Duration(0)
	switch {
	case p.left > p.untilCutoff:
		limit = p.left
	case p.overdue && p.untilCutoff < lastChanceFactor*p.alternative+minHedgeDelay:
		limit = p.untilCutoff
	}
	if p.alternative == 0 || p.alternative > limit {
		return 0
	}
	return limit
}

// hedgeHelps reports whether to try a hedge now. It sets hedgeLimit.
func (f *fetch) hedgeHelps() bool {
	progress, known := f.latest.Progress()
	if !known {
		return true
	}
	if parts := len(f.route.Gather); parts > 1 && float64(f.arrived.Load()) < minArrivedShare*float64(parts) {
		return false
	}
	untilCutoff := time.Duration(0) // without a target the earliest answer is the best one
	if f.route.Target > 0 {
		untilCutoff = time.Until(f.cutoff())
	}
	f.hedgeLimit = prospects{left: progress.Left, overdue: progress.Overdue, untilCutoff: untilCutoff,
		alternative: f.dispatcher.Pool.ExpectedLatency(f.criteria())}.hedgeLimit()
	if f.hedgeLimit == 0 && !f.hedgePostponed {
		f.hedgePostponed = true
		f.trace.Add(decision.Step{Event: "hedge", Service: f.service, InputName: "left_ms", Input: decision.Millis(progress.Left), Outcome: "would not help yet"})
	}
	return f.hedgeLimit > 0
}

// expectedLate reports whether the latest send is known to be too slow already.
func (f *fetch) expectedLate() bool {
	progress, known := f.latest.Progress()
	return known && f.route.Target > 0 && progress.Left > time.Until(f.cutoff())
}
