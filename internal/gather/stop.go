package gather

import (
	"time"

	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/decision"
)

// A request is accepted during a planned stop if the remaining time is stopFactor times its expected latency, or
// stopFactorOnce times for one that must not run twice. Its caller could not find out whether it has run.
const (
	stopFactor     = 2
	stopFactorOnce = 4
)

// BeginStop makes the dispatcher refuse requests that are not likely to be answered by end, when CancelPending is called.
func (d *Dispatcher) BeginStop(end time.Time) { d.stopEnd.Store(&end) }

// stopErr returns an error if the node stops before the request is likely to be answered.
func (r *activeRequest) stopErr() error {
	end := r.dispatcher.stopEnd.Load()
	if end == nil || !r.deadline.After(*end) {
		return nil
	}
	remaining, needed := time.Until(*end), r.usualTime()
	if needed <= remaining {
		return nil
	}
	r.trace.Add(decision.Step{Event: "refuse", InputName: "stop_in_ms", Input: decision.Millis(remaining), Outcome: "the node stops before the answer"})
	return verdict.Refusef(verdict.CodeStopping, "this node stops before the request is likely to be answered")
}

// usualTime returns the time within which the request is answered unless something goes wrong.
func (r *activeRequest) usualTime() time.Duration {
	if len(r.route.Gather) > 0 && r.route.Target > 0 {
		return r.route.Target // an answer may be short
	}
	services := r.route.Gather
	if len(services) == 0 {
		services = []string{r.service}
	}
	expected := time.Duration(0)
	for _, service := range services {
		expected = max(expected, r.dispatcher.Pool.ExpectedLatency(r.criteria(service)))
	}
	if r.route.Idempotent {
		return stopFactor * expected
	}
	return max(stopFactorOnce*expected, r.route.Target)
}
