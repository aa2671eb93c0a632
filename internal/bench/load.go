package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
)

// settleTime lets the last calls end on the leaves before their counts are read.
const settleTime = 200 * time.Millisecond

// runner runs one policy of an experiment.
type runner struct {
	*Experiment
	cluster *cluster
	start   time.Time // end of the warm-up
	queries sync.WaitGroup
}

// Run runs one policy of the experiment. It lasts for the warm-up, the duration and up to the longest deadline.
func (e *Experiment) Run(ctx context.Context, name string) (Result, error) {
	p, err := findPolicy(name)
	if err != nil {
		return Result{}, err
	}
	r := &runner{Experiment: e, cluster: newCluster(e, p)}
	if p.splitSlots {
		for _, g := range e.Services {
			if g.Slots > e.Nodes {
				return Result{}, fmt.Errorf("policy %q: service %q has %d slots, more than the %d nodes", name, g.Name, g.Slots, e.Nodes)
			}
		}
	}
	if err := r.cluster.start(ctx); err != nil {
		return Result{}, err
	}
	r.start = time.Now().Add(time.Duration(e.Warmup))
	stats := make([]*workloadStats, len(e.Workloads))
	var generators sync.WaitGroup
	for i, w := range e.Workloads {
		stats[i] = newWorkloadStats(e)
		generators.Go(func() { r.generate(ctx, i, w, stats[i]) })
	}
	var timers []*time.Timer
	for _, f := range e.Faults {
		timers = append(timers,
			time.AfterFunc(time.Until(r.start)+time.Duration(f.Out), func() { r.cluster.failZone(f) }),
			time.AfterFunc(time.Until(r.start)+time.Duration(f.Back), func() { r.cluster.restoreZone(f) }))
	}
	generators.Wait()
	r.queries.Wait()
	for _, t := range timers {
		t.Stop()
	}
	time.Sleep(settleTime)
	result := r.result(name, stats)
	r.cluster.stop()
	return result, ctx.Err()
}

// generate sends the queries of a workload at their intended times, without waiting for earlier ones (open loop).
func (r *runner) generate(ctx context.Context, index int, w Workload, stats *workloadStats) {
	random := rand.New(rand.NewPCG(r.Seed, uint64(index)))
	group, rate := r.group(w.Service), r.rate(w)
	sendOffset := -time.Duration(r.Warmup)
	for serial := 0; ; serial++ {
		currentRate := rate
		if sendOffset < 0 {
			currentRate *= r.WarmupLoad
		}
		sendOffset += time.Duration(random.ExpFloat64() / currentRate * 1e9)
		service := fmt.Sprintf("%s-%d", w.Service, random.IntN(group.Count))
		choice, forwarded := random.Uint32(), random.Float64() < r.Forwarded
		if sendOffset >= time.Duration(r.Duration) || !pause(ctx, time.Until(r.start.Add(sendOffset))) {
			return
		}
		q := &scheduledQuery{runner: r, workload: w, service: service, nodeChoice: int(choice), forwarded: forwarded,
			sendOffset: sendOffset, id: strconv.Itoa(index) + "-" + strconv.Itoa(serial)}
		r.queries.Go(func() { stats.add(q.run(ctx)) })
	}
}

// scheduledQuery is a query with its intended send time.
type scheduledQuery struct {
	*runner
	workload   Workload
	service    string
	id         string
	nodeChoice int // selects a node, modulo the number of candidates
	forwarded  bool
	sendOffset time.Duration // intended send time, from the end of the warm-up
}

// outcome is the result of a query as its caller sees it.
type outcome struct {
	sendOffset time.Duration
	latency    time.Duration // from the intended send time; at least the deadline for a failed query
	// complete means that every shard has a full answer, inTime that this answer came by the deadline.
	complete, inTime bool
	failureCode      verdict.Code // empty if there is an answer
	// coverage is from 0 to 1. It is 0 for a failed query, like shards and leafRequests.
	coverage             float64
	shards, leafRequests int
}

// ownerPoll is how often a query without an owner looks for one.
const ownerPoll = 20 * time.Millisecond

// node returns the node that runs the query, or nil while the service has no owner.
func (q *scheduledQuery) node() *node {
	var candidates []*node
	for _, n := range q.cluster.nodes {
		if !n.isOut() && n.CheckOwned(q.service) == nil && len(n.Leaves(q.service)) > 0 {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[q.nodeChoice%len(candidates)]
}

// run sends the query through the tier and returns what the caller sees.
func (q *scheduledQuery) run(ctx context.Context) outcome {
	profile := q.cluster.document.Profiles[q.workload.Profile]
	deadline := time.Duration(profile.Deadline)
	intendedStart := q.start.Add(q.sendOffset)
	callerLatency := time.Duration(q.Links.ToCallers)
	ctx, cancel := context.WithDeadline(ctx, intendedStart.Add(deadline))
	defer cancel()
	pause(ctx, callerLatency)
	n := q.node()
	for n == nil && pause(ctx, ownerPoll) {
		n = q.node()
	}
	o := outcome{sendOffset: q.sendOffset, failureCode: verdict.CodeNoOwner}
	if n != nil {
		var hop time.Duration
		if q.cluster.policy.owner && q.forwarded {
			hop = q.oneWay(q.cluster.zone(q.nodeChoice), n.vm.Zone)
		}
		pause(ctx, hop)
		answer, err := n.executor.Run(ctx, query.Request{Caller: "bench", ID: q.id, Service: q.service,
			Payload: []byte(q.id), Deadline: intendedStart.Add(deadline - callerLatency - hop)}, profile)
		time.Sleep(hop + callerLatency)
		o.failureCode = ""
		if err != nil {
			o.failureCode = verdict.CodeOf(err)
		} else {
			o.coverage, o.shards = answer.Coverage.Covered/float64(answer.Coverage.Total), int(answer.Coverage.Total)
			o.leafRequests = int(answer.LeafRequests)
			o.complete = answer.Coverage.Complete()
		}
	}
	o.latency = time.Since(intendedStart)
	if o.failureCode != "" {
		o.latency = max(o.latency, deadline)
	}
	o.inTime = o.complete && o.latency <= deadline
	return o
}
