// Package gather serves the requests of callers. It sends each request to one leaf, or to one leaf of every gathered
// service, hedges and retries requests that may be repeated, and merges the answers.
package gather

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/exchange"
	"cyclamenstream/api/route"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/admission"
	"cyclamenstream/internal/crashes"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/direct"
	"cyclamenstream/internal/fanout/budget"
	"cyclamenstream/internal/quota"
	"cyclamenstream/internal/routing"
)

// Config holds the settings that stay fixed while the process runs.
type Config struct {
	// AnswerMargin is how long before the target latency, counted from the receipt of the request, this node sends its
	// answer. It covers the network delays between the caller and this node.
	AnswerMargin time.Duration
	// OpenMargin is added for a request whose caller first had to find a node and open a connection.
	OpenMargin time.Duration
	// RetryShare is the share of a service's requests that may be sent once more, over all nodes together.
	RetryShare float64
	// RetryAfterNoConfig and RetryAfterBusy tell callers when to retry.
	RetryAfterNoConfig, RetryAfterBusy time.Duration
	// RevokeWithin is the age of the view of the registry from which requests that need an API key are refused, since the key
	// may have been removed. 0 means never.
	RevokeWithin time.Duration
	// SampleEvery is the number of requests of which one is traced even if it is not notable; 0 disables that.
	SampleEvery uint64
}

// Deps holds the dependencies of a Dispatcher.
type Deps struct {
	Config Config
	Pool   *direct.Pool
	Sender exchange.Sender
	// Index returns the routing configuration in force, or nil while none is known.
	Index func() *routing.Index
	// Configured is closed once Index returns a configuration. Requests wait for it while the process starts, unless it is
	// nil.
	Configured <-chan struct{}
	// RetryBudget limits retries and hedges.
	RetryBudget *budget.Budget
	// ViewAge returns how long ago this node's view of the registry was known to be the newest. It may be nil if
	// Config.RevokeWithin is 0.
	ViewAge func() time.Duration
	// Quota limits the requests of organisations. If it is nil, they have no limits.
	Quota *quota.Service
	// Crashes refuses requests that crash leaves.
	Crashes *crashes.Detector
	// Admission decides on requests while room at leaves or processor time is short. Nil admits all.
	Admission *admission.Controller
	Log       *decision.Log
	Scope     tally.Scope
}

// Dispatcher implements exchange.Server.
type Dispatcher struct {
	Deps
	counters counters
	served   atomic.Uint64
	lag      lag
	start    startGate
	// stopEnd is when a planned stop gives up the remaining requests, or nil.
	stopEnd atomic.Pointer[time.Time]
	// waitCtx is cancelled once requests must no longer wait for leaves.
	waitCtx    context.Context
	cancelWait context.CancelFunc
}

// New returns a dispatcher.
func New(deps Deps) *Dispatcher {
	waitCtx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{Deps: deps, counters: newCounters(deps.Scope), start: startGate{started: time.Now()}, waitCtx: waitCtx, cancelWait: cancel}
}

// CancelPending ends the wait of all requests for leaves, so that they are answered before the process ends.
func (d *Dispatcher) CancelPending() { d.cancelWait() }

// timeoutMargin is how long before the deadline of a request its answer is sent.
const timeoutMargin = 20 * time.Millisecond

// retryAfterQuarantined tells the caller of a request that was refused while it was in progress when to retry. By then it is
// known whether a leaf has answered it.
const retryAfterQuarantined = 5 * time.Second

// lingerTime is how long sends that are no longer needed may continue after the answer. Most end by themselves, and
// their connections stay usable.
const lingerTime = 400 * time.Millisecond

// Serve implements exchange.Server.
func (d *Dispatcher) Serve(ctx context.Context, r *exchange.Request) exchange.Answer {
	index := d.start.await(ctx, r, d.Deps)
	if index == nil {
		err := verdict.Refusef(verdict.CodeNoConfig, "no routing configuration is known yet")
		return d.finish(nil, r, decision.NewTrace(r.ID, r.Received), d.errorAnswer(err))
	}
	matched := index.Find(r.Host, r.Path)
	trace := decision.NewTrace(r.ID, r.Received)
	if matched == nil {
		return d.finish(nil, r, trace, exchange.Answer{Err: verdict.Refusef(verdict.CodeUnknownService, "no route for host %q and path %q", r.Host, r.Path)})
	}
	caller, err := d.authenticate(index, matched, r)
	if err != nil {
		trace.Add(decision.Step{Event: "caller", InputName: "config_version", Input: index.Table().Version, Outcome: verdict.Message(err)})
		return d.finish(matched, r, trace, d.errorAnswer(err))
	}
	fingerprint := crashes.Fingerprint(r)
	quarantine, err := d.admit(ctx, fingerprint, r, matched)
	if err != nil {
		return d.finish(matched, r, trace, exchange.Answer{Err: err, RetryAfter: quarantine.RetryAfter})
	}
	trace.Add(decision.Step{Event: "route", Service: matched.Service, InputName: "config_version", Input: index.Table().Version, Outcome: matched.Name})
	deadline := r.Deadline
	if t := r.Received.Add(matched.Timeout); matched.Timeout > 0 && t.Before(deadline) {
		deadline = t
	}
	deadline = deadline.Add(-timeoutMargin)
	sendCtx, release := sendContext(ctx, d.waitCtx, deadline)
	defer release()
	active := &activeRequest{dispatcher: d, request: r, fingerprint: fingerprint, route: matched, service: routing.Pick(matched), caller: caller, trace: trace, deadline: deadline, sendCtx: sendCtx}
	retryAfter, err := time.Duration(0), active.stopErr()
	if err == nil {
		retryAfter, err = active.takeQuota(ctx)
	}
	if err != nil {
		if quarantine.Probe {
			d.Crashes.ProbeNotRun(fingerprint)
		}
		return d.finish(matched, r, trace, d.refusalAnswer(err, retryAfter))
	}
	answer := active.serve(ctx, quarantine.Probe)
	active.quota.end(d.Quota, answer.Err)
	return d.finish(matched, r, trace, answer)
}

// serve answers a request that may be sent once there is room for it.
func (r *activeRequest) serve(ctx context.Context, probe bool) exchange.Answer {
	if probe {
		return r.serveProbe(ctx)
	}
	if answer, admitted := r.awaitRoom(ctx); !admitted {
		return answer
	}
	if retryAfter, err := r.retakeQuota(ctx); err != nil {
		return r.dispatcher.refusalAnswer(err, retryAfter)
	}
	if len(r.route.Gather) > 0 {
		return r.serveGathered(ctx, part{})
	}
	return r.serveSingle(ctx)
}

// sendContext returns the context of a request's sends. It is cancelled when the caller disconnects or when waitCtx is
// cancelled. Otherwise it is cancelled lingerTime after release, which is called once the caller has its answer.
func sendContext(ctx, waitCtx context.Context, deadline time.Time) (context.Context, func()) {
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	stopCaller := context.AfterFunc(ctx, cancel)
	stopWait := context.AfterFunc(waitCtx, cancel)
	return sendCtx, func() {
		stopWait()
		if !stopCaller() {
			return
		}
		time.AfterFunc(lingerTime, cancel)
	}
}

func (d *Dispatcher) errorAnswer(err error) exchange.Answer {
	a := exchange.Answer{Err: err}
	if verdict.Of(err).IsNotRun() {
		switch verdict.CodeOf(err) {
		case verdict.CodeUnauthenticated:
		case verdict.CodeNoConfig:
			a.RetryAfter = d.Config.RetryAfterNoConfig
		case verdict.CodeQuarantined:
			a.RetryAfter = retryAfterQuarantined
		default:
			a.RetryAfter = d.Config.RetryAfterBusy
		}
	}
	return a
}

// refusalAnswer returns the answer to a request that is refused. If retryAfter is not 0, it replaces the usual delay.
func (d *Dispatcher) refusalAnswer(err error, retryAfter time.Duration) exchange.Answer {
	a := d.errorAnswer(err)
	if retryAfter > 0 {
		a.RetryAfter = retryAfter
	}
	return a
}

// finish counts the answer and writes the trace of a notable request.
func (d *Dispatcher) finish(matched *route.Route, r *exchange.Request, trace *decision.Trace, a exchange.Answer) exchange.Answer {
	took := time.Since(r.Received)
	name, late := "", false
	if matched != nil {
		name, late = matched.Name, matched.Target > 0 && took > matched.Target
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
	outcomeComplete        = "complete"
	outcomeShort           = "short"
	outcomeLeafFailure     = "leaf_failure"
	outcomeNotRun          = "not_run"
	outcomeUnknownRoute    = "unknown_route"
	outcomeMayHaveRun      = "may_have_run"
	outcomeCallerLeft      = "caller_left"
	outcomeUnauthenticated = "unauthenticated"
	outcomeOverQuota       = "over_quota"
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
		return outcomeLeafFailure
	case verdict.CodeOf(a.Err) == verdict.CodeCallerLeft:
		return outcomeCallerLeft
	case verdict.CodeOf(a.Err) == verdict.CodeUnknownService:
		return outcomeUnknownRoute
	case verdict.CodeOf(a.Err) == verdict.CodeUnauthenticated:
		return outcomeUnauthenticated
	case verdict.CodeOf(a.Err) == verdict.CodeQuota:
		return outcomeOverQuota
	case verdict.Of(a.Err).IsNotRun():
		return outcomeNotRun
	}
	return outcomeMayHaveRun
}

// activeRequest is a request in progress.
type activeRequest struct {
	dispatcher *Dispatcher
	request    *exchange.Request
	// fingerprint is the hash of the request's content.
	fingerprint uint64
	route       *route.Route
	// service is the only one of the request, or empty for a gathered one.
	service  string
	caller   caller
	quota    quotaUse
	trace    *decision.Trace
	deadline time.Time
	// sendCtx is the context of the sends to leaves.
	sendCtx context.Context
	// probe is set while the request is sent to one leaf only, to find out whether it crashes leaves.
	probe bool
	// arrived is the number of parts of a gathered answer that are in.
	arrived atomic.Int32
}

// serveSingle answers with the reply of one leaf.
func (r *activeRequest) serveSingle(ctx context.Context) exchange.Answer {
	f := r.fetch(ctx, r.service)
	if f.reply != nil {
		return exchange.Answer{Reply: f.reply}
	}
	return r.dispatcher.limitAnswer(f.err, f.retryAfter)
}

// part is the result of one gathered service.
type part struct {
	service string
	fetchResult
}

// serveGathered merges the answers of one leaf of every service. It leaves services out if they have failed, or if the
// target latency is near and enough others have answered. first is a part that has been fetched already, or empty.
func (r *activeRequest) serveGathered(ctx context.Context, first part) exchange.Answer {
	services := r.route.Gather
	if first.reply == nil { // nothing has been sent, so the request may be refused as a whole
		if retryAfter, err := r.limitErr(); err != nil {
			return r.dispatcher.limitAnswer(err, retryAfter)
		}
	}
	parts := make(chan part, len(services))
	fetchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, service := range services {
		if service == first.service {
			parts <- first
			continue
		}
		go func() { parts <- r.fetchPart(fetchCtx, service) }()
	}
	m := merger{total: len(services), minShare: r.route.MinShare}
	cutoff := r.cutoff()
	targetTimer := time.NewTimer(time.Until(cutoff))
	defer targetTimer.Stop()
	late, atCutoff := false, false // atCutoff is set if the answer is sent at the cutoff
	for !m.done(late) {
		select {
		case p := <-parts:
			m.add(p)
		case <-targetTimer.C:
			late, atCutoff = true, m.enough()
			r.trace.Add(decision.Step{Event: "target_near", InputName: "parts", Input: len(m.replies), Outcome: "answer with what is enough"})
		case <-ctx.Done():
			return exchange.Answer{Err: r.callerLeftErr()}
		}
	}
	for _, s := range m.missing(services) {
		r.trace.Add(decision.Step{Event: "left_out", Service: s, Outcome: m.failureReason(s)})
	}
	if !m.enough() {
		if err := m.callerRefusal(); err != nil && r.quota.endUnsent() {
			return r.dispatcher.errorAnswer(err)
		}
		if r.sendCtx.Err() != nil {
			m.addRest(parts)
		}
		return r.dispatcher.errorAnswer(m.tooFewErr(r.route.Name))
	}
	gathered := m.merge(r.route.Top)
	if atCutoff {
		r.dispatcher.lag.record(time.Since(cutoff))
	}
	return exchange.Answer{Gathered: gathered}
}

// fetchPart fetches the part of one service.
func (r *activeRequest) fetchPart(ctx context.Context, service string) (p part) {
	p.service = service
	defer recoverPanic(r.request.ID, &p.err)
	p.fetchResult = r.fetch(ctx, service)
	if p.reply != nil {
		r.arrived.Add(1)
	}
	return p
}

// cutoff returns when an answer must be sent to reach the caller within the target latency.
func (r *activeRequest) cutoff() time.Time {
	if r.route.Target <= 0 {
		return r.deadline
	}
	margin := r.dispatcher.Config.AnswerMargin + r.dispatcher.lag.margin()
	if r.request.FirstOnConnection {
		margin += r.dispatcher.Config.OpenMargin
	}
	return r.request.Received.Add(r.route.Target - margin)
}

// callerLeftErr returns the error of a request whose caller has disconnected.
func (r *activeRequest) callerLeftErr() error {
	return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeCallerLeft, "the caller left")
}
