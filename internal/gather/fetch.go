package gather

import (
	"context"
	"errors"
	"slices"
	"time"

	"cyclamenstream/api/exchange"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/direct"
)

const (
	// maxSends bounds the sends of one request to one service, refused ones included.
	maxSends = 4
	// A request waits for its first leaf alone for hedgeFactor times the leaf's base latency plus hedgeSlack. The wait
	// is at most hedgeShareGather or hedgeShareSingle of the route's target latency, which leaves time for a leaf of
	// another region.
	hedgeFactor      = 2
	hedgeSlack       = 4 * time.Millisecond
	hedgeShareGather = 0.3
	hedgeShareSingle = 0.5
	// hedgeGain limits hedges after the target latency has passed: the expected latency of a hedge must be at most the
	// age of the latest send divided by hedgeGain.
	hedgeGain = 3
	// minHedgeDelay keeps a late timer from hedging requests to a leaf that answers in a millisecond.
	minHedgeDelay = 10 * time.Millisecond
	// waitShare is the share of the target latency for which a request waits for a leaf with free capacity.
	waitShare = 0.2
	// minLeafBudget is the shortest remaining time with which a request is sent to a leaf again.
	minLeafBudget = 5 * time.Millisecond
)

// errNotSent means that no further send was made.
var errNotSent = errors.New("no further send")

// fetchResult is the result of a request at one service. Exactly one of reply and err is set.
type fetchResult struct {
	reply *exchange.Reply
	err   error
	// retryAfter tells the caller when to retry if the limits that the leaves state are the reason for err.
	retryAfter time.Duration
}

// sendResult is the result of one send.
type sendResult struct {
	ticket  *direct.Ticket
	attempt *verdict.Attempt
	reply   *exchange.Reply
	err     error
	kind    direct.Kind
}

// fetch is the state of a request at one service.
type fetch struct {
	*activeRequest
	service string
	// probe is set if the request is sent to one leaf only.
	probe   bool
	results chan sendResult
	tried   []string
	// stale holds those of tried that may only have closed an idle connection.
	stale    []string
	inFlight int
	// mayHaveRun is the number of leaves that may have run the request.
	mayHaveRun int
	sends      int
	// unsent is the number of sends that reached no leaf and have not been replaced by another one. A replacement needs no
	// retry budget, since no leaf gets more requests by it.
	unsent int
	// latest is the ticket of the latest send, and baseLatency its leaf's base latency.
	latest      *direct.Ticket
	baseLatency time.Duration
	// hedgeLimit is the longest expected latency of a hedge, or 0 if the leaves do not state their speed.
	hedgeLimit time.Duration
	// hedgePostponed is set once the log says so.
	hedgePostponed bool
	// sentAt is when the latest send began.
	sentAt time.Time
	// failureReply is the latest answer in which a leaf reported a failure.
	failureReply *exchange.Reply
	lastErr      error
	// retryAfter is as in fetchResult.
	retryAfter time.Duration
}

// fetch gets one service's answer. It sends to a second leaf if the first one is slow or fails, as far as the route's
// maximum attempts and the retry budget allow.
func (r *activeRequest) fetch(ctx context.Context, service string) fetchResult {
	r.dispatcher.RetryBudget.OnSend(service, r.dispatcher.Config.RetryShare)
	f := &fetch{activeRequest: r, service: service, probe: r.probe, results: make(chan sendResult, maxSends)}
	if err := f.sendFirst(ctx); err != nil {
		return fetchResult{err: err, retryAfter: f.retryAfter}
	}
	hedge := time.NewTimer(f.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case s := <-f.results:
			if done, result := f.handleResult(s); done {
				return result
			}
		case <-hedge.C:
			if f.hedgeHelps() && f.sendAgain("hedge") == nil {
				continue
			}
			if f.mayRetry() {
				hedge.Reset(minHedgeDelay)
			}
		case <-f.activeRequest.sendCtx.Done():
			return f.giveUp(ctx)
		case <-ctx.Done():
			return fetchResult{err: f.callerLeftErr()}
		}
	}
}

// cancelWait is how long a request that is given up waits for the ends of its sends, which are cancelled.
const cancelWait = 10 * time.Millisecond

// giveUp returns the result of a request whose time has passed. Sends that still wait for a connection end without having
// sent anything, so the request may turn out not to have run.
func (f *fetch) giveUp(ctx context.Context) fetchResult {
	timer := time.NewTimer(cancelWait)
	defer timer.Stop()
	for f.inFlight > 0 && ctx.Err() == nil {
		select {
		case s := <-f.results:
			f.recordResult(s)
			if s.err == nil && s.reply.Success() {
				return fetchResult{reply: s.reply}
			}
		case <-timer.C:
			f.inFlight = 0
		}
	}
	switch {
	case ctx.Err() != nil:
		return fetchResult{err: f.callerLeftErr()}
	case f.mayHaveRun == 0 && f.failureReply == nil:
		return fetchResult{err: verdict.Refusef(verdict.CodeDeadline, "service %q could not be reached in time", f.service)}
	}
	return fetchResult{err: verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeDeadline, "service %q did not answer in time", f.service)}
}

// sendFirst sends to the best leaf. It waits for a while if all leaves are full, or if the free ones have just failed.
// A part of a gathered answer waits as long as there is time, since other leaves are already working on the same
// answer. A request that the limits of the leaves do not admit in time is refused at once.
func (f *fetch) sendFirst(ctx context.Context) error {
	waitTimer := time.NewTimer(time.Duration(waitShare * float64(f.route.Target)))
	defer waitTimer.Stop()
	criteria := f.criteria()
	criteria.WaitForHealthy = true
	for {
		if err := f.refusal(); err != nil {
			return err
		}
		freed, err := f.send(criteria)
		if err == nil || freed == nil {
			return err
		}
		limitDelay := f.dispatcher.Pool.LimitDelay(criteria)
		waited := !criteria.WaitForHealthy && len(f.route.Gather) == 0
		if waited || f.exceedsLimitWait(limitDelay) {
			f.retryAfter = f.dispatcher.Pool.ReturnDelay(criteria)
			f.trace.Add(decision.Step{Event: "refuse", Service: f.service, InputName: "limit_delay_ms",
				Input: decision.Millis(limitDelay), Outcome: verdict.Message(err)})
			return err
		}
		select {
		case <-freed:
		case <-afterLimit(limitDelay):
		case <-waitTimer.C:
			criteria.WaitForHealthy = false
		case <-f.activeRequest.sendCtx.Done():
			return err
		case <-ctx.Done():
			return f.callerLeftErr()
		}
	}
}

func (f *fetch) criteria() direct.Criteria {
	criteria := f.activeRequest.criteria(f.service)
	criteria.Exclude = f.tried
	return criteria
}

func (f *fetch) hedgeDelay() time.Duration {
	if !f.mayRetry() {
		return time.Until(f.deadline) + time.Hour // never: only idempotent requests are sent twice
	}
	share := hedgeShareSingle
	if len(f.route.Gather) > 0 {
		share = hedgeShareGather
	}
	delay := hedgeFactor*f.baseLatency + hedgeSlack
	if f.expectedLate() {
		delay = 0
	}
	if f.route.Target > 0 {
		delay = min(delay, time.Duration(share*float64(f.route.Target)))
	}
	return max(minHedgeDelay, delay)
}

// mayRetry reports whether another leaf may run the request.
func (f *fetch) mayRetry() bool {
	return !f.probe && f.route.Idempotent && f.mayHaveRun < f.route.MaxAttempts && f.sends < maxSends
}

// sendAgain sends once more if the route and the retry budget allow it.
func (f *fetch) sendAgain(reason string) error {
	if f.sends >= maxSends || (f.mayHaveRun > 0 && !f.mayRetry()) {
		return errNotSent
	}
	if time.Until(f.deadline) < minLeafBudget {
		return errNotSent
	}
	if err := f.refusal(); err != nil {
		f.trace.Add(decision.Step{Event: reason, Service: f.service, Outcome: verdict.Message(err)})
		return errNotSent
	}
	replaces := f.unsent > 0
	if !f.takeBudget() {
		f.dispatcher.counters.denied.Inc(1)
		f.trace.Add(decision.Step{Event: reason, Service: f.service, Outcome: "no budget"})
		return errNotSent
	}
	criteria := f.criteria()
	criteria.Purpose = direct.Retry
	if reason == "hedge" {
		criteria.Purpose = direct.Hedge
		criteria.MaxLatency = f.maxHedgeLatency()
	}
	_, err := f.send(criteria)
	if err != nil && len(f.stale) > 0 && verdict.CodeOf(err) == verdict.CodeNoLeaf {
		// A leaf that has crashed on the request looks as if it had closed an idle connection, so others come first.
		criteria.Exclude = slices.DeleteFunc(slices.Clone(f.tried), func(id string) bool { return slices.Contains(f.stale, id) })
		f.stale = nil
		_, err = f.send(criteria)
	}
	if err != nil {
		f.returnBudget(replaces)
		f.trace.Add(decision.Step{Event: reason, Service: f.service, Outcome: verdict.Message(err)})
	}
	return err
}

// takeBudget reports whether the retry budget allows another send.
func (f *fetch) takeBudget() bool {
	if f.unsent > 0 {
		f.unsent--
		return true
	}
	return f.dispatcher.RetryBudget.Allow(f.service, f.dispatcher.Config.RetryShare)
}

// returnBudget gives back what a send that was not made has taken. replaces is set if it would have replaced an unsent one.
func (f *fetch) returnBudget(replaces bool) {
	if replaces {
		f.unsent++
		return
	}
	f.dispatcher.RetryBudget.Return(f.service)
}

// refusal returns an error if the request's API key is not known any more or cannot be checked, or if the request has become
// known to crash leaves. A probe may crash leaves.
func (f *fetch) refusal() error {
	if err := f.keyErr(); err != nil || f.probe {
		return err
	}
	return f.dispatcher.Crashes.Check(f.fingerprint)
}

// maxHedgeLatency returns the expected latency up to which a hedge is useful. A useful hedge answers before the target,
// or clearly sooner than the leaf that has not answered yet.
func (f *fetch) maxHedgeLatency() time.Duration {
	now := time.Now()
	limit := now.Sub(f.sentAt) / hedgeGain
	if remaining := f.cutoff().Sub(now); remaining > 0 {
		limit = max(remaining, limit)
	}
	if f.hedgeLimit > 0 {
		limit = min(limit, f.hedgeLimit)
	}
	return limit
}

// send starts one send. freed is set if all usable leaves are full.
func (f *fetch) send(criteria direct.Criteria) (freed <-chan struct{}, err error) {
	ticket, freed, err := f.acquire(criteria)
	if err != nil {
		return freed, err
	}
	leaf := ticket.Leaf()
	f.tried = append(f.tried, leaf.ID)
	f.latest, f.baseLatency = ticket, ticket.BaseLatency()
	f.inFlight++
	f.mayHaveRun++
	f.sends++
	f.trace.Add(decision.Step{Event: "send", Service: f.service, Leaf: leaf.ID, Boot: leaf.Boot, InputName: "expected_ms",
		Input: decision.Millis(ticket.ExpectedLatency()), Routine: f.sends == 1 && len(f.route.Gather) > 0})
	f.sentAt = time.Now()
	go f.exchange(ticket)
	return nil, nil
}

// exchange sends the request to the ticket's leaf and reports the result.
func (f *fetch) exchange(ticket *direct.Ticket) {
	s := sendResult{ticket: ticket, attempt: &verdict.Attempt{}}
	began := time.Now()
	defer func() { f.results <- s }() // also after a panic
	defer recoverPanic(f.request.ID, &s.err)
	s.reply, s.err = f.callLeaf(ticket, s.attempt)
	s.kind = f.kindOf(s)
	outcome := direct.Outcome{Kind: s.kind, Absent: errors.Is(s.err, exchange.ErrAbsent), RequestID: f.request.ID}
	if s.reply != nil {
		outcome.Load = s.reply.Load
		if s.kind != direct.Replaced {
			outcome.RateLimit, outcome.Leaving, outcome.Pause = s.reply.RateLimit, s.reply.Leaving, s.reply.Pause
		}
	}
	ticket.Done(outcome)
	f.recordCrash(s)
	f.recordLoad(s, time.Since(began))
	f.dispatcher.counters.send(s.kind)
}

// callLeaf sends the request to the ticket's leaf.
func (f *fetch) callLeaf(ticket *direct.Ticket, attempt *verdict.Attempt) (reply *exchange.Reply, err error) {
	defer recoverPanic(f.request.ID, &err)
	return f.dispatcher.Sender.Send(f.activeRequest.sendCtx, ticket.Leaf(), exchange.Outgoing{Request: f.request,
		Budget: time.Until(f.deadline), Connections: ticket.Connections, Caller: f.callerForLeaf(), Once: f.probe || !f.route.Idempotent, Attempt: attempt})
}

// recordCrash reports to the crash detector that a leaf answered the request, or that the exchange ended without an
// answer after the leaf may have run the request.
func (f *fetch) recordCrash(s sendResult) {
	switch {
	case s.kind == direct.Answered || s.kind == direct.Failed && s.err == nil:
		f.dispatcher.Crashes.Answered(f.fingerprint)
	case (s.kind == direct.Broken || s.kind == direct.Stale) && !s.attempt.Verdict().IsNotRun():
		f.dispatcher.Crashes.Interrupted(f.fingerprint, f.request.ID, s.ticket.Leaf())
	}
}

func (f *fetch) kindOf(s sendResult) direct.Kind {
	switch {
	case errors.Is(s.err, exchange.ErrRefused):
		return direct.Refused
	case errors.Is(s.err, exchange.ErrReplaced):
		return direct.Replaced
	case errors.Is(s.err, exchange.ErrMismatch):
		return direct.Failed
	case s.err != nil && f.activeRequest.sendCtx.Err() != nil:
		return direct.Abandoned
	case errors.Is(s.err, exchange.ErrStale):
		return direct.Stale
	case s.err != nil:
		return direct.Broken
	case s.reply.Success():
		return direct.Answered
	}
	return direct.Failed
}

// recordResult records the result of a send.
func (f *fetch) recordResult(s sendResult) {
	f.inFlight--
	if s.attempt.Verdict().IsNotRun() {
		f.mayHaveRun--
	}
	if !s.attempt.Sent() {
		f.unsent++
	}
	leaf := s.ticket.Leaf()
	f.trace.Add(decision.Step{Event: "reply", Service: f.service, Leaf: leaf.ID, Boot: leaf.Boot, Outcome: f.describe(s),
		Routine: s.kind == direct.Answered && len(f.route.Gather) > 0})
	switch {
	case s.err != nil:
		f.lastErr = s.err
	case !s.reply.Success():
		f.failureReply = s.reply
	}
	if s.kind == direct.Stale {
		f.stale = append(f.stale, leaf.ID)
	}
}

// handleResult processes the result of a send. It reports whether the fetch is finished.
func (f *fetch) handleResult(s sendResult) (bool, fetchResult) {
	f.recordResult(s)
	if s.err == nil && s.reply.Success() {
		return true, fetchResult{reply: s.reply}
	}
	if f.sends < maxSends && f.sendAgain("retry") == nil {
		return false, fetchResult{}
	}
	if f.inFlight > 0 {
		return false, fetchResult{}
	}
	if f.failureReply != nil && len(f.route.Gather) == 0 {
		return true, fetchResult{reply: f.failureReply}
	}
	return true, fetchResult{err: f.failedErr()}
}

func (f *fetch) describe(s sendResult) string {
	if s.err != nil {
		return s.kind.String() + ": " + s.err.Error()
	}
	return s.kind.String()
}

// failedErr returns the error of a request that no leaf has answered. Its verdict is "not run" if no leaf can have run
// it.
func (f *fetch) failedErr() error {
	if f.mayHaveRun > 0 || f.failureReply != nil {
		return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeLeafFailed, "service %q: %d sends failed: %v", f.service, f.sends, f.lastErr)
	}
	return verdict.Refusef(verdict.CodeLeafRefused, "service %q: %d sends were refused: %v", f.service, f.sends, f.lastErr)
}
