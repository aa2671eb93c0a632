package slots

import "time"

const (
	// stepAnswers is the number of answers at normal latency after which a ramping leaf gets one more slot.
	stepAnswers = 8
	// normalFactor times the service's typical latency still counts as normal.
	normalFactor = 3
	// normalWeight is how much more an answer at normal latency counts than a slow one. A leaf that is always slower
	// than the others therefore ramps up too, but eight times slower.
	normalWeight = 8
	// unsettledWeight counts in the first step until the leaf's latency has settled: 32 answers. A second call on a leaf
	// that is still cold may crash it, and cold latencies look normal when all leaves are cold.
	unsettledWeight = 2
	// riseFactor times the leaf's mean latency in the step before is an abnormal rise.
	riseFactor = 3
	// riseAnswers is the number of abnormal answers in one step that reduces the limit: single stragglers do not.
	riseAnswers = 3
)

// ramp is the limit of a leaf, which grows from ColdSlots to Slots.
type ramp struct {
	limit        int
	progress     int // weighted answers in this step
	slowAnswers  int // abnormal answers in this step
	answers      int
	latencySum   time.Duration // of the latencies in this step
	previousMean time.Duration // mean latency in the step before; 0 if unknown
}

// reset sets the limit and forgets what is known of latencies.
func (r *ramp) reset(limit int) { *r = ramp{limit: limit} }

// reduce takes one slot away, down to cold.
func (r *ramp) reduce(cold int) { *r = ramp{limit: max(r.limit-1, cold), previousMean: r.previousMean} }

// recordAnswer counts a successful answer and reports whether the limit has reached limits.Slots with it. Settled says that
// the leaf's latency is that of a warm leaf.
func (r *ramp) recordAnswer(latency, typical time.Duration, settled bool, limits Limits) bool {
	if r.limit >= limits.Slots {
		return false
	}
	if r.detectRise(latency, limits) {
		return false
	}
	r.answers++
	r.latencySum += latency
	r.progress += r.weight(latency, typical, settled, limits)
	if r.progress < stepAnswers*normalWeight {
		return false
	}
	*r = ramp{limit: r.limit + 1, previousMean: r.latencySum / time.Duration(r.answers)}
	return r.limit >= limits.Slots
}

// weight returns how much an answer counts.
func (r *ramp) weight(latency, typical time.Duration, settled bool, limits Limits) int {
	switch {
	case typical > 0 && latency > normalFactor*typical:
		return 1
	case r.limit <= limits.ColdSlots && !settled:
		return unsettledWeight
	}
	return normalWeight
}

// detectRise reports whether the latency of a ramping leaf has risen abnormally, and reduces the limit when that repeats.
func (r *ramp) detectRise(latency time.Duration, limits Limits) bool {
	if r.limit >= limits.Slots || r.previousMean == 0 || latency <= riseFactor*r.previousMean {
		return false
	}
	if r.slowAnswers++; r.slowAnswers >= riseAnswers {
		r.reduce(limits.ColdSlots)
	}
	return true
}
