package fanout

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cyclamenstream/api/leaf"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
)

// outcome is the result of querying one shard.
type outcome struct {
	shard        uint32
	result       *query.ShardResult // nil if no leaf has answered
	verdict      verdict.Verdict
	err          error
	snapshotGone bool // a leaf that was asked does not hold the snapshot
}

// pass is one execution of a query on one snapshot.
type pass struct {
	*run
	snapshot leaf.Snapshot
	shards   []uint32
	began    time.Time

	results      []query.ShardResult
	failures     []outcome
	pending      int // shards without an outcome
	resultBytes  int
	snapshotGone bool
	next         *leaf.Snapshot // the snapshot on which the query restarts; nil unless this pass was abandoned for it
}

// execute queries all shards. It returns when each shard has an outcome, the time is up, the answer is too large, or
// the query is to restart on a newer snapshot.
func (p *pass) execute() {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	outcomes := make(chan outcome, len(p.shards)) // buffered, so that late outcomes block no goroutine
	for _, shard := range p.shards {
		go func() { outcomes <- p.queryShard(ctx, shard) }()
	}
	p.pending = len(p.shards)
	recheck := time.NewTicker(snapshotPollInterval) // a newer snapshot may be reported while a straggler runs
	defer recheck.Stop()
	for p.pending > 0 {
		select {
		case o := <-outcomes:
			p.collect(o)
			if o.snapshotGone {
				p.findSuccessor()
			}
		case <-recheck.C:
			p.findSuccessor()
		case <-ctx.Done():
			p.drain(outcomes)
			return
		}
		if p.next != nil || p.tooLarge() {
			cancel()
			p.drain(outcomes)
			return
		}
	}
}

// drain collects the outcomes of calls that were just cancelled. A shard that is still pending after drainTimeout may
// have run.
func (p *pass) drain(outcomes <-chan outcome) {
	timer := time.NewTimer(p.drainTimeout)
	defer timer.Stop()
	for p.pending > 0 {
		select {
		case o := <-outcomes:
			p.collect(o)
		case <-timer.C:
			return
		}
	}
}

func (p *pass) collect(o outcome) {
	p.pending--
	if o.result == nil {
		p.failures = append(p.failures, o)
		p.snapshotGone = p.snapshotGone || o.snapshotGone
		return
	}
	p.resultBytes += len(o.result.Data)
	p.results = append(p.results, *o.result)
}

func (p *pass) tooLarge() bool { return p.resultBytes > p.maxBytes() }

func (p *pass) maxBytes() int { return cmp.Or(p.profile.MaxResultBytes, DefaultMaxResultBytes) }

// hasTimeToRestart reports whether at least as much time is left as this pass has taken.
func (p *pass) hasTimeToRestart() bool {
	return p.ctx.Err() == nil && time.Until(p.executionDeadline) >= time.Since(p.began)
}

// findSuccessor looks for a snapshot on which the query is to restart. A request that must run at most once never
// restarts.
func (p *pass) findSuccessor() {
	if !p.snapshotGone || p.request.NonIdempotent || p.tooLarge() || !p.hasTimeToRestart() {
		return
	}
	if s, ok := successorOf(p.Pool.Snapshots(p.request.Service), p.snapshot); ok {
		p.next = &s
	}
}

// awaitSuccessor returns the snapshot on which the query restarts, or nil. While there is time for a restart, it waits
// for the leaves to report a newer snapshot.
func (p *pass) awaitSuccessor() *leaf.Snapshot {
	for p.next == nil && p.snapshotGone && !p.request.NonIdempotent && !p.tooLarge() && p.hasTimeToRestart() {
		sleep(p.ctx, snapshotPollInterval)
		p.findSuccessor()
	}
	return p.next
}

// notRun reports whether no shard of this pass can have run the request.
func (p *pass) notRun() bool {
	return p.pending == 0 && len(p.results) == 0 &&
		!slices.ContainsFunc(p.failures, func(o outcome) bool { return !o.verdict.IsNotRun() })
}

// mergedVerdict returns the verdict over all shards of all passes. A request is completed only if every shard of the
// last pass has answered.
func (p *pass) mergedVerdict() verdict.Verdict {
	switch {
	case len(p.results) == len(p.shards):
		return verdict.Completed()
	case p.notRun() && !p.mayHaveRun:
		return p.failures[0].verdict
	default:
		return verdict.MayHaveRun()
	}
}

// finishQuery turns the pass into the query's answer or error.
func (p *pass) finishQuery() (query.Answer, error) {
	v := p.mergedVerdict()
	p.endIntent(v.IsNotRun())
	if p.tooLarge() {
		return query.Answer{}, verdict.WithVerdict(v, verdict.CodeTooLarge,
			"the answer is larger than the %d bytes that the profile allows", p.maxBytes())
	}
	slices.SortFunc(p.results, func(a, b query.ShardResult) int { return cmp.Compare(a.Shard, b.Shard) })
	answer := query.Answer{RequestID: p.request.ID, Service: p.request.Service, Snapshot: p.snapshot.ID,
		Coverage: p.coverage(), Results: p.results, Verdict: v, LeafRequests: uint32(p.leafRequests.Load()), Node: p.Node}
	if len(p.results) == 0 || answer.Coverage.Percent() < p.profile.LeastCoverage || p.shouldRerunOnNextOwner() {
		return query.Answer{}, p.coverageError(v, answer.Coverage)
	}
	return answer, nil
}

// shouldRerunOnNextOwner reports whether the service's next owner is to run the query again, instead of this node
// returning a partial answer. That is so if this node has lost the service during the query, as in a planned handover,
// and there is time to run the query again.
func (p *pass) shouldRerunOnNextOwner() bool {
	return !p.request.NonIdempotent && p.hasTimeToRestart() && slices.ContainsFunc(p.failures, func(o outcome) bool {
		return verdict.CodeOf(o.err) == verdict.CodeNoOwner
	})
}

// coverage returns the coverage of the queried shards of the pinned snapshot. The results must be in ascending order.
func (p *pass) coverage() query.Coverage {
	c := query.Coverage{Total: uint32(len(p.shards))}
	next := 0
	for _, shard := range p.shards {
		if next < len(p.results) && p.results[next].Shard == shard {
			c.Covered += p.results[next].Covered
			next++
			continue
		}
		c.Missing = append(c.Missing, shard)
	}
	return c
}

// coverageError returns the error of a query whose coverage is too low. Causes that concern the whole request keep
// their code, and so does a cause that all shards share. A lost leaf session does not keep its code, because that code
// means to the entry node that the owner is lost, and the entry node would send the query again.
func (p *pass) coverageError(v verdict.Verdict, c query.Coverage) error {
	code, reason := verdict.CodeCoverage, "no leaf answered in time"
	if len(p.failures) > 0 {
		reason = verdict.Message(p.failures[0].err)
	}
	sameCause := len(p.failures) == len(p.shards)
	for _, o := range p.failures {
		switch cause := verdict.CodeOf(o.err); cause {
		case verdict.CodeNoOwner, verdict.CodeStale, verdict.CodeDuplicate, verdict.CodeStoreDown,
			verdict.CodeQuarantined:
			return verdict.WithVerdict(v, cause, "%s", verdict.Message(o.err))
		default:
			sameCause = sameCause && cause == verdict.CodeOf(p.failures[0].err) && cause != verdict.CodeSessionLost
		}
	}
	if sameCause {
		code = verdict.CodeOf(p.failures[0].err)
	}
	return verdict.WithVerdict(v, code, "coverage %.2f%% of %d shards is below %.2f%%: %s", c.Percent(), c.Total,
		p.profile.LeastCoverage, reason)
}
