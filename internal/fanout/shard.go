package fanout

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/config"
	"cyclamenstream/api/leaf"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
)

const (
	// minHedgeDelay is the shortest hedge delay: below it, scheduling noise would cause hedges.
	minHedgeDelay = 2 * time.Millisecond
	// defaultHedgeDivisor is the part of the leaf timeout after which a hedge is sent while latencies are unknown.
	defaultHedgeDivisor = 2
	// maxSends bounds the sends for one shard, hedges and retries included.
	maxSends = 4
	// replyGrace is added to a call's timeout for the way to the leaf and back, 20 ms each between the farthest regions.
	replyGrace = 50 * time.Millisecond
)

type callKind int

const (
	first callKind = iota
	hedge
	retry
)

// errNotHedged ends a hedge that was not sent.
var errNotHedged = verdict.Refusef(verdict.CodeOverloaded, "no budget for a hedge")

// callUpdate is a message from a call to the goroutine of its shard.
type callUpdate struct {
	// started says that the call is about to be sent to vm; otherwise the call has ended. A call that got no slot has no
	// vm.
	started    bool
	vm         string
	hedgeAfter time.Duration // 0 if the call must not be hedged

	kind    callKind
	reply   backend.Reply
	err     error
	verdict verdict.Verdict
	sent    bool // whether bytes may have left
}

// shardQuery gets the answer of one shard.
type shardQuery struct {
	*pass
	shard       uint32
	updates     chan callUpdate
	sends       int
	tried       []string     // VMs that were asked
	failedCalls []callUpdate // calls that failed, hedges that were not sent left out
}

// queryShard asks replicas of the shard until one answers or nothing more may be sent.
func (p *pass) queryShard(ctx context.Context, shard uint32) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // stops the losers
	// At most two calls run at once and each sends two updates, so that a call never blocks after the shard's end.
	a := &shardQuery{pass: p, shard: shard, updates: make(chan callUpdate, 4)}
	running := 1
	a.launch(ctx, first)
	var hedgeTimer *time.Timer
	var hedgeAfter time.Duration
	var hedgeDue <-chan time.Time
	arm := func(d time.Duration) {
		if hedgeAfter = d; d > 0 {
			hedgeTimer = time.NewTimer(d)
			hedgeDue = hedgeTimer.C
		}
	}
	defer func() {
		if hedgeTimer != nil {
			hedgeTimer.Stop()
		}
	}()
	for running > 0 {
		select {
		case <-hedgeDue:
			hedgeDue = nil
			running++
			a.launch(ctx, hedge)
		case u := <-a.updates:
			if u.started {
				a.sends++
				a.tried = append(a.tried, u.vm)
				if running == 1 && a.sends < maxSends && a.hasUntriedReplica() {
					arm(u.hedgeAfter)
				}
				continue
			}
			running--
			if u.err == nil {
				return a.success(u.reply)
			}
			if u.kind != hedge || u.sent {
				a.failedCalls = append(a.failedCalls, u)
			} else if running > 0 {
				arm(2 * hedgeAfter) // no slot or no budget now
			}
			if running == 0 && a.mayRetry(ctx) {
				hedgeDue = nil
				running++
				a.launch(ctx, retry)
			}
		}
	}
	return a.failure()
}

func (a *shardQuery) launch(ctx context.Context, k callKind) {
	exclude := slices.Clone(a.tried)
	go func() {
		u := a.call(ctx, k, exclude)
		u.kind = k
		a.updates <- u
	}()
}

func (a *shardQuery) success(r backend.Reply) outcome {
	covered := r.Covered
	if math.IsNaN(covered) {
		covered = 0
	}
	return outcome{shard: a.shard, verdict: verdict.Completed(),
		result: &query.ShardResult{Shard: a.shard, Data: r.Data, Covered: min(max(covered, 0), 1)}}
}

// failure merges the calls of the shard: not run only if none can have run.
func (a *shardQuery) failure() outcome {
	last := a.failedCalls[len(a.failedCalls)-1]
	o := outcome{shard: a.shard, err: last.err, verdict: last.verdict}
	for _, u := range a.failedCalls {
		if !u.verdict.IsNotRun() {
			o.verdict = verdict.MayHaveRun()
		}
		o.snapshotGone = o.snapshotGone || isSnapshotGone(u.err)
	}
	return o
}

// hasUntriedReplica reports whether a replica of the shard is left that was not asked.
func (a *shardQuery) hasUntriedReplica() bool {
	return int(a.shard) < len(a.snapshot.Replicas) && slices.ContainsFunc(a.snapshot.Replicas[a.shard],
		func(r leaf.Replica) bool { return !slices.Contains(a.tried, r.VM) })
}

// mayRetry decides on a retry after all calls of the shard have failed. While nothing was sent, another call is no extra
// load and needs no budget.
func (a *shardQuery) mayRetry(ctx context.Context) bool {
	u := a.failedCalls[len(a.failedCalls)-1]
	if a.request.NonIdempotent || ctx.Err() != nil || u.vm == "" || a.sends >= maxSends || !a.hasUntriedReplica() {
		return false
	}
	switch verdict.CodeOf(u.err) {
	case verdict.CodeNoOwner, verdict.CodeStale:
		return false
	}
	if isSnapshotGone(u.err) && a.hasTimeToRestart() {
		if _, ok := successorOf(a.Pool.Snapshots(a.request.Service), a.snapshot); ok {
			return false // the whole query restarts
		}
	}
	anySent := slices.ContainsFunc(a.failedCalls, func(u callUpdate) bool { return u.sent })
	return !anySent || a.Retries.Allow(a.request.Service, a.profile.RetryBudget)
}

// call acquires a slot, records the intent of a request that must run at most once, and sends.
func (a *shardQuery) call(ctx context.Context, k callKind, exclude []string) (u callUpdate) {
	id := a.newCallID()
	alone, err := a.Guard.Enter(ctx, a.fingerprint, a.request.Service, id, a.shard)
	if err != nil {
		return notSent(err)
	}
	defer func() {
		if u.sent && verdict.CodeOf(u.err) == verdict.CodeSessionLost {
			a.Guard.Lost(id, u.vm) // before Leave, so that a retry is told to run alone
		}
		a.Guard.Leave(id, u.err == nil)
	}()
	if alone && k == hedge {
		return notSent(errNotHedged)
	}
	slot, err := a.Pool.Acquire(ctx, leaf.SlotRequest{Service: a.request.Service, Snapshot: a.snapshot.ID, Shard: a.shard,
		Priority: a.profile.Priority, Deadline: a.executionDeadline, Exclude: exclude, Immediate: k == hedge, Alone: alone})
	if err != nil {
		return notSent(err)
	}
	defer slot.Release()
	if k == hedge && !a.Hedges.Allow(a.request.Service, a.profile.HedgeBudget) {
		return notSent(errNotHedged)
	}
	if a.request.NonIdempotent {
		held, err := a.beginIntent()
		if err == nil {
			err = held.Check()
		}
		if err != nil {
			return notSent(err)
		}
	}
	return a.send(ctx, slot, k, id, alone)
}

// notSent ends a call before its send. A refused intent is the only such error that may have run: another attempt holds
// the request.
func notSent(err error) callUpdate { return callUpdate{err: err, verdict: verdict.Of(err)} }

func (a *shardQuery) send(ctx context.Context, slot leaf.Slot, k callKind, id string, alone bool) callUpdate {
	limit := time.Duration(cmp.Or(a.profile.LeafTimeout, config.Duration(config.MaxLeafTimeout)))
	timeout := min(limit, time.Until(a.executionDeadline))
	if timeout <= 0 || ctx.Err() != nil {
		return notSent(verdict.Refusef(verdict.CodeDeadline, "no time is left to ask shard %d", a.shard))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+replyGrace)
	defer cancel()
	switch k {
	case first:
		a.Hedges.OnSend(a.request.Service, a.profile.HedgeBudget)
		a.Retries.OnSend(a.request.Service, a.profile.RetryBudget)
	case hedge:
		a.metrics.hedges.Inc(1)
	case retry:
		a.metrics.retries.Inc(1)
	}
	a.updates <- callUpdate{started: true, vm: slot.VM(), hedgeAfter: a.hedgeDelay(slot, timeout, alone)}
	attempt := &verdict.Attempt{}
	a.leafRequests.Add(1)
	reply, err := slot.Do(ctx, backend.Call{ID: id, Service: a.request.Service, Snapshot: a.snapshot.ID,
		Shard: a.shard, Payload: a.request.Payload, Timeout: timeout, Attempt: attempt})
	if err == nil && (reply.ID != id || reply.Snapshot != a.snapshot.ID || reply.Shard != a.shard) {
		a.metrics.mismatches.Inc(1)
		err = verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeInternal,
			"shard %d on %s: answer to call %s is for call %s, snapshot %s, shard %d", a.shard, slot.VM(), id, reply.ID,
			reply.Snapshot, reply.Shard)
	}
	if err == nil {
		return callUpdate{vm: slot.VM(), reply: reply, sent: true, verdict: verdict.Completed()}
	}
	u := callUpdate{vm: slot.VM(), err: err, sent: true}
	// Both the error and the attempt must say that the call did not run.
	if v := verdict.Of(err); v.IsNotRun() && attempt.Verdict().IsNotRun() {
		u.verdict = v
		u.sent = errors.Is(err, backend.ErrRefused) || isSnapshotGone(err)
	}
	if !u.sent {
		a.leafRequests.Add(-1)
	}
	return u
}

// hedgeDelay returns the time after which the call is hedged, 0 for never.
func (a *shardQuery) hedgeDelay(slot leaf.Slot, timeout time.Duration, alone bool) time.Duration {
	if a.request.NonIdempotent || alone || a.profile.HedgeBudget <= 0 {
		return 0
	}
	if l := slot.Latency95(); l > 0 {
		return max(l, minHedgeDelay)
	}
	return max(timeout/defaultHedgeDivisor, minHedgeDelay)
}

func isSnapshotGone(err error) bool {
	return errors.Is(err, backend.ErrSnapshotGone) || verdict.CodeOf(err) == verdict.CodeSnapshotGone
}
