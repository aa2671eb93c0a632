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
	// minHedgeDelay is the shortest hedge delay. With a shorter one, scheduling noise would cause hedges.
	minHedgeDelay = 2 * time.Millisecond
	// While latencies are unknown, the hedge delay is the call's timeout divided by defaultHedgeDivisor.
	defaultHedgeDivisor = 2
	// maxSends bounds the sends for one shard, including hedges and retries.
	maxSends = 4
	// replyGrace is added to a call's timeout for the round trip, which takes 20 ms each way between the farthest
	// regions.
	replyGrace = 50 * time.Millisecond
)

type callKind int

const (
	first callKind = iota
	hedge
	retry
)

// errNotHedged is the error of a hedge that was not sent.
var errNotHedged = verdict.Refusef(verdict.CodeOverloaded, "no budget for a hedge")

// callUpdate is a message from a call to the goroutine of its shard.
type callUpdate struct {
	// started is set if the call is about to be sent to vm. Otherwise the call has ended. vm is empty if the call got
	// no slot.
	started    bool
	vm         string
	hedgeAfter time.Duration // 0 if the call must not be hedged

	kind    callKind
	reply   backend.Reply
	err     error
	verdict verdict.Verdict
	sent    bool // whether bytes may have left
}

// shardQuery queries one shard.
type shardQuery struct {
	*pass
	shard       uint32
	updates     chan callUpdate
	sends       int
	tried       []string     // VMs that calls were sent to
	failedCalls []callUpdate // without hedges that were not sent
}

// queryShard sends calls to replicas of the shard until one answers or no more calls may be sent.
func (p *pass) queryShard(ctx context.Context, shard uint32) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // stops the calls that are still running when another one has answered
	// At most two calls run at once and each sends two updates, so a call never blocks after queryShard has returned.
	s := &shardQuery{pass: p, shard: shard, updates: make(chan callUpdate, 4)}
	running := 1
	s.launch(ctx, first)
	var hedgeTimer *time.Timer
	var hedgeAfter time.Duration
	var hedgeDue <-chan time.Time
	startHedgeTimer := func(d time.Duration) {
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
			s.launch(ctx, hedge)
		case u := <-s.updates:
			if u.started {
				s.sends++
				s.tried = append(s.tried, u.vm)
				if running == 1 && s.sends < maxSends && s.hasUntriedReplica() {
					startHedgeTimer(u.hedgeAfter)
				}
				continue
			}
			running--
			if u.err == nil {
				return s.success(u.reply)
			}
			if u.kind != hedge || u.sent {
				s.failedCalls = append(s.failedCalls, u)
			} else if running > 0 {
				startHedgeTimer(2 * hedgeAfter) // no slot or no budget was available; try again later
			}
			if running == 0 && s.mayRetry(ctx) {
				hedgeDue = nil
				running++
				s.launch(ctx, retry)
			}
		}
	}
	return s.failure()
}

func (s *shardQuery) launch(ctx context.Context, k callKind) {
	exclude := slices.Clone(s.tried)
	go func() {
		u := s.call(ctx, k, exclude)
		u.kind = k
		s.updates <- u
	}()
}

func (s *shardQuery) success(r backend.Reply) outcome {
	covered := r.Covered
	if math.IsNaN(covered) {
		covered = 0
	}
	return outcome{shard: s.shard, verdict: verdict.Completed(),
		result: &query.ShardResult{Shard: s.shard, Data: r.Data, Covered: min(max(covered, 0), 1)}}
}

// failure merges the outcomes of the shard's calls. The verdict is "not run" only if none of them can have run.
func (s *shardQuery) failure() outcome {
	last := s.failedCalls[len(s.failedCalls)-1]
	o := outcome{shard: s.shard, err: last.err, verdict: last.verdict}
	for _, u := range s.failedCalls {
		if !u.verdict.IsNotRun() {
			o.verdict = verdict.MayHaveRun()
		}
		o.snapshotGone = o.snapshotGone || isSnapshotGone(u.err)
	}
	return o
}

// hasUntriedReplica reports whether the shard has a replica to which no call was sent.
func (s *shardQuery) hasUntriedReplica() bool {
	return int(s.shard) < len(s.snapshot.Replicas) && slices.ContainsFunc(s.snapshot.Replicas[s.shard],
		func(r leaf.Replica) bool { return !slices.Contains(s.tried, r.VM) })
}

// mayRetry decides on a retry after all calls of the shard have failed. If nothing was sent, another call is no extra
// load and needs no budget.
func (s *shardQuery) mayRetry(ctx context.Context) bool {
	u := s.failedCalls[len(s.failedCalls)-1]
	if s.request.NonIdempotent || ctx.Err() != nil || u.vm == "" || s.sends >= maxSends || !s.hasUntriedReplica() {
		return false
	}
	switch verdict.CodeOf(u.err) {
	case verdict.CodeNoOwner, verdict.CodeStale:
		return false
	}
	if isSnapshotGone(u.err) && s.hasTimeToRestart() {
		if _, ok := successorOf(s.Pool.Snapshots(s.request.Service), s.snapshot); ok {
			return false // the whole query restarts on a newer snapshot
		}
	}
	anySent := slices.ContainsFunc(s.failedCalls, func(u callUpdate) bool { return u.sent })
	return !anySent || s.Retries.Allow(s.request.Service, s.profile.RetryBudget)
}

// call acquires a slot, records the intent of a request that must run at most once, and sends.
func (s *shardQuery) call(ctx context.Context, k callKind, exclude []string) (u callUpdate) {
	id := s.newCallID()
	alone, err := s.Guard.Enter(ctx, s.fingerprint, s.request.Service, id, s.shard)
	if err != nil {
		return notSent(err)
	}
	defer func() {
		if u.sent && verdict.CodeOf(u.err) == verdict.CodeSessionLost {
			s.Guard.SessionLost(id, u.vm) // before Leave, so that Enter makes a retry run alone
		}
		s.Guard.Leave(id, u.err == nil)
	}()
	if alone && k == hedge {
		return notSent(errNotHedged)
	}
	slot, err := s.Pool.Acquire(ctx, leaf.SlotRequest{Service: s.request.Service, Snapshot: s.snapshot.ID, Shard: s.shard,
		Priority: s.profile.Priority, Deadline: s.executionDeadline, Exclude: exclude, Immediate: k == hedge, Alone: alone})
	if err != nil {
		return notSent(err)
	}
	defer slot.Release()
	if k == hedge && !s.Hedges.Allow(s.request.Service, s.profile.HedgeBudget) {
		return notSent(errNotHedged)
	}
	if s.request.NonIdempotent {
		requestIntent, err := s.beginIntent()
		if err == nil {
			err = requestIntent.Check()
		}
		if err != nil {
			return notSent(err)
		}
	}
	return s.send(ctx, slot, k, id, alone)
}

// notSent returns the final update of a call that was not sent. A refused intent is the only such error whose request
// may have run, because another attempt holds the intent.
func notSent(err error) callUpdate { return callUpdate{err: err, verdict: verdict.Of(err)} }

func (s *shardQuery) send(ctx context.Context, slot leaf.Slot, k callKind, id string, alone bool) callUpdate {
	limit := time.Duration(cmp.Or(s.profile.LeafTimeout, config.Duration(config.MaxLeafTimeout)))
	timeout := min(limit, time.Until(s.executionDeadline))
	if timeout <= 0 || ctx.Err() != nil {
		return notSent(verdict.Refusef(verdict.CodeDeadline, "no time is left to ask shard %d", s.shard))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+replyGrace)
	defer cancel()
	switch k {
	case first:
		s.Hedges.OnSend(s.request.Service, s.profile.HedgeBudget)
		s.Retries.OnSend(s.request.Service, s.profile.RetryBudget)
	case hedge:
		s.metrics.hedges.Inc(1)
	case retry:
		s.metrics.retries.Inc(1)
	}
	s.updates <- callUpdate{started: true, vm: slot.VM(), hedgeAfter: s.hedgeDelay(slot, timeout, alone)}
	attempt := &verdict.Attempt{}
	s.leafRequests.Add(1)
	reply, err := slot.Do(ctx, backend.Call{ID: id, Service: s.request.Service, Snapshot: s.snapshot.ID,
		Shard: s.shard, Payload: s.request.Payload, Timeout: timeout, Attempt: attempt})
	if err == nil && (reply.ID != id || reply.Snapshot != s.snapshot.ID || reply.Shard != s.shard) {
		s.metrics.mismatches.Inc(1)
		err = verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeInternal,
			"shard %d on %s: answer to call %s is for call %s, snapshot %s, shard %d", s.shard, slot.VM(), id, reply.ID,
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
		s.leafRequests.Add(-1)
	}
	return u
}

// hedgeDelay returns the time after which the call is hedged, or 0 for never.
func (s *shardQuery) hedgeDelay(slot leaf.Slot, timeout time.Duration, alone bool) time.Duration {
	if s.request.NonIdempotent || alone || s.profile.HedgeBudget <= 0 {
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
