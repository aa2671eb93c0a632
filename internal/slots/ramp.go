package slots

import "time"

const (
	// stepAnswers is the number of answers at normal latency that raise the limit of a ramping leaf by one slot.
	stepAnswers = 8
	// normalFactor times the service's typical latency is the longest latency that counts as normal.
	normalFactor = 3
	// normalWeight is the weight of an answer at normal latency. A slow answer has weight 1, so a leaf that is always
	// slower than the others ramps up too, but eight times slower.
	normalWeight = 8
	// unsettledWeight is the weight of an answer in the first step while the leaf's latency has not settled. The step
	// then takes 32 answers. A second call on a leaf that is still cold may crash it, and cold latencies look normal
	// when all leaves are cold.
	unsettledWeight = 2
	// riseFactor times the leaf's mean latency in the previous step is the longest latency without an abnormal rise.
	riseFactor = 3
	// riseAnswers is the number of abnormally slow answers in one step that reduces the limit. Single stragglers do not
	// reduce it.
	riseAnswers = 3
)

// ramp is the limit of a leaf, which grows from ColdSlots to Slots.
type ramp struct {
	limit        int
	progress     int           // sum of the weights of the answers in this step
	slowAnswers  int           // abnormally slow answers in this step
	answers      int           // in this step
	latencySum   time.Duration // of the latencies in this step
	previousMean time.Duration // mean latency in the previous step; 0 if unknown
}

// reset sets the limit and discards what is known of earlier answers.
func (r *ramp) reset(limit int) { *r = ramp{limit: limit} }

// reduce lowers the limit by one slot, but not below cold.
func (r *ramp) reduce(cold int) { *r = ramp{limit: max(r.limit-1, cold), previousMean: r.previousMean} }

// recordAnswer counts a successful answer and reports whether it has raised the limit to limits.Slots. settled
// reports whether the leaf's latency is that of a warm leaf.
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

func (r *ramp) weight(latency, typical time.Duration, settled bool, limits Limits) int {
	switch {
	case typical > 0 && latency > normalFactor*typical:
		return 1
	case r.limit <= limits.ColdSlots && !settled:
		return unsettledWeight
	}
	return normalWeight
}

// detectRise reports whether the latency of a ramping leaf has risen abnormally. It reduces the limit when that happens
// riseAnswers times in a step.
func (r *ramp) detectRise(latency time.Duration, limits Limits) bool {
	if r.limit >= limits.Slots || r.previousMean == 0 || latency <= riseFactor*r.previousMean {
		return false
	}
	if r.slowAnswers++; r.slowAnswers >= riseAnswers {
		r.reduce(limits.ColdSlots)
	}
	return true
}
