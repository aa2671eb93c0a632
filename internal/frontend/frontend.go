// Package frontend is the entry point for queries on a node. It validates a request and finds the owner of the service.
// If this node is the owner it runs the query, otherwise it forwards the query once. It also tells callers which
// addresses to use.
package frontend

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/config"
	"cyclamenstream/api/platform"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
)

const (
	// DefaultMaxQueries bounds the concurrent queries of a node. With 256 KiB of payload and a small answer each, they
	// use at most about 1 GiB.
	DefaultMaxQueries = 4096
	// forwardedWait is the longest time for which a forwarded request waits at a node that does not own the service
	// yet. A planned move of a service takes about one heartbeat interval of 250 ms.
	forwardedWait = 300 * time.Millisecond
	// A request without an owner looks for one at each change and at an interval that doubles from minOwnerPoll to
	// maxOwnerPoll, so that waiting requests do not flood an owner that has failed.
	minOwnerPoll = 20 * time.Millisecond
	maxOwnerPoll = 160 * time.Millisecond
)

// Runner runs a query on the owner of its service. Package fanout implements it.
type Runner interface {
	Run(ctx context.Context, r query.Request, p config.Profile) (query.Answer, error)
}

// Forwarder sends a query to the owner of its service. Its errors have the verdict of the attempt.
type Forwarder interface {
	Forward(ctx context.Context, to platform.VM, r query.Request) (query.Answer, error)
}

// Quarantine refuses requests that crash leaves.
type Quarantine interface {
	Fingerprint(service string, payload []byte) string
	Check(fingerprint string) error
}

// Deps are the dependencies and settings of a Frontend. All but MaxQueries, LocateTTL and Metrics are required.
type Deps struct {
	Config     config.Source
	Members    cluster.Membership
	Owners     cluster.Ownership
	Runner     Runner
	Forwarder  Forwarder
	Quarantine Quarantine
	// MaxQueries bounds the concurrent queries. 0 means DefaultMaxQueries.
	MaxQueries int
	// LocateTTL is the longest time for which callers may keep addresses. 0 means DefaultLocateTTL.
	LocateTTL time.Duration
	// Metrics receives, under "frontend", the latency and the coverage of each query that a caller sent to this node,
	// and the number of errors by code. If it is nil, nothing is measured.
	Metrics tally.Scope
}

// Frontend accepts queries. It is safe for concurrent use.
type Frontend struct {
	Deps
	admission admission
	latency   tally.Histogram // seconds
	coverage  tally.Histogram // percent
}

// latencyBuckets range from 1 ms to 60 s in steps of 25 %. coverageBuckets are finer towards 100 % to show small
// losses.
var (
	latencyBuckets  = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.25, 50)
	coverageBuckets = tally.ValueBuckets{0, 50, 80, 90, 95, 98, 99, 99.5, 99.9, 99.99, 100}
)

// New returns a Frontend.
func New(d Deps) *Frontend {
	if d.MaxQueries == 0 {
		d.MaxQueries = DefaultMaxQueries
	}
	if d.LocateTTL == 0 {
		d.LocateTTL = DefaultLocateTTL
	}
	if d.Metrics == nil {
		d.Metrics = tally.NoopScope
	}
	d.Metrics = d.Metrics.SubScope("frontend")
	return &Frontend{Deps: d, latency: d.Metrics.Histogram("latency", latencyBuckets),
		coverage: d.Metrics.Histogram("coverage", coverageBuckets), admission: admission{max: d.MaxQueries, running: map[requestKey]struct{}{}}}
}

// Stop refuses new queries with code CodeStopping and waits until the running ones have ended or ctx ends. It is the
// last step of a graceful shutdown, when callers no longer use this node.
func (f *Frontend) Stop(ctx context.Context) error { return f.admission.stop(ctx) }

// Execute runs a query and returns its answer. Errors carry the verdict on the whole request.
func (f *Frontend) Execute(ctx context.Context, r query.Request) (query.Answer, error) {
	began := time.Now()
	answer, err := f.execute(ctx, r)
	switch {
	case r.Forwarded: // measured on the node that forwarded it
	case err != nil:
		f.Metrics.Tagged(map[string]string{"code": string(verdict.CodeOf(err))}).Counter("errors").Inc(1)
	default:
		f.latency.RecordDuration(time.Since(began))
		f.coverage.RecordValue(answer.Coverage.Percent())
	}
	return answer, err
}

func (f *Frontend) execute(ctx context.Context, r query.Request) (query.Answer, error) {
	r, profile, err := f.validate(r)
	if err != nil {
		return query.Answer{}, err
	}
	if err := f.Quarantine.Check(f.Quarantine.Fingerprint(r.Service, r.Payload)); err != nil {
		return query.Answer{}, err
	}
	leave, err := f.admission.enter(r, profile.Priority)
	if err != nil {
		return query.Answer{}, err
	}
	defer leave()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	route := &route{Frontend: f, request: r, profile: profile}
	return route.execute(ctx)
}

// route finds the owner for one query and runs the query there.
type route struct {
	*Frontend
	request query.Request
	profile config.Profile
	// mayHaveRun is set when an earlier attempt may have run the request.
	mayHaveRun bool
	lastErr    error
}

// execute retries the query at the owner until an attempt succeeds or must not be retried. It waits while no owner is
// known.
func (r *route) execute(ctx context.Context) (query.Answer, error) {
	if r.request.Forwarded {
		return r.executeForwarded(ctx)
	}
	for poll := minOwnerPoll; ; poll = min(2*poll, maxOwnerPoll) {
		changed := r.changes()
		owner, ok := r.owner()
		if ok {
			answer, err := r.attempt(ctx, owner)
			if err == nil {
				return answer, nil
			}
			if !r.retryable(err) {
				return query.Answer{}, r.fail(err)
			}
			r.lastErr = err
			r.mayHaveRun = r.mayHaveRun || !verdict.Of(err).IsNotRun()
		}
		if !changed.wait(ctx, poll) {
			return query.Answer{}, r.fail(r.noOwner())
		}
	}
}

// executeForwarded runs a request that another node has forwarded. It does not forward the request again, but waits up
// to forwardedWait for this node to become the owner.
func (r *route) executeForwarded(ctx context.Context) (query.Answer, error) {
	waitCtx, cancel := context.WithTimeout(ctx, forwardedWait)
	defer cancel()
	for {
		changed := r.changes()
		if owner, ok := r.Owners.Owner(r.request.Service); ok && owner.Self {
			return r.attempt(ctx, owner)
		}
		if !changed.wait(waitCtx, minOwnerPoll) {
			return query.Answer{}, r.noOwner()
		}
	}
}

// owner returns the owner of the service, unless the owner is another node whose VM or zone is out of service.
func (r *route) owner() (cluster.Owner, bool) {
	owner, ok := r.Owners.Owner(r.request.Service)
	if !ok || owner.Self {
		return owner, ok
	}
	return owner, !outOfService(r.Config.Current(), owner.VM)
}

func outOfService(d *config.Document, vm platform.VM) bool {
	return d == nil || d.ZoneOut(vm.Zone) || d.VMOut(vm.ID)
}

func (r *route) attempt(ctx context.Context, owner cluster.Owner) (query.Answer, error) {
	if err := r.Members.CheckFresh(); err != nil {
		return query.Answer{}, err
	}
	if owner.Self {
		return r.Runner.Run(ctx, r.request, r.profile)
	}
	if r.request.NonIdempotent {
		return r.Forwarder.Forward(ctx, owner.VM, r.request)
	}
	return r.forward(ctx, owner.VM)
}

// errOwnerLost cancels a forwarded request whose owner is no longer alive.
var errOwnerLost = errors.New("owner lost")

// forward sends an idempotent request to its owner and gives up when the owner is no longer alive, so that the request
// can be retried at the next owner. This is needed because a VM in a zone that lost power or network does not close its
// connections.
func (r *route) forward(ctx context.Context, owner platform.VM) (query.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go r.watchOwner(ctx, owner, cancel)
	answer, err := r.Forwarder.Forward(ctx, owner, r.request)
	if err != nil && errors.Is(context.Cause(ctx), errOwnerLost) {
		return answer, verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeSessionLost,
			"node %s, which ran the query, no longer sends heartbeats", owner.ID)
	}
	return answer, err
}

// watchOwner cancels with errOwnerLost when the owner is a member that is not alive, and returns when ctx ends.
func (r *route) watchOwner(ctx context.Context, owner platform.VM, cancel context.CancelCauseFunc) {
	for {
		changed := r.Members.Changed()
		lost := func(m cluster.Member) bool { return m.VM.ID == owner.ID && !m.Alive }
		if slices.ContainsFunc(r.Members.Members(), lost) {
			cancel(errOwnerLost)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// retryable reports whether the request may be retried at the owner. It may after "not run" from a node that no longer
// owns the service or is stopping. An idempotent request may also be retried when the owner was lost.
func (r *route) retryable(err error) bool {
	if r.request.NonIdempotent && !verdict.Of(err).IsNotRun() {
		return false
	}
	var known *verdict.Error
	if !errors.As(err, &known) {
		return true // a transport error without a verdict
	}
	switch verdict.CodeOf(err) {
	case verdict.CodeNoOwner, verdict.CodeStopping, verdict.CodeSessionLost:
		return true
	}
	return false
}

func (r *route) noOwner() error {
	if r.lastErr != nil {
		return r.lastErr
	}
	return verdict.Refusef(verdict.CodeNoOwner, "no node owns service %q", r.request.Service)
}

// fail returns the error of the whole request. An earlier attempt that may have run decides the verdict.
func (r *route) fail(err error) error {
	if !r.mayHaveRun {
		return err
	}
	return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeOf(err), "%s", verdict.Message(err))
}

// changes holds the channels that are closed at the next change of members and of ownership.
type changes struct{ members, owned <-chan struct{} }

// changes must be called before the state is read, so that no change is missed in between.
func (f *Frontend) changes() changes {
	_, owned := f.Owners.Owned()
	return changes{members: f.Members.Changed(), owned: owned}
}

// wait waits for a change, at most for the poll interval. It returns false when ctx has ended.
func (c changes) wait(ctx context.Context, poll time.Duration) bool {
	timer := time.NewTimer(poll)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.members:
	case <-c.owned:
	case <-timer.C:
	}
	return true
}

// requestKey identifies a request that must run at most once.
type requestKey struct{ service, caller, id string }

// admission bounds the running queries and refuses a second run of a request that must run at most once.
type admission struct {
	max int

	mu      sync.Mutex
	count   int
	idle    chan struct{} // closed when no query runs; set by stop
	running map[requestKey]struct{}
}

// sharedFraction is the fraction of the bound that queries of the lowest priority may fill. The rest is available in
// proportion to the priority, so that the lowest priorities are refused first.
const sharedFraction = 0.7

func (a *admission) enter(r query.Request, priority int) (leave func(), err error) {
	key := requestKey{r.Service, r.Caller, r.ID}
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := int(float64(a.max) * (sharedFraction + (1-sharedFraction)*float64(priority)/config.MaxPriority))
	switch _, running := a.running[key]; {
	case a.idle != nil:
		return nil, verdict.Refusef(verdict.CodeStopping, "the node is stopping")
	case a.count >= max(limit, 1):
		return nil, verdict.Refusef(verdict.CodeOverloaded,
			"%d queries are running, at most %d are accepted at priority %d", a.count, limit, priority)
	case r.NonIdempotent && running:
		return nil, verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeDuplicate,
			"request %q of caller %q is already running", r.ID, r.Caller)
	}
	a.count++
	if r.NonIdempotent {
		a.running[key] = struct{}{}
	}
	return func() { a.leave(key, r.NonIdempotent) }, nil
}

func (a *admission) leave(key requestKey, nonIdempotent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if nonIdempotent {
		delete(a.running, key)
	}
	a.count--
	if a.count == 0 && a.idle != nil {
		close(a.idle)
	}
}

func (a *admission) stop(ctx context.Context) error {
	a.mu.Lock()
	if a.idle == nil {
		a.idle = make(chan struct{})
		if a.count == 0 {
			close(a.idle)
		}
	}
	idle := a.idle
	a.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
