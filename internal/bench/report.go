package bench

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenstream/api/config"
	"cyclamenstream/api/verdict"
)

// Result is what one policy gave.
type Result struct {
	Experiment string           `json:"experiment"`
	Seed       uint64           `json:"seed"`
	Policy     string           `json:"policy"`
	Workloads  []WorkloadResult `json:"workloads"`
	Leaves     []LeafResult     `json:"leaves"`
}

// WorkloadResult holds the figures of a workload over the times before, during and after the faults and for each second.
type WorkloadResult struct {
	Name    string               `json:"name"`
	Phases  []Figures            `json:"phases"`
	Seconds []Figures            `json:"seconds"`
	Failed  map[verdict.Code]int `json:"failed"`
}

// Figures are of the queries whose intended send time is in an interval. Latencies are those at the caller, from the
// intended send time; a failed query counts with at least its deadline.
type Figures struct {
	Name    string  `json:"name"`
	Queries int     `json:"queries"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
	P999Ms  float64 `json:"p99_9_ms"`
	// InTime is the percentage of queries with a complete answer by the deadline; Coverage the mean coverage in percent,
	// 0 for failed queries.
	InTime   float64 `json:"in_time_percent"`
	Coverage float64 `json:"coverage_percent"`
	// Extra is the number of leaf requests beyond one for each shard, in percent of those, over the complete answers.
	Extra float64 `json:"extra_leaf_requests_percent"`
}

// LeafResult is what the leaves of a group of services counted: the most calls that one had at once when warm and when
// cold, and the calls that came on top of what a leaf bears.
type LeafResult struct {
	Service   string `json:"service"`
	Slots     int    `json:"slots"`
	ColdSlots int    `json:"cold_slots"`
	Calls     int    `json:"calls"`
	// Stopped counts the calls that the leaves began and that were stopped by a timeout or a cancellation.
	Stopped     int `json:"stopped"`
	HighestWarm int `json:"highest_warm"`
	HighestCold int `json:"highest_cold"`
	Over        int `json:"over_limit"`
}

const (
	maxLatency = 60 * time.Second
	digits     = 3
)

// sum adds up the outcomes of an interval.
type sum struct {
	name                                   string
	latency                                *hdrhistogram.Histogram // microseconds
	queries, inTime, shards, extraRequests int
	coverage                               float64
}

func newSum(name string) *sum {
	return &sum{name: name, latency: hdrhistogram.New(1, maxLatency.Microseconds(), digits)}
}

func (s *sum) add(o outcome) {
	_ = s.latency.RecordValue(min(o.latency, maxLatency).Microseconds()) // in range
	s.queries++
	if o.inTime {
		s.inTime++
	}
	s.coverage += o.coverage
	if o.complete {
		s.shards += o.shards
		s.extraRequests += o.leafRequests - o.shards
	}
}

func (s *sum) figures() Figures {
	quantile := func(q float64) float64 { return float64(s.latency.ValueAtQuantile(q)) / 1e3 }
	n, shards := float64(max(s.queries, 1)), float64(max(s.shards, 1))
	return Figures{Name: s.name, Queries: s.queries, P50Ms: quantile(50), P99Ms: quantile(99), P999Ms: quantile(99.9),
		InTime: 100 * float64(s.inTime) / n, Coverage: 100 * s.coverage / n, Extra: 100 * float64(s.extraRequests) / shards}
}

// tallyOf adds up the outcomes of a workload.
type tallyOf struct {
	mu      sync.Mutex
	ends    []time.Duration // of the phases
	phases  []*sum
	seconds []*sum
	failed  map[verdict.Code]int
}

// newTally splits the duration at the first fault's begin and end. The queries that the fault may meet under way, sent
// less than the longest deadline before it, do not count as steady.
func newTally(e *Experiment) *tallyOf {
	t := &tallyOf{failed: map[verdict.Code]int{}, ends: []time.Duration{time.Duration(e.Duration)},
		phases: []*sum{newSum("steady")}}
	if len(e.Faults) > 0 {
		f := e.Faults[0]
		var longest config.Duration
		for _, p := range e.Profiles {
			longest = max(longest, p.Deadline)
		}
		t.ends = []time.Duration{time.Duration(f.Out - longest), time.Duration(f.Back), time.Duration(e.Duration)}
		t.phases = append(t.phases, newSum("zone out"), newSum("back"))
	}
	for i := range int((time.Duration(e.Duration) + time.Second - 1) / time.Second) {
		t.seconds = append(t.seconds, newSum(fmt.Sprint(i)))
	}
	return t
}

func (t *tallyOf) add(o outcome) {
	if o.at < 0 {
		return // warm-up
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	phase := 0
	for o.at >= t.ends[phase] {
		phase++
	}
	t.phases[phase].add(o)
	t.seconds[o.at/time.Second].add(o)
	if o.failed != "" {
		t.failed[o.failed]++
	}
}

func figuresOf(sums []*sum) []Figures {
	var all []Figures
	for _, s := range sums {
		all = append(all, s.figures())
	}
	return all
}

func (r *runner) result(policy string, tallies []*tallyOf) Result {
	result := Result{Experiment: r.Name, Seed: r.Seed, Policy: policy}
	for i, t := range tallies {
		result.Workloads = append(result.Workloads, WorkloadResult{Name: r.Workloads[i].Name, Phases: figuresOf(t.phases),
			Seconds: figuresOf(t.seconds), Failed: t.failed})
	}
	for _, g := range r.Services {
		l := LeafResult{Service: g.Name, Slots: g.Slots, ColdSlots: g.ColdSlots}
		for i := range g.Count {
			for _, id := range r.cluster.services[fmt.Sprintf("%s-%d", g.Name, i)] {
				s := r.cluster.servers[id]
				l.Stopped += s.Counters().Stopped
				s.mu.Lock()
				l.Calls += s.counts.calls
				l.Over += s.counts.over
				l.HighestWarm = max(l.HighestWarm, s.counts.highestWarm)
				l.HighestCold = max(l.HighestCold, s.counts.highestCold)
				s.mu.Unlock()
			}
		}
		result.Leaves = append(result.Leaves, l)
	}
	return result
}

// Table writes the results as text. With seconds it adds the figures of each second.
func Table(w io.Writer, results []Result, seconds bool) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "workload\tpolicy\tphase\tqueries\tp50 ms\tp99 ms\tp99.9 ms\tin time %\tcoverage %\textra %\t")
	for _, r := range results {
		for _, wl := range r.Workloads {
			rows := wl.Phases
			if seconds {
				rows = append(rows[:len(rows):len(rows)], wl.Seconds...)
			}
			for _, f := range rows {
				fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t\n", wl.Name, r.Policy, f.Name, f.Queries,
					f.P50Ms, f.P99Ms, f.P999Ms, f.InTime, f.Coverage, f.Extra)
			}
		}
	}
	fmt.Fprintln(out, "\nservice\tpolicy\tslots\thighest warm\tcold slots\thighest cold\tcalls\tstopped\tover limit\t")
	for _, r := range results {
		for _, l := range r.Leaves {
			fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", l.Service, r.Policy, l.Slots, l.HighestWarm, l.ColdSlots,
				l.HighestCold, l.Calls, l.Stopped, l.Over)
		}
	}
	return out.Flush()
}
