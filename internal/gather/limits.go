package gather

import (
	"time"

	"cyclamenstream/api/exchange"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/direct"
)

// limitWaitShare is the share of the target latency, counted from the receipt of a request, within which leaves that
// have reached their stated limits must admit it. A request that they admit later is refused at once, since its answer
// would be late.
const limitWaitShare = 0.4

// exceedsLimitWait reports whether leaves that admit the request after the delay would admit it too late.
func (r *activeRequest) exceedsLimitWait(delay time.Duration) bool {
	if delay <= 0 {
		return false
	}
	end := r.deadline
	if r.route.Target > 0 {
		end = r.request.Received.Add(time.Duration(limitWaitShare * float64(r.route.Target)))
	}
	return !time.Now().Add(delay).Before(end)
}

// afterLimit returns a channel that receives after the delay, or nil without a delay.
func afterLimit(delay time.Duration) <-chan time.Time {
	if delay <= 0 {
		return nil
	}
	return time.After(delay)
}

// limitErr returns an error if too few gathered services have a usable leaf that can admit the request in time under
// the limits that leaves state. The request then uses no leaf, so that the other services remain for requests that can
// be answered.
func (r *activeRequest) limitErr() (retryAfter time.Duration, err error) {
	services := r.route.Gather
	m := merger{total: len(services), minShare: r.route.MinShare}
	var full, without []string
	for _, service := range services {
		if !r.dispatcher.Pool.HasUsable(r.criteria(service)) {
			without = append(without, service)
		} else if r.exceedsLimitWait(r.dispatcher.Pool.LimitDelay(r.criteria(service))) {
			full = append(full, service)
		}
	}
	if m.total-len(full)-len(without) >= m.needed() {
		return 0, nil
	}
	for _, service := range full {
		retryAfter = max(retryAfter, r.dispatcher.Pool.ReturnDelay(r.criteria(service)))
	}
	r.trace.Add(decision.Step{Event: "refuse", InputName: "services", Input: map[string][]string{"at_limit": full, "without_leaf": without},
		Outcome: "too few services admit the request in time"})
	return retryAfter, verdict.Refusef(verdict.CodeOverloaded, "of %d services %d have no usable leaf, and the leaves of %d have reached the limits that they state; %d services are needed",
		m.total, len(without), len(full), m.needed())
}

func (r *activeRequest) criteria(service string) direct.Criteria {
	return direct.Criteria{Service: service, AllowedRegions: r.caller.regions, Route: r.route.Name}
}

// limitAnswer returns the answer to a request that failed, with the time after which to retry if one is given.
func (d *Dispatcher) limitAnswer(err error, retryAfter time.Duration) exchange.Answer {
	a := d.errorAnswer(err)
	a.RetryAfter = max(a.RetryAfter, retryAfter)
	return a
}
