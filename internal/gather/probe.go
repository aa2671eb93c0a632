package gather

import (
	"context"

	"cyclamenstream/api/exchange"
	"cyclamenstream/api/route"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/crashes"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/direct"
	"cyclamenstream/internal/routing"
)

// admit asks the crash detector whether a request is served. It does not wait beyond the end of a planned stop.
func (d *Dispatcher) admit(ctx context.Context, fingerprint uint64, r *exchange.Request, matched *route.Route) (crashes.Admission, error) {
	if d.Crashes.Check(fingerprint) == nil {
		return crashes.Admission{}, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.waitCtx, cancel)()
	return d.Crashes.Admit(ctx, fingerprint, r.Deadline, func() bool { return d.serviceWithLeaf(matched) != "" })
}

// serviceWithLeaf returns a service of the route that has a usable leaf, or "".
func (d *Dispatcher) serviceWithLeaf(matched *route.Route) string {
	services := matched.Gather
	if len(services) == 0 {
		services = []string{routing.Pick(matched)}
	}
	for _, service := range services {
		if d.Pool.HasUsable(direct.Criteria{Service: service, AllowedRegions: matched.Regions}) {
			return service
		}
	}
	return ""
}

// serveProbe sends a request that may crash leaves to one leaf, once. Only if that leaf answers, a gathered request is sent
// to the other services too.
func (r *activeRequest) serveProbe(ctx context.Context) exchange.Answer {
	r.probe = true
	r.trace.Add(decision.Step{Event: "probe", InputName: "digest", Input: r.fingerprint, Outcome: "one leaf"})
	if len(r.route.Gather) == 0 {
		answer := r.serveSingle(ctx)
		r.endProbe(answer.Err)
		return answer
	}
	service := r.dispatcher.serviceWithLeaf(r.route)
	first := r.fetchPart(ctx, service)
	r.endProbe(first.err)
	if first.err != nil {
		return r.dispatcher.limitAnswer(first.err, first.retryAfter)
	}
	return r.serveGathered(ctx, first)
}

// endProbe ends the probe. One that has not run may be sent again.
func (r *activeRequest) endProbe(err error) {
	r.probe = false
	if err != nil && verdict.Of(err).IsNotRun() {
		r.dispatcher.Crashes.ProbeNotRun(r.fingerprint)
	}
}
