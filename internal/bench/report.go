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

// Result holds the measurements of one policy.
type Result struct {
	Experiment string           `json:"experiment"`
	Seed       uint64           `json:"seed"`
	Policy     string           `json:"policy"`
	Workloads  []WorkloadResult `json:"workloads"`
	Leaves     []LeafResult     `json:"leaves"`
}

// WorkloadResult holds the figures of a workload for the phases before, during and after the fault and for each second.
type WorkloadResult struct {
	Name    string               `json:"name"`
	Phases  []Figures            `json:"phases"`
	Seconds []Figures            `json:"seconds"`
	Failed  map[verdict.Code]int `json:"failed"`
}

// Figures summarizes the queries whose intended send time is in an interval. Latencies are measured at the caller from
// the intended send time. A failed query counts with at least its deadline.
type Figures struct {
	Name    string  `json:"name"`
	Queries int     `json:"queries"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
	P999Ms  float64 `json:"p99_9_ms"`
	// InTime is the percentage of queries with a complete answer by the deadline. Coverage is the mean coverage in
	// percent. Failed queries count as 0.
	InTime   float64 `json:"in_time_percent"`
	Coverage float64 `json:"coverage_percent"`
	// ExtraLeafRequests is the number of leaf requests beyond one for each shard, in percent of the number of shards. Only
	// complete answers count.
	ExtraLeafRequests float64 `json:"extra_leaf_requests_percent"`
}

// LeafResult holds the counts of the leaves of a service group. HighestWarm and HighestCold are the most calls that one
// leaf had at once when warm and when cold. OverLimit counts the calls that reached a leaf above its limit.
type LeafResult struct {
	Service   string `json:"service"`
	Slots     int    `json:"slots"`
	ColdSlots int    `json:"cold_slots"`
	Calls     int    `json:"calls"`
	// Stopped counts the calls that were stopped by a timeout or a cancellation after the leaf had begun them.
	Stopped     int `json:"stopped"`
	HighestWarm int `json:"highest_warm"`
	HighestCold int `json:"highest_cold"`
	OverLimit   int `json:"over_limit"`
}

const (
	maxLatency        = 60 * time.Second
	significantDigits = 3
)

// intervalStats accumulates the outcomes of an interval.
type intervalStats struct {
	name                                   string
	latency                                *hdrhistogram.Histogram // microseconds
	queries, inTime, shards, extraRequests int
	coverage                               float64
}

func newIntervalStats(name string) *intervalStats {
	return &intervalStats{name: name, latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

func (s *intervalStats) add(o outcome) {
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

func (s *intervalStats) figures() Figures {
	quantile := func(q float64) float64 { return float64(s.latency.ValueAtQuantile(q)) / 1e3 }
	n, shards := float64(max(s.queries, 1)), float64(max(s.shards, 1))
	return Figures{Name: s.name, Queries: s.queries, P50Ms: quantile(50), P99Ms: quantile(99), P999Ms: quantile(99.9),
		InTime: 100 * float64(s.inTime) / n, Coverage: 100 * s.coverage / n,
		ExtraLeafRequests: 100 * float64(s.extraRequests) / shards}
}

// workloadStats accumulates the outcomes of a workload.
type workloadStats struct {
	mu        sync.Mutex
	phaseEnds []time.Duration
	phases    []*intervalStats
	seconds   []*intervalStats
	failed    map[verdict.Code]int
}

// newWorkloadStats splits the duration into phases at the start and the end of the first fault. The steady phase ends
// earlier by the longest deadline, because the fault may affect queries that are in flight when it begins.
func newWorkloadStats(e *Experiment) *workloadStats {
	s := &workloadStats{failed: map[verdict.Code]int{}, phaseEnds: []time.Duration{time.Duration(e.Duration)},
		phases: []*intervalStats{newIntervalStats("steady")}}
	if len(e.Faults) > 0 {
		f := e.Faults[0]
		var longestDeadline config.Duration
		for _, p := range e.Profiles {
			longestDeadline = max(longestDeadline, p.Deadline)
		}
		s.phaseEnds = []time.Duration{time.Duration(f.Out - longestDeadline), time.Duration(f.Back), time.Duration(e.Duration)}
		s.phases = append(s.phases, newIntervalStats("zone out"), newIntervalStats("back"))
	}
	for i := range int((time.Duration(e.Duration) + time.Second - 1) / time.Second) {
		s.seconds = append(s.seconds, newIntervalStats(fmt.Sprint(i)))
	}
	return s
}

func (s *workloadStats) add(o outcome) {
	if o.sendOffset < 0 {
		return // warm-up
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	phase := 0
	for o.sendOffset >= s.phaseEnds[phase] {
		phase++
	}
	s.phases[phase].add(o)
	s.seconds[o.sendOffset/time.Second].add(o)
	if o.failureCode != "" {
		s.failed[o.failureCode]++
	}
}

func figuresOf(intervals []*intervalStats) []Figures {
	var all []Figures
	for _, s := range intervals {
		all = append(all, s.figures())
	}
	return all
}

func (r *runner) result(policy string, stats []*workloadStats) Result {
	result := Result{Experiment: r.Name, Seed: r.Seed, Policy: policy}
	for i, s := range stats {
		result.Workloads = append(result.Workloads, WorkloadResult{Name: r.Workloads[i].Name, Phases: figuresOf(s.phases),
			Seconds: figuresOf(s.seconds), Failed: s.failed})
	}
	for _, g := range r.Services {
		l := LeafResult{Service: g.Name, Slots: g.Slots, ColdSlots: g.ColdSlots}
		for i := range g.Count {
			for _, id := range r.cluster.services[fmt.Sprintf("%s-%d", g.Name, i)] {
				s := r.cluster.servers[id]
				l.Stopped += s.Counters().Stopped
				s.mu.Lock()
				l.Calls += s.counts.calls
				l.OverLimit += s.counts.overLimit
				l.HighestWarm = max(l.HighestWarm, s.counts.highestWarm)
				l.HighestCold = max(l.HighestCold, s.counts.highestCold)
				s.mu.Unlock()
			}
		}
		result.Leaves = append(result.Leaves, l)
	}
	return result
}

// WriteTable writes the results as a text table. If seconds is set, it includes the figures of each second.
func WriteTable(w io.Writer, results []Result, seconds bool) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workload\tpolicy\tphase\tqueries\tp50 ms\tp99 ms\tp99.9 ms\tin time %\tcoverage %\textra %\t")
	for _, r := range results {
		for _, wl := range r.Workloads {
			rows := wl.Phases
			if seconds {
				rows = append(rows[:len(rows):len(rows)], wl.Seconds...)
			}
			for _, f := range rows {
				fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t\n", wl.Name, r.Policy, f.Name, f.Queries,
					f.P50Ms, f.P99Ms, f.P999Ms, f.InTime, f.Coverage, f.ExtraLeafRequests)
			}
		}
	}
	fmt.Fprintln(table, "\nservice\tpolicy\tslots\thighest warm\tcold slots\thighest cold\tcalls\tstopped\tover limit\t")
	for _, r := range results {
		for _, l := range r.Leaves {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", l.Service, r.Policy, l.Slots, l.HighestWarm, l.ColdSlots,
				l.HighestCold, l.Calls, l.Stopped, l.OverLimit)
		}
	}
	return table.Flush()
}
