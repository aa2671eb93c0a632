package gather

import (
	"context"
	"errors"
	"time"

	"cyclamenstream/api/exchange"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/direct"
)

const (
	// maxSends bounds the sends of one request to one service, refusals included.
	maxSends = 4
	// hedgeFactor times the leaf's usual latency plus hedgeSlack is how long a request waits for the first leaf alone,
	// but at most a share of the route's target, which leaves time for another region's leaf.
	hedgeFactor      = 2
	hedgeSlack       = 4 * time.Millisecond
	hedgeShareGather = 0.3
	hedgeShareSingle = 0.5
	// hedgeGain is how many times sooner than the age of the first send a hedge after the target must be expected.
	hedgeGain = 3
	// minHedgeDelay keeps a leaf that answers in a millisecond from being hedged on a late timer.
	minHedgeDelay = 10 * time.Millisecond
	// waitShare of the target is how long a request waits for a leaf with room.
	waitShare = 0.2
	// minLeafBudget is the shortest time for which a request is handed to a leaf.
	minLeafBudget = 5 * time.Millisecond
)

// errNotSent says that no further send was made.
var errNotSent = errors.New("no further send")

// fetched is the outcome of a request at one service. Exactly one of reply and err is set.
type fetched struct {
	reply *exchange.Reply
	err   error
}

// sent is the outcome of one send.
type sent struct {
	ticket  *direct.Ticket
	attempt *verdict.Attempt
	reply   *exchange.Reply
	err     error
	kind    direct.Kind
}

// fetch is the state of a request at one service.
type fetch struct {
	*run
	service string
	results chan sent
	tried   []string
	running int
	// ran counts the leaves that may have run the request.
	ran   int
	sends int
	// usual is the usual latency of the leaf that was sent to last.
	usual time.Duration
	// sentAt is when the latest send began.
	sentAt time.Time
	// failure is the answer of failure that a leaf gave last.
	failure *exchange.Reply
	lastErr error
}

// fetch gets one service's answer. It sends to a second leaf when the first is slow or fails, as far as the route's
// attempts and the budget of extra sends allow.
func (r *run) fetch(ctx context.Context, service string) fetched {
	r.d.RetryBudget.OnSend(service, r.d.Config.RetryShare)
	f := &fetch{run: r, service: service, results: make(chan sent, maxSends)}
	if err := f.first(ctx); err != nil {
		return fetched{err: err}
	}
	hedge := time.NewTimer(f.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case s := <-f.results:
			if done, result := f.ended(s); done {
				return result
			}
		case <-hedge.C:
			if f.another("hedge") == nil {
				continue
			}
			if f.mayRepeat() {
				hedge.Reset(minHedgeDelay)
			}
		case <-f.run.sends.Done():
			return fetched{err: f.end(ctx)}
		case <-ctx.Done():
			return fetched{err: f.end(ctx)}
		}
	}
}

// end returns the error of a request that is given up while a leaf may be at work.
func (f *fetch) end(ctx context.Context) error {
	if ctx.Err() != nil {
		return f.left()
	}
	return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeDeadline, "service %q did not answer in time", f.service)
}

// first sends to the best leaf. It waits a little if all are full, or if those that are free have just failed. A part of a
// gathered answer waits as long as there is time, since other leaves are at work for the same answer.
func (f *fetch) first(ctx context.Context) error {
	patience := time.NewTimer(time.Duration(waitShare * float64(f.route.Target)))
	defer patience.Stop()
	need := f.need()
	need.WaitForHealthy = true
	for {
		freed, err := f.send(need)
		if err == nil || freed == nil {
			return err
		}
		if !need.WaitForHealthy && len(f.route.Gather) == 0 {
			f.trace.Add(decision.Step{Event: "refuse", Service: f.service, Outcome: verdict.Message(err)})
			return err
		}
		select {
		case <-freed:
		case <-patience.C:
			need.WaitForHealthy = false
		case <-f.run.sends.Done():
			return err
		case <-ctx.Done():
			return f.left()
		}
	}
}

func (f *fetch) need() direct.Criteria {
	return direct.Criteria{Service: f.service, AllowedRegions: f.route.Regions, Exclude: f.tried}
}

func (f *fetch) hedgeDelay() time.Duration {
	if !f.mayRepeat() {
		return time.Until(f.deadline) + time.Hour // never: only idempotent requests are sent twice
	}
	share := hedgeShareSingle
	if len(f.route.Gather) > 0 {
		share = hedgeShareGather
	}
	delay := hedgeFactor*f.usual + hedgeSlack
	if f.route.Target > 0 {
		delay = min(delay, time.Duration(share*float64(f.route.Target)))
	}
	return max(minHedgeDelay, delay)
}

// mayRepeat reports whether another leaf may run the request.
func (f *fetch) mayRepeat() bool {
	return f.route.Idempotent && f.ran < f.route.MaxAttempts && f.sends < maxSends
}

// another sends once more if the rules and the budget allow it.
func (f *fetch) another(reason string) error {
	if f.sends >= maxSends || (f.ran > 0 && !f.mayRepeat()) {
		return errNotSent
	}
	if time.Until(f.deadline) < minLeafBudget {
		return errNotSent
	}
	if err := f.d.Crashes.Check(f.digest); err != nil {
		f.trace.Add(decision.Step{Event: reason, Service: f.service, Outcome: verdict.Message(err)})
		return errNotSent
	}
	if !f.d.RetryBudget.Allow(f.service, f.d.Config.RetryShare) {
		f.d.counters.denied.Inc(1)
		f.trace.Add(decision.Step{Event: reason, Service: f.service, Outcome: "no budget"})
		return errNotSent
	}
	need := f.need()
	if reason == "hedge" {
		need.MaxLatency = f.hedgeWithin()
	}
	_, err := f.send(need)
	if err != nil {
		f.d.RetryBudget.Return(f.service)
		f.trace.Add(decision.Step{Event: reason, Service: f.service, Outcome: verdict.Message(err)})
	}
	return err
}

// hedgeWithin is the expected latency up to which a hedge is of use: it answers before the target, or after it clearly
// sooner than the leaf that has not answered yet.
func (f *fetch) hedgeWithin() time.Duration {
	now := time.Now()
	age := now.Sub(f.sentAt)
	if left := f.cutoff().Sub(now); left > 0 {
		return max(left, age/hedgeGain)
	}
	return age / hedgeGain
}

// send starts one send. freed is set when all leaves are full.
func (f *fetch) send(need direct.Criteria) (freed <-chan struct{}, err error) {
	ticket, freed, err := f.d.Pool.Acquire(need)
	if err != nil {
		return freed, err
	}
	leaf := ticket.Leaf()
	f.tried = append(f.tried, leaf.ID)
	f.usual = ticket.BaseLatency()
	f.running++
	f.ran++
	f.sends++
	f.trace.Add(decision.Step{Event: "send", Service: f.service, Leaf: leaf.ID, Boot: leaf.Boot, InputName: "expected_ms",
		Input: decision.Millis(ticket.ExpectedLatency()), Routine: f.sends == 1 && len(f.route.Gather) > 0})
	f.sentAt = time.Now()
	go f.exchange(ticket)
	return nil, nil
}

// exchange sends the request to the ticket's leaf and reports the outcome.
func (f *fetch) exchange(ticket *direct.Ticket) {
	s := sent{ticket: ticket, attempt: &verdict.Attempt{}}
	s.reply, s.err = f.d.Sender.Send(f.run.sends, ticket.Leaf(), exchange.Outgoing{Request: f.request,
		Budget: time.Until(f.deadline), Connections: ticket.Connections, Attempt: s.attempt})
	s.kind = f.kindOf(s)
	outcome := direct.Outcome{Kind: s.kind}
	if s.reply != nil {
		outcome.Load = s.reply.Load
	}
	ticket.Done(outcome)
	f.noteCrash(s)
	f.d.counters.send(s.kind)
	f.results <- s
}

// noteCrash follows whether the request crashes the leaves that run it.
func (f *fetch) noteCrash(s sent) {
	switch {
	case s.kind == direct.Answered || s.kind == direct.Failed && s.err == nil:
		f.d.Crashes.Answered(f.digest)
	case s.kind == direct.Broken && !s.attempt.Verdict().IsNotRun():
		f.d.Crashes.Broke(f.digest, f.request.ID, s.ticket.Leaf())
	}
}

func (f *fetch) kindOf(s sent) direct.Kind {
	switch {
	case errors.Is(s.err, exchange.ErrRefused):
		return direct.Refused
	case errors.Is(s.err, exchange.ErrReplaced):
		return direct.Replaced
	case errors.Is(s.err, exchange.ErrMismatch):
		return direct.Failed
	case s.err != nil && f.run.sends.Err() != nil:
		return direct.Abandoned
	case s.err != nil:
		return direct.Broken
	case s.reply.Success():
		return direct.Answered
	}
	return direct.Failed
}

// ended handles the outcome of a send. It reports whether the request is settled.
func (f *fetch) ended(s sent) (bool, fetched) {
	f.running--
	if s.attempt.Verdict().IsNotRun() {
		f.ran--
	}
	leaf := s.ticket.Leaf()
	f.trace.Add(decision.Step{Event: "reply", Service: f.service, Leaf: leaf.ID, Boot: leaf.Boot, Outcome: f.describe(s),
		Routine: s.kind == direct.Answered && len(f.route.Gather) > 0})
	if s.err == nil && s.reply.Success() {
		return true, fetched{reply: s.reply}
	}
	if s.err == nil {
		f.failure = s.reply
	} else {
		f.lastErr = s.err
	}
	if f.sends < maxSends && f.another("retry") == nil {
		return false, fetched{}
	}
	if f.running > 0 {
		return false, fetched{}
	}
	if f.failure != nil && len(f.route.Gather) == 0 {
		return true, fetched{reply: f.failure}
	}
	return true, fetched{err: f.failed()}
}

func (f *fetch) describe(s sent) string {
	if s.err != nil {
		return s.kind.String() + ": " + s.err.Error()
	}
	return s.kind.String()
}

// failed is the error of a request that no leaf has answered: not run if no leaf can have run it.
func (f *fetch) failed() error {
	if f.ran > 0 || f.failure != nil {
		return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeLeafFailed, "service %q: %d sends failed: %v", f.service, f.sends, f.lastErr)
	}
	return verdict.Refusef(verdict.CodeLeafRefused, "service %q: %d sends were refused: %v", f.service, f.sends, f.lastErr)
}
