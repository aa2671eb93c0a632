// Package fanout runs a query on the owner of its service. It pins one snapshot, sends the query to leaves of every
// shard, hedges and retries within budgets, and merges the answers from that one snapshot.
package fanout

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/leaf"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/intent"
)

const (
	// DefaultMaxResultBytes bounds the size of a merged answer if the profile sets no bound.
	DefaultMaxResultBytes = 16 << 20
	// The time reserved for merging and sending the answer is the query's time divided by reserveDivisor, but at least
	// minReserve and at most maxReserve.
	reserveDivisor = 20
	minReserve     = time.Millisecond
	maxReserve     = 20 * time.Millisecond
	// snapshotPollInterval is the interval at which a query looks for a usable or newer snapshot.
	snapshotPollInterval = 10 * time.Millisecond
	// eventInterval is the minimum time between two recorded events. Without it, a burst of failed queries would push
	// all other events out of the timeline. The counters count every failed query.
	eventInterval = 100 * time.Millisecond
)

// Budget limits the extra leaf requests of a service to a share of its first sends.
type Budget interface {
	// OnSend notes a first send.
	OnSend(service string, share float64)
	// Allow takes one extra request from the budget. It returns false if not enough budget is left.
	Allow(service string, share float64) bool
}

// Guard tracks which requests run on leaves, to find requests that crash them.
type Guard interface {
	// Fingerprint identifies requests of the same service and payload.
	Fingerprint(service string, payload []byte) string
	// Enter is called before a slot is acquired for a call. It refuses a quarantined request with verdict "not run",
	// and delays a suspected request until it may run. alone reports whether the call must run alone on its leaf and not
	// be hedged.
	Enter(ctx context.Context, fingerprint, service, callID string, shard uint32) (alone bool, err error)
	// SessionLost reports that the session to the leaf vm was lost while a sent call was in flight. It is called before
	// Leave.
	SessionLost(callID, vm string)
	// Leave is called once after a successful Enter, when the call has ended. answered reports whether the leaf has
	// answered the call.
	Leave(callID string, answered bool)
}

// Intents records requests that must run at most once.
type Intents interface {
	Begin(ctx context.Context, caller, requestID, service string) (intent.Intent, error)
}

// Deps holds the dependencies of an Executor. All but Metrics are required.
type Deps struct {
	Pool     leaf.Pool
	Owners   cluster.Ownership
	Hedges   Budget
	Retries  Budget
	Guard    Guard
	Intents  Intents
	Recorder event.Recorder
	// Metrics is the scope of the counters. If it is nil, nothing is counted.
	Metrics tally.Scope
	// Node is this node's VM.
	Node string
}

// counters holds the metrics of all queries, in the subscope "fanout".
type counters struct {
	complete, partial, failed, restarts tally.Counter // queries
	sends, hedges, retries, mismatches  tally.Counter // leaf requests
}

func newCounters(scope tally.Scope) counters {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("fanout")
	return counters{complete: scope.Counter("complete"), partial: scope.Counter("partial"),
		failed: scope.Counter("failed"), restarts: scope.Counter("restarts"), sends: scope.Counter("sends"),
		hedges: scope.Counter("hedges"), retries: scope.Counter("retries"), mismatches: scope.Counter("mismatches")}
}

// Executor runs queries of the services that this node owns. It is safe for concurrent use.
type Executor struct {
	Deps
	metrics counters
	prefix  string // makes call identifiers unique across nodes and restarts
	calls   atomic.Uint64
	// nextEvent is the time before which no event is recorded, in Unix nanoseconds.
	nextEvent atomic.Int64
}

// New returns an Executor.
func New(d Deps) *Executor {
	var b [8]byte
	rand.Read(b[:]) // crypto/rand.Read never fails
	return &Executor{Deps: d, metrics: newCounters(d.Metrics), prefix: hex.EncodeToString(b[:]) + "-"}
}

func (e *Executor) newCallID() string { return e.prefix + strconv.FormatUint(e.calls.Add(1), 36) }

// run is the state of one query across all its passes.
type run struct {
	*Executor
	ctx               context.Context // ends at executionDeadline
	request           query.Request
	profile           config.Profile
	executionDeadline time.Time // the deadline minus the time reserved for merging and sending
	drainTimeout      time.Duration
	fingerprint       string
	leafRequests      atomic.Int64
	// mayHaveRun is set if an abandoned pass may have run the request.
	mayHaveRun bool

	intentOnce sync.Once
	intent     intent.Intent
	intentErr  error
}

// Run executes the query and returns a complete or partial answer from one snapshot. Errors carry the merged verdict of
// all sends. Run returns by the earlier of the request's and the profile's deadline.
func (e *Executor) Run(ctx context.Context, r query.Request, p config.Profile) (query.Answer, error) {
	now := time.Now()
	deadline := now.Add(time.Duration(p.Deadline))
	if !r.Deadline.IsZero() && r.Deadline.Before(deadline) {
		deadline = r.Deadline
	}
	r.NonIdempotent = r.NonIdempotent || p.NonIdempotent
	reserve := min(max(deadline.Sub(now)/reserveDivisor, minReserve), maxReserve)
	q := &run{Executor: e, request: r, profile: p, executionDeadline: deadline.Add(-reserve), drainTimeout: reserve / 2,
		fingerprint: e.Guard.Fingerprint(r.Service, r.Payload)}
	ctx, cancel := context.WithDeadline(ctx, q.executionDeadline)
	defer cancel()
	q.ctx = ctx
	answer, err := q.execute()
	e.metrics.sends.Inc(q.leafRequests.Load())
	switch {
	case err == nil && answer.Coverage.Complete():
		e.metrics.complete.Inc(1)
	case err == nil:
		e.metrics.partial.Inc(1)
	default:
		e.metrics.failed.Inc(1)
		q.record(event.QueryFailed, string(verdict.CodeOf(err))+": "+verdict.Message(err))
	}
	return answer, err
}

// record records an event of the query unless the executor has recorded another one within eventInterval.
func (q *run) record(kind event.Kind, detail string) {
	now, next := time.Now().UnixNano(), q.nextEvent.Load()
	if now < next || !q.nextEvent.CompareAndSwap(next, now+int64(eventInterval)) {
		return
	}
	q.Recorder.Record(event.Event{Kind: kind, Service: q.request.Service, RequestID: q.request.ID, Detail: detail})
}

// execute runs passes until one need not be repeated on a newer snapshot.
func (q *run) execute() (query.Answer, error) {
	snapshot, err := q.pinSnapshot()
	if err != nil {
		return query.Answer{}, err
	}
	for {
		shards, err := q.shards(snapshot)
		if err != nil {
			return query.Answer{}, err
		}
		p := &pass{run: q, snapshot: snapshot, shards: shards, began: time.Now()}
		p.execute()
		next := p.awaitSuccessor()
		if next == nil {
			return p.finishQuery()
		}
		q.metrics.restarts.Inc(1)
		q.mayHaveRun = q.mayHaveRun || !p.notRun()
		q.record(event.QueryRestarted, "snapshot "+snapshot.ID+" is gone, restarted on "+next.ID)
		snapshot = *next
	}
}

// pinSnapshot chooses the snapshot to query. It waits while the leaves have reported none.
func (q *run) pinSnapshot() (leaf.Snapshot, error) {
	for {
		if s, ok := chooseSnapshot(q.Pool.Snapshots(q.request.Service), 0); ok {
			return s, nil
		}
		if err := q.Owners.CheckOwned(q.request.Service); err != nil {
			return leaf.Snapshot{}, err
		}
		if !sleep(q.ctx, snapshotPollInterval) {
			return leaf.Snapshot{}, verdict.Refusef(verdict.CodeNoSnapshot,
				"service %q: no leaf has reported a snapshot", q.request.Service)
		}
	}
}

// shards returns the shards to query, in ascending order.
func (q *run) shards(s leaf.Snapshot) ([]uint32, error) {
	if len(q.request.Shards) == 0 {
		all := make([]uint32, s.ShardCount)
		for i := range all {
			all[i] = uint32(i)
		}
		return all, nil
	}
	for i, shard := range q.request.Shards {
		if shard >= s.ShardCount {
			return nil, q.invalidRequest("shard %d is not in snapshot %s, which has %d shards", shard, s.ID, s.ShardCount)
		}
		if i > 0 && shard <= q.request.Shards[i-1] {
			return nil, q.invalidRequest("shards must be in ascending order without repetition: %d follows %d", shard,
				q.request.Shards[i-1])
		}
	}
	return q.request.Shards, nil
}

// invalidRequest returns the error of a request that cannot run on the snapshot. An earlier pass may have run it.
func (q *run) invalidRequest(format string, args ...any) error {
	if q.mayHaveRun {
		return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeInvalid, format, args...)
	}
	return verdict.Refusef(verdict.CodeInvalid, format, args...)
}

// beginIntent records the request's intent once for all shards.
func (q *run) beginIntent() (intent.Intent, error) {
	q.intentOnce.Do(func() {
		q.intent, q.intentErr = q.Intents.Begin(q.ctx, q.request.Caller, q.request.ID, q.request.Service)
	})
	return q.intent, q.intentErr
}

// endIntent releases the intent if the request certainly did not run, and otherwise marks it as done.
func (q *run) endIntent(notRun bool) {
	if !q.request.NonIdempotent {
		return
	}
	// After this no shard can begin an intent. A late shard gets the error.
	q.intentOnce.Do(func() {
		q.intentErr = verdict.Refusef(verdict.CodeDeadline, "the query has ended")
	})
	switch {
	case q.intentErr != nil:
	case notRun:
		q.intent.Release(q.ctx)
	default:
		q.intent.Done(q.ctx)
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
