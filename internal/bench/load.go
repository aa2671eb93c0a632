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

// settleTime lets the last calls end on their leaves before the counts are read.
const settleTime = 200 * time.Millisecond

// runner runs one policy of an experiment.
type runner struct {
	*Experiment
	cluster *cluster
	start   time.Time // end of the warm-up
	queries sync.WaitGroup
}

// Run runs one policy of the experiment. It takes the warm-up, the duration and the longest deadline.
func (e *Experiment) Run(ctx context.Context, name string) (Result, error) {
	p, err := findPolicy(name)
	if err != nil {
		return Result{}, err
	}
	r := &runner{Experiment: e, cluster: newCluster(e, p)}
	if p.split {
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
	tallies := make([]*tallyOf, len(e.Workloads))
	var generators sync.WaitGroup
	for i, w := range e.Workloads {
		tallies[i] = newTally(e)
		generators.Go(func() { r.generate(ctx, i, w, tallies[i]) })
	}
	var timers []*time.Timer
	for _, f := range e.Faults {
		timers = append(timers,
			time.AfterFunc(time.Until(r.start)+time.Duration(f.Out), func() { r.cluster.zoneOut(f) }),
			time.AfterFunc(time.Until(r.start)+time.Duration(f.Back), func() { r.cluster.zoneBack(f) }))
	}
	generators.Wait()
	r.queries.Wait()
	for _, t := range timers {
		t.Stop()
	}
	time.Sleep(settleTime)
	result := r.result(name, tallies)
	r.cluster.stop()
	return result, ctx.Err()
}

// generate sends the queries of a workload at their intended times, whatever becomes of earlier ones.
func (r *runner) generate(ctx context.Context, index int, w Workload, t *tallyOf) {
	random := rand.New(rand.NewPCG(r.Seed, uint64(index)))
	group, rate := r.group(w.Service), r.rate(w)
	at := -time.Duration(r.Warmup)
	for serial := 0; ; serial++ {
		now := rate
		if at < 0 {
			now *= r.WarmupLoad
		}
		at += time.Duration(random.ExpFloat64() / now * 1e9)
		service := fmt.Sprintf("%s-%d", w.Service, random.IntN(group.Count))
		choice, forwarded := random.Uint32(), random.Float64() < r.Forwarded
		if at >= time.Duration(r.Duration) || !pause(ctx, time.Until(r.start.Add(at))) {
			return
		}
		q := &sent{runner: r, workload: w, service: service, choice: int(choice), forwarded: forwarded, at: at,
			id: strconv.Itoa(index) + "-" + strconv.Itoa(serial)}
		r.queries.Go(func() { t.add(q.run(ctx)) })
	}
}

// sent is one query.
type sent struct {
	*runner
	workload  Workload
	service   string
	id        string
	choice    int // picks the node
	forwarded bool
	at        time.Duration // intended time, from the end of the warm-up
}

// outcome is what a caller saw of one query.
type outcome struct {
	at      time.Duration
	latency time.Duration // from the intended time; of a failed query at least its deadline
	// complete says that every shard was answered whole; inTime that this was by the deadline too.
	complete, inTime bool
	failed           verdict.Code // empty for an answer
	// coverage is 0 to 1; shards and leafRequests are 0 for a failed query.
	coverage             float64
	shards, leafRequests int
}

// ownerPoll is the interval at which an entry node looks for an owner.
const ownerPoll = 20 * time.Millisecond

// node returns where the query runs; nil while the service has no owner.
func (q *sent) node() *node {
	var able []*node
	for _, n := range q.cluster.nodes {
		if !n.isOut() && n.CheckOwned(q.service) == nil && len(n.Leaves(q.service)) > 0 {
			able = append(able, n)
		}
	}
	if len(able) == 0 {
		return nil
	}
	return able[q.choice%len(able)]
}

// run takes the query through the nodes and back to the caller.
func (q *sent) run(ctx context.Context) outcome {
	profile := q.cluster.document.Profiles[q.workload.Profile]
	deadline := time.Duration(profile.Deadline)
	intended := q.start.Add(q.at)
	back := time.Duration(q.Links.ToCallers)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(deadline))
	defer cancel()
	pause(ctx, back)
	n := q.node()
	for n == nil && pause(ctx, ownerPoll) {
		n = q.node()
	}
	o := outcome{at: q.at, failed: verdict.CodeNoOwner}
	if n != nil {
		var hop time.Duration
		if q.cluster.policy.owner && q.forwarded {
			hop = q.oneWay(q.cluster.zone(q.choice), n.vm.Zone)
		}
		pause(ctx, hop)
		answer, err := n.executor.Run(ctx, query.Request{Caller: "bench", ID: q.id, Service: q.service,
			Payload: []byte(q.id), Deadline: intended.Add(deadline - back - hop)}, profile)
		time.Sleep(hop + back)
		o.failed = ""
		if err != nil {
			o.failed = verdict.CodeOf(err)
		} else {
			o.coverage, o.shards = answer.Coverage.Covered/float64(answer.Coverage.Total), int(answer.Coverage.Total)
			o.leafRequests = int(answer.LeafRequests)
			o.complete = answer.Coverage.Complete()
		}
	}
	o.latency = time.Since(intended)
	if o.failed != "" {
		o.latency = max(o.latency, deadline)
	}
	o.inTime = o.complete && o.latency <= deadline
	return o
}
