// Package fanout runs a query on the owner of its service: it pins one snapshot, asks every shard, hedges and retries
// within budgets, and merges the answers of that one snapshot.
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
	// DefaultMaxResultBytes bounds a merged answer whose profile sets no bound.
	DefaultMaxResultBytes = 16 << 20
	// The time kept for merging and sending the answer is a share of the query's time within these bounds.
	reserveShare = 20
	minReserve   = time.Millisecond
	maxReserve   = 20 * time.Millisecond
	// snapshotPoll is the interval at which a query without a usable snapshot looks for one.
	snapshotPoll = 10 * time.Millisecond
	// eventInterval is the least time between two recorded events. Without it a burst of failed queries would push
	// everything else out of the time line; the counters count all of them.
	eventInterval = 100 * time.Millisecond
)

// Budget limits extra leaf requests to a share of the first sends of a service.
type Budget interface {
	// OnSend notes a first send.
	OnSend(service string, share float64)
	// Allow takes the budget of one extra request and reports whether there was enough.
	Allow(service string, share float64) bool
}

// Guard follows which requests run on leaves, to find those that crash them.
type Guard interface {
	// Fingerprint identifies requests of the same service and payload.
	Fingerprint(service string, payload []byte) string
	// Enter is called before a slot is acquired for a call. It refuses a quarantined request with verdict "not run",
	// and waits for a suspect's turn. alone says that the call must run alone on its leaf and must not be hedged.
	Enter(ctx context.Context, fingerprint, service, callID string, shard uint32) (alone bool, err error)
	// SessionLost says, before Leave, that the session to the leaf vm was lost under a call that was sent.
	SessionLost(callID, vm string)
	// Leave ends what a successful Enter began. answered says that the leaf has answered the call.
	Leave(callID string, answered bool)
}

// Intents records requests that must run at most once.
type Intents interface {
	Begin(ctx context.Context, caller, requestID, service string) (intent.Intent, error)
}

// Deps are what an Executor uses; all but Metrics are required.
type Deps struct {
	Pool     leaf.Pool
	Owners   cluster.Ownership
	Hedges   Budget
	Retries  Budget
	Guard    Guard
	Intents  Intents
	Recorder event.Recorder
	// Metrics takes the counters; nil counts nothing.
	Metrics tally.Scope
	// Node is this node's VM.
	Node string
}

// counters are the metrics of all queries, under "fanout".
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
	prefix  string // makes call identifiers unique over all nodes and starts
	calls   atomic.Uint64
	// nextEvent is the time before which no event is recorded, in nanoseconds since 1970.
	nextEvent atomic.Int64
}

// New returns an Executor.
func New(d Deps) *Executor {
	var b [8]byte
	rand.Read(b[:]) // crypto/rand.Read never fails
	return &Executor{Deps: d, metrics: newCounters(d.Metrics), prefix: hex.EncodeToString(b[:]) + "-"}
}

func (e *Executor) newCallID() string { return e.prefix + strconv.FormatUint(e.calls.Add(1), 36) }

// run is the state of one query over all its passes.
type run struct {
	*Executor
	ctx         context.Context // ends at finish
	request     query.Request
	profile     config.Profile
	finish      time.Time // the deadline less the time kept for merging and sending
	settle      time.Duration
	fingerprint string
	sent        atomic.Int64
	// mayHaveRun is set when a pass that was given up may have run the request.
	mayHaveRun bool

	intentOnce sync.Once
	intent     intent.Intent
	intentErr  error
}

// Run executes the query and returns its answer, complete or partial, from one snapshot. Errors carry the merged
// verdict of all sends. It returns by the earlier of the request's and the profile's deadline.
func (e *Executor) Run(ctx context.Context, r query.Request, p config.Profile) (query.Answer, error) {
	now := time.Now()
	deadline := now.Add(time.Duration(p.Deadline))
	if !r.Deadline.IsZero() && r.Deadline.Before(deadline) {
		deadline = r.Deadline
	}
	r.NonIdempotent = r.NonIdempotent || p.NonIdempotent
	reserve := min(max(deadline.Sub(now)/reserveShare, minReserve), maxReserve)
	q := &run{Executor: e, request: r, profile: p, finish: deadline.Add(-reserve), settle: reserve / 2,
		fingerprint: e.Guard.Fingerprint(r.Service, r.Payload)}
	ctx, cancel := context.WithDeadline(ctx, q.finish)
	defer cancel()
	q.ctx = ctx
	answer, err := q.execute()
	e.metrics.sends.Inc(q.sent.Load())
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

// record records an event of the query unless one was recorded just before.
func (q *run) record(kind event.Kind, detail string) {
	now, next := time.Now().UnixNano(), q.nextEvent.Load()
	if now < next || !q.nextEvent.CompareAndSwap(next, now+int64(eventInterval)) {
		return
	}
	q.Recorder.Record(event.Event{Kind: kind, Service: q.request.Service, RequestID: q.request.ID, Detail: detail})
}

// execute runs passes until one is not to be repeated on a newer snapshot.
func (q *run) execute() (query.Answer, error) {
	snapshot, err := q.pin()
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
		next := p.successor()
		if next == nil {
			return p.finishQuery()
		}
		q.metrics.restarts.Inc(1)
		q.mayHaveRun = q.mayHaveRun || !p.notRun()
		q.record(event.QueryRestarted, "snapshot "+snapshot.ID+" is gone, restarted on "+next.ID)
		snapshot = *next
	}
}

// pin chooses the snapshot to query and waits for one while the leaves have reported none.
func (q *run) pin() (leaf.Snapshot, error) {
	for {
		if s, ok := choose(q.Pool.Snapshots(q.request.Service), 0); ok {
			return s, nil
		}
		if err := q.Owners.CheckOwned(q.request.Service); err != nil {
			return leaf.Snapshot{}, err
		}
		if !sleep(q.ctx, snapshotPoll) {
			return leaf.Snapshot{}, verdict.Refusef(verdict.CodeNoSnapshot,
				"service %q: no leaf has reported a snapshot", q.request.Service)
		}
	}
}

// shards returns the shards to ask, in ascending order.
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
			return nil, q.refuse("shard %d is not in snapshot %s, which has %d shards", shard, s.ID, s.ShardCount)
		}
		if i > 0 && shard <= q.request.Shards[i-1] {
			return nil, q.refuse("shards must be in ascending order without repetition: %d follows %d", shard,
				q.request.Shards[i-1])
		}
	}
	return q.request.Shards, nil
}

// refuse returns an error for a request that cannot be run on the snapshot. An earlier pass may have run it.
func (q *run) refuse(format string, args ...any) error {
	if q.mayHaveRun {
		return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeInvalid, format, args...)
	}
	return verdict.Refusef(verdict.CodeInvalid, format, args...)
}

// holdIntent records the request once, however many shards ask for it.
func (q *run) holdIntent() (intent.Intent, error) {
	q.intentOnce.Do(func() {
		q.intent, q.intentErr = q.Intents.Begin(q.ctx, q.request.Caller, q.request.ID, q.request.Service)
	})
	return q.intent, q.intentErr
}

// endIntent releases the intent of a request that certainly did not run.
func (q *run) endIntent(notRun bool) {
	if !q.request.NonIdempotent {
		return
	}
	// After this no shard can begin an intent: a late one gets the error.
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

// sleep waits and reports whether ctx is still alive.
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
