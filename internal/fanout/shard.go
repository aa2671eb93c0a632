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
	// hedgeFloor is the shortest hedge delay: below it, scheduling noise would cause hedges.
	hedgeFloor = 2 * time.Millisecond
	// unknownHedgeShare is the part of the leaf timeout after which a hedge is sent while latencies are unknown.
	unknownHedgeShare = 2
	// maxSends bounds the sends for one shard, hedges and retries included.
	maxSends = 4
	// replyGrace is added to a call's timeout for the way to the leaf and back, 20 ms each between the farthest regions.
	replyGrace = 50 * time.Millisecond
)

type kind int

const (
	first kind = iota
	hedge
	retry
)

// errNotHedged ends a hedge that was not sent.
var errNotHedged = verdict.Refusef(verdict.CodeOverloaded, "no budget for a hedge")

// update is a message from a call to the goroutine of its shard.
type update struct {
	// started says that the call is about to be sent to vm; otherwise the call has ended. A call that got no slot has no
	// vm.
	started    bool
	vm         string
	hedgeAfter time.Duration // 0 if the call must not be hedged

	kind    kind
	reply   backend.Reply
	err     error
	verdict verdict.Verdict
	sent    bool // whether bytes may have left
}

// asker gets the answer of one shard.
type asker struct {
	*pass
	shard   uint32
	updates chan update
	sends   int
	tried   []string // VMs that were asked
	ended   []update // calls that failed, hedges that were not sent left out
}

// ask asks replicas of the shard until one answers or nothing more may be sent.
func (p *pass) ask(ctx context.Context, shard uint32) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // stops the losers
	// At most two calls run at once and each sends two updates, so that a call never blocks after the shard's end.
	a := &asker{pass: p, shard: shard, updates: make(chan update, 4)}
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
				if running == 1 && a.sends < maxSends && a.untried() {
					arm(u.hedgeAfter)
				}
				continue
			}
			running--
			if u.err == nil {
				return a.answered(u.reply)
			}
			if u.kind != hedge || u.sent {
				a.ended = append(a.ended, u)
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
	return a.failed()
}

func (a *asker) launch(ctx context.Context, k kind) {
	exclude := slices.Clone(a.tried)
	go func() {
		u := a.call(ctx, k, exclude)
		u.kind = k
		a.updates <- u
	}()
}

func (a *asker) answered(r backend.Reply) outcome {
	covered := r.Covered
	if math.IsNaN(covered) {
		covered = 0
	}
	return outcome{shard: a.shard, verdict: verdict.Completed(),
		result: &query.ShardResult{Shard: a.shard, Data: r.Data, Covered: min(max(covered, 0), 1)}}
}

// failed merges the calls of the shard: not run only if none can have run.
func (a *asker) failed() outcome {
	last := a.ended[len(a.ended)-1]
	o := outcome{shard: a.shard, err: last.err, verdict: last.verdict}
	for _, u := range a.ended {
		if !u.verdict.IsNotRun() {
			o.verdict = verdict.MayHaveRun()
		}
		o.gone = o.gone || isGone(u.err)
	}
	return o
}

// untried reports whether a replica of the shard is left that was not asked.
func (a *asker) untried() bool {
	return int(a.shard) < len(a.snapshot.Replicas) && slices.ContainsFunc(a.snapshot.Replicas[a.shard],
		func(r leaf.Replica) bool { return !slices.Contains(a.tried, r.VM) })
}

// mayRetry decides on a retry after all calls of the shard have failed. While nothing was sent, another call is no extra
// load and needs no budget.
func (a *asker) mayRetry(ctx context.Context) bool {
	u := a.ended[len(a.ended)-1]
	if a.request.NonIdempotent || ctx.Err() != nil || u.vm == "" || a.sends >= maxSends || !a.untried() {
		return false
	}
	switch verdict.CodeOf(u.err) {
	case verdict.CodeNoOwner, verdict.CodeStale:
		return false
	}
	if isGone(u.err) && a.timeToRestart() {
		if _, ok := successorOf(a.Pool.Snapshots(a.request.Service), a.snapshot); ok {
			return false // the whole query restarts
		}
	}
	anySent := slices.ContainsFunc(a.ended, func(u update) bool { return u.sent })
	return !anySent || a.Retries.Allow(a.request.Service, a.profile.RetryBudget)
}

// call acquires a slot, records the intent of a request that must run at most once, and sends.
func (a *asker) call(ctx context.Context, k kind, exclude []string) (u update) {
	id := a.newCallID()
	alone, err := a.Guard.Enter(ctx, a.fingerprint, a.request.Service, id, a.shard)
	if err != nil {
		return unsent(err)
	}
	defer func() {
		if u.sent && verdict.CodeOf(u.err) == verdict.CodeSessionLost {
			a.Guard.SessionLost(id, u.vm) // before Leave, so that a retry is told to run alone
		}
		a.Guard.Leave(id, u.err == nil)
	}()
	if alone && k == hedge {
		return unsent(errNotHedged)
	}
	slot, err := a.Pool.Acquire(ctx, leaf.SlotRequest{Service: a.request.Service, Snapshot: a.snapshot.ID, Shard: a.shard,
		Priority: a.profile.Priority, Deadline: a.finish, Exclude: exclude, Immediate: k == hedge, Alone: alone})
	if err != nil {
		return unsent(err)
	}
	defer slot.Release()
	if k == hedge && !a.Hedges.Allow(a.request.Service, a.profile.HedgeBudget) {
		return unsent(errNotHedged)
	}
	if a.request.NonIdempotent {
		held, err := a.holdIntent()
		if err == nil {
			err = held.Check()
		}
		if err != nil {
			return unsent(err)
		}
	}
	return a.send(ctx, slot, k, id, alone)
}

// unsent ends a call before its send. A refused intent is the only such error that may have run: another attempt holds
// the request.
func unsent(err error) update { return update{err: err, verdict: verdict.Of(err)} }

func (a *asker) send(ctx context.Context, slot leaf.Slot, k kind, id string, alone bool) update {
	limit := time.Duration(cmp.Or(a.profile.LeafTimeout, config.Duration(config.MaxLeafTimeout)))
	timeout := min(limit, time.Until(a.finish))
	if timeout <= 0 || ctx.Err() != nil {
		return unsent(verdict.Refusef(verdict.CodeDeadline, "no time is left to ask shard %d", a.shard))
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
	a.updates <- update{started: true, vm: slot.VM(), hedgeAfter: a.hedgeDelay(slot, timeout, alone)}
	attempt := &verdict.Attempt{}
	a.sent.Add(1)
	reply, err := slot.Do(ctx, backend.Call{ID: id, Service: a.request.Service, Snapshot: a.snapshot.ID,
		Shard: a.shard, Payload: a.request.Payload, Timeout: timeout, Attempt: attempt})
	if err == nil && (reply.ID != id || reply.Snapshot != a.snapshot.ID || reply.Shard != a.shard) {
		a.metrics.mismatches.Inc(1)
		err = verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeInternal,
			"shard %d on %s: answer to call %s is for call %s, snapshot %s, shard %d", a.shard, slot.VM(), id, reply.ID,
			reply.Snapshot, reply.Shard)
	}
	if err == nil {
		return update{vm: slot.VM(), reply: reply, sent: true, verdict: verdict.Completed()}
	}
	u := update{vm: slot.VM(), err: err, sent: true}
	// Both the error and the attempt must say that the call did not run.
	if v := verdict.Of(err); v.IsNotRun() && attempt.Verdict().IsNotRun() {
		u.verdict = v
		u.sent = errors.Is(err, backend.ErrRefused) || isGone(err)
	}
	if !u.sent {
		a.sent.Add(-1)
	}
	return u
}

// hedgeDelay returns the time after which the call is hedged, 0 for never.
func (a *asker) hedgeDelay(slot leaf.Slot, timeout time.Duration, alone bool) time.Duration {
	if a.request.NonIdempotent || alone || a.profile.HedgeBudget <= 0 {
		return 0
	}
	if l := slot.Latency95(); l > 0 {
		return max(l, hedgeFloor)
	}
	return max(timeout/unknownHedgeShare, hedgeFloor)
}

func isGone(err error) bool {
	return errors.Is(err, backend.ErrSnapshotGone) || verdict.CodeOf(err) == verdict.CodeSnapshotGone
}
