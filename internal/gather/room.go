package gather

import (
	"cmp"
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/exchange"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/admission"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/direct"
)

// roomCounters count what admission control decides.
type roomCounters struct {
	admitted, queued, left tally.Counter
	refused                map[admission.Reason]tally.Counter
	wait                   tally.Histogram
}

func newRoomCounters(scope tally.Scope) roomCounters {
	c := roomCounters{admitted: scope.Counter("admission_admitted"), queued: scope.Counter("admission_queued"), left: scope.Counter("admission_left"),
		refused: map[admission.Reason]tally.Counter{}, wait: scope.Histogram("admission_wait", latencyBuckets)}
	for _, reason := range []admission.Reason{admission.Late, admission.Crowded} {
		c.refused[reason] = scope.Tagged(map[string]string{"reason": string(reason)}).Counter("admission_refused")
	}
	return c
}

// awaitRoom waits until there is room for the request at its services. If it is not admitted, answer is the answer.
func (r *activeRequest) awaitRoom(ctx context.Context) (answer exchange.Answer, admitted bool) {
	controller, counters := r.dispatcher.Admission, &r.dispatcher.counters.room
	if controller == nil {
		return exchange.Answer{}, true
	}
	result, waiter := controller.Offer(r.admissionRequest())
	if waiter != nil {
		counters.queued.Inc(1)
		began := time.Now()
		var err error
		result, err = r.awaitResult(ctx, waiter)
		counters.wait.RecordDuration(time.Since(began))
		if err != nil {
			counters.left.Inc(1)
			return r.dispatcher.errorAnswer(err), false
		}
	}
	if !result.Admitted {
		counters.refused[result.Reason].Inc(1)
		return r.refuseForRoom(result), false
	}
	counters.admitted.Inc(1)
	if waiter != nil {
		if err := cmp.Or(r.keyErr(), r.stopErr()); err != nil {
			return r.dispatcher.errorAnswer(err), false
		}
	}
	return exchange.Answer{}, true
}

// awaitResult waits for the decision on a request. The error is the reason if the wait has ended before.
func (r *activeRequest) awaitResult(ctx context.Context, w *admission.Waiter) (admission.Result, error) {
	controller := r.dispatcher.Admission
	timer := time.NewTimer(time.Until(controller.Poll()))
	defer timer.Stop()
	for {
		select {
		case result := <-w.Result():
			return result, nil
		case <-timer.C:
			timer.Reset(time.Until(controller.Poll()))
		case <-r.sendCtx.Done():
			controller.Cancel(w)
			switch {
			case ctx.Err() != nil:
				return admission.Result{}, verdict.Refusef(verdict.CodeCallerLeft, "the caller left")
			case r.dispatcher.waitCtx.Err() != nil:
				return admission.Result{}, verdict.Refusef(verdict.CodeStopping, "this node stops before there is room for the request")
			}
			return admission.Result{}, verdict.Refusef(verdict.CodeOverloaded, "there was no room for the request in time")
		}
	}
}

// refuseForRoom returns the answer to a request for which there is no room.
func (r *activeRequest) refuseForRoom(result admission.Result) exchange.Answer {
	r.trace.Add(decision.Step{Event: "refuse", InputName: "room", Input: map[string]any{"resource": result.Resource, "needs_ms": decision.Millis(result.Needs),
		"room_in_ms": decision.Millis(result.RoomIn)}, Outcome: string(result.Reason)})
	text := "the remaining time is shorter than the work needs at present"
	if result.Reason == admission.Crowded {
		text = "there are more requests of this priority than can be served in time"
	}
	a := r.dispatcher.errorAnswer(verdict.Refusef(verdict.CodeOverloaded, "no room: %s", text))
	if result.RetryAfter > 0 {
		a.RetryAfter = result.RetryAfter
	}
	return a
}

func (r *activeRequest) admissionRequest() admission.Request {
	request := admission.Request{Services: r.route.Gather, Priority: r.route.Priority, Fingerprint: r.fingerprint, Target: r.route.Target, Deadline: r.deadline}
	if len(request.Services) == 0 {
		request.Services = []string{r.service}
	}
	m := merger{total: len(request.Services), minShare: r.route.MinShare}
	request.Needed = m.needed()
	if o := r.caller.organisation; o != nil {
		request.Priority, request.Organisation, request.Weight = o.Priority, o.Name, o.Rate
	}
	return request
}

// recordLoad records what a leaf has stated about its load, and how long it took to answer.
func (f *fetch) recordLoad(s sendResult, latency time.Duration) {
	if f.dispatcher.Admission == nil || s.reply == nil || s.reply.Load == nil || s.kind == direct.Replaced {
		return
	}
	l, workFactor := s.reply.Load, 0.0
	if l.Speed > 0 {
		workFactor = 1 / l.Speed
	}
	f.dispatcher.Admission.Record(admission.Reply{Service: f.service, Leaf: s.ticket.Leaf().ID, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots,
		WorkFactor: workFactor, Success: s.kind == direct.Answered, Latency: latency, Target: f.route.Target})
}
