// Package gather answers requests of callers: it sends each to one leaf, or to one leaf of every gathered service, hedges
// and repeats what may be repeated, and merges the answers.
package gather

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/exchange"
	"cyclamenstream/api/route"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/crashes"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/direct"
	"cyclamenstream/internal/fanout/budget"
	"cyclamenstream/internal/routing"
)

// Config holds the times that do not change while the process runs.
type Config struct {
	// AnswerMargin is how long before the target, counted from the receipt of the request, an answer leaves this node.
	// It covers the ways between the caller and this node.
	AnswerMargin time.Duration
	// OpenMargin is added for a request whose caller first had to find a node and open a connection.
	OpenMargin time.Duration
	// RetryShare is the share of a service's requests that may be sent once more, over all nodes together.
	RetryShare float64
	// RetryAfterNoConfig and RetryAfterBusy tell callers when to come back.
	RetryAfterNoConfig, RetryAfterBusy time.Duration
	// SampleEvery writes the trace of each n-th ordinary request; 0 writes none.
	SampleEvery uint64
}

// Deps is what a Dispatcher works with.
type Deps struct {
	Config Config
	Pool   *direct.Pool
	Sender exchange.Sender
	// Index returns the routing configuration in force, or nil while none is known.
	Index func() *routing.Index
	// RetryBudget limits repeated sends.
	RetryBudget *budget.Budget
	// Crashes refuses requests that crash leaves.
	Crashes *crashes.List
	Log     *decision.Log
	Scope   tally.Scope
}

// Dispatcher implements exchange.Server.
type Dispatcher struct {
	Deps
	counters counters
	served   atomic.Uint64
	lag      lag
	// ended is over once requests must not wait for leaves any more.
	ended context.Context
	end   context.CancelFunc
}

// New returns a dispatcher.
func New(deps Deps) *Dispatcher {
	ended, end := context.WithCancel(context.Background())
	return &Dispatcher{Deps: deps, counters: newCounters(deps.Scope), ended: ended, end: end}
}

// CancelPending gives up all requests that wait for leaves, so that they are answered before the process ends.
func (d *Dispatcher) CancelPending() { d.end() }

// timeoutMargin is how long before a request's end its answer is sent.
const timeoutMargin = 20 * time.Millisecond

// lingering is how long sends that are no longer needed may go on after the answer: most end by themselves, and the
// connection stays usable.
const lingering = 400 * time.Millisecond

// Serve implements exchange.Server.
func (d *Dispatcher) Serve(ctx context.Context, r *exchange.Request) exchange.Answer {
	index := d.Index()
	if index == nil {
		err := verdict.Refusef(verdict.CodeNoConfig, "no routing configuration is known yet")
		return d.finish(nil, r, decision.NewTrace(r.ID, r.Received), d.refusal(err))
	}
	target := index.Find(r.Host, r.Path)
	trace := decision.NewTrace(r.ID, r.Received)
	if target == nil {
		return d.finish(nil, r, trace, exchange.Answer{Err: verdict.Refusef(verdict.CodeUnknownService, "no route for host %q and path %q", r.Host, r.Path)})
	}
	digest := crashes.Digest(r)
	if err := d.Crashes.Check(digest); err != nil {
		return d.finish(target, r, trace, d.refusal(err))
	}
	trace.Add(decision.Step{Event: "route", Service: target.Service, InputName: "config_version", Input: index.Table().Version, Outcome: target.Name})
	deadline := r.Deadline
	if t := r.Received.Add(target.Timeout); target.Timeout > 0 && t.Before(deadline) {
		deadline = t
	}
	deadline = deadline.Add(-timeoutMargin)
	sends, release := sendContext(ctx, d.ended, deadline)
	defer release()
	run := &run{d: d, request: r, digest: digest, route: target, trace: trace, deadline: deadline, sends: sends}
	if len(target.Gather) > 0 {
		return d.finish(target, r, trace, run.gather(ctx))
	}
	return d.finish(target, r, trace, run.single(ctx))
}

// sendContext returns the context of a request's sends. It ends at once when the caller leaves or ended is over, and some
// time after release when the caller has got its answer.
func sendContext(ctx, ended context.Context, deadline time.Time) (context.Context, func()) {
	sends, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	stop := context.AfterFunc(ctx, cancel)
	stopEnd := context.AfterFunc(ended, cancel)
	return sends, func() {
		stopEnd()
		if !stop() {
			return
		}
		time.AfterFunc(lingering, cancel)
	}
}

func (d *Dispatcher) refusal(err error) exchange.Answer {
	a := exchange.Answer{Err: err}
	if verdict.Of(err).IsNotRun() {
		switch verdict.CodeOf(err) {
		case verdict.CodeNoConfig:
			a.RetryAfter = d.Config.RetryAfterNoConfig
		case verdict.CodeQuarantined:
			a.RetryAfter = crashes.Period
		default:
			a.RetryAfter = d.Config.RetryAfterBusy
		}
	}
	return a
}

// finish counts the answer and writes the trace of a notable request.
func (d *Dispatcher) finish(target *route.Route, r *exchange.Request, trace *decision.Trace, a exchange.Answer) exchange.Answer {
	took := time.Since(r.Received)
	name, late := "", false
	if target != nil {
		name, late = target.Name, target.Target > 0 && took > target.Target
	}
	outcome := outcomeOf(a)
	d.counters.request(outcome, late, took)
	notable := late || outcome != outcomeComplete
	if n := d.served.Add(1); d.Config.SampleEvery > 0 && n%d.Config.SampleEvery == 0 {
		notable = true
	}
	if notable {
		text := outcome
		if a.Err != nil {
			text += ": " + verdict.Message(a.Err)
		}
		trace.Add(decision.Step{Event: "answer", InputName: "route", Input: name, Outcome: text})
		trace.Write(d.Log)
	}
	return a
}

// The outcomes of requests as logs and metrics name them.
const (
	outcomeComplete = "complete"
	outcomeShort    = "short"
	outcomeFailure  = "leaf_failure"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown_route"
	outcomeLost     = "may_have_run"
	outcomeLeft     = "caller_left"
)

func outcomeOf(a exchange.Answer) string {
	switch {
	case a.Gathered != nil && a.Gathered.Missing > 0:
		return outcomeShort
	case a.Gathered != nil:
		return outcomeComplete
	case a.Reply != nil && a.Reply.Success():
		return outcomeComplete
	case a.Reply != nil:
		return outcomeFailure
	case verdict.CodeOf(a.Err) == verdict.CodeCallerLeft:
		return outcomeLeft
	case verdict.CodeOf(a.Err) == verdict.CodeUnknownService:
		return outcomeUnknown
	case verdict.Of(a.Err).IsNotRun():
		return outcomeNotRun
	}
	return outcomeLost
}

// run is one request under way.
type run struct {
	d       *Dispatcher
	request *exchange.Request
	// digest stands for what the request asks.
	digest   uint64
	route    *route.Route
	trace    *decision.Trace
	deadline time.Time
	// sends is the context of the sends to leaves.
	sends context.Context
}

// single answers from one leaf.
func (r *run) single(ctx context.Context) exchange.Answer {
	f := r.fetch(ctx, routing.Pick(r.route))
	if f.reply != nil {
		return exchange.Answer{Reply: f.reply}
	}
	return r.d.refusal(f.err)
}

// part is the outcome of one gathered service.
type part struct {
	service string
	fetched
}

// gather answers from one leaf of every service. It answers short of some services when the target is near and enough
// are in, or when those that are out have failed.
func (r *run) gather(ctx context.Context) exchange.Answer {
	services := r.route.Gather
	parts := make(chan part, len(services))
	fetching, stop := context.WithCancel(ctx)
	defer stop()
	for _, service := range services {
		go func() { parts <- part{service, r.fetch(fetching, service)} }()
	}
	m := merger{total: len(services), least: r.route.MinShare}
	cutoff := r.cutoff()
	near := time.NewTimer(time.Until(cutoff))
	defer near.Stop()
	late, prompt := false, false // prompt answers leave at the cutoff, without waiting for further parts
	for !m.settled(late) {
		select {
		case p := <-parts:
			m.add(p)
		case <-near.C:
			late, prompt = true, m.enough()
			r.trace.Add(decision.Step{Event: "target_near", InputName: "parts", Input: len(m.replies), Outcome: "answer with what is enough"})
		case <-ctx.Done():
			return exchange.Answer{Err: r.left()}
		}
	}
	for _, s := range m.open(services) {
		r.trace.Add(decision.Step{Event: "left_out", Service: s, Outcome: m.failure(s)})
	}
	if !m.enough() {
		return r.d.refusal(m.err(r.route.Name))
	}
	gathered := m.answer(r.route.Top)
	if prompt {
		r.d.lag.note(time.Since(cutoff))
	}
	return exchange.Answer{Gathered: gathered}
}

// cutoff is when an answer must leave to reach the caller within its target.
func (r *run) cutoff() time.Time {
	if r.route.Target <= 0 {
		return r.deadline
	}
	margin := r.d.Config.AnswerMargin + r.d.lag.margin()
	if r.request.FirstOnConnection {
		margin += r.d.Config.OpenMargin
	}
	return r.request.Received.Add(r.route.Target - margin)
}

// left is the error of a request whose caller has gone.
func (r *run) left() error {
	return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeCallerLeft, "the caller left")
}
