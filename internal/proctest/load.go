package proctest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load describes an open-loop load. Callers send queries at a fixed rate, whether or not earlier ones are answered.
type Load struct {
	Service string
	Profile string
	// Rate is the mean number of queries per second. The times between queries are exponentially distributed.
	Rate float64
	// Timeout is how long a caller waits for one query, including all its attempts.
	Timeout time.Duration
	// MaxAttempts bounds how often a query is sent while nodes answer that it did not run. 0 means 1.
	MaxAttempts int
	// Shards limits the queries to these shards. Empty means all shards.
	Shards        []uint32
	NonIdempotent bool
	// ResendAll makes callers also resend queries that may have run, with the same identifier.
	ResendAll bool
	// PayloadPrefix is the prefix of each payload.
	PayloadPrefix string
	// Nodes limits the addresses that callers use. Empty means the addresses that nodes return.
	Nodes []*Node
	// Seed determines the times of the queries and the order of addresses.
	Seed uint64
}

// LoadRun is a running load.
type LoadRun struct {
	cluster *Cluster
	load    Load
	locator *locator
	stop    chan struct{}
	done    chan struct{}
	name    string

	mu       sync.Mutex
	attempts []Attempt
	requests []Request
}

// Request is one query with all its attempts.
type Request struct {
	ID string
	// Start is when the query was due.
	Start, End time.Time
	Attempts   int
	// Last is the last attempt of the query.
	Last Attempt
}

// Latency is the time from when the query was due until the end of its last attempt.
func (r *Request) Latency() time.Duration { return r.End.Sub(r.Start) }

// StartLoad starts the callers of a load. They run until Stop or the end of the test.
func (c *Cluster) StartLoad(l Load) *LoadRun {
	c.mu.Lock()
	c.lastID++
	name := fmt.Sprintf("load%d", c.lastID)
	c.mu.Unlock()
	r := &LoadRun{cluster: c, load: l, locator: &locator{service: l.Service}, stop: make(chan struct{}), done: make(chan struct{}), name: name}
	nodes := l.Nodes
	if len(nodes) == 0 {
		nodes = c.RunningNodes()
	}
	for _, n := range nodes {
		r.locator.known = append(r.locator.known, n.VM.CallerAddress)
	}
	if len(l.Nodes) > 0 {
		r.locator.expires = time.Now().Add(time.Hour) // only the given nodes are used
	}
	go r.sendQueries()
	c.t.Cleanup(func() { r.Stop() })
	return r
}

// sendQueries starts each query at the time it is due.
func (r *LoadRun) sendQueries() {
	defer close(r.done)
	random := rand.New(rand.NewPCG(r.load.Seed, 1))
	var queries sync.WaitGroup
	defer queries.Wait()
	due := time.Now()
	for i := 0; ; i++ {
		due = due.Add(time.Duration(random.ExpFloat64() / r.load.Rate * float64(time.Second)))
		select {
		case <-r.stop:
			return
		case <-time.After(time.Until(due)):
		}
		start, firstAddress := due, random.IntN(len(r.locator.known))
		queries.Go(func() { r.query(fmt.Sprintf("%s-%d", r.name, i), start, firstAddress) })
	}
}

// retryPause is the pause before the next attempt. It gives the state that caused a refusal time to change.
const retryPause = 20 * time.Millisecond

// query sends one query and resends it while nodes answer that it did not run.
func (r *LoadRun) query(id string, start time.Time, firstAddress int) {
	ctx := context.Background()
	deadline := start.Add(r.load.Timeout)
	request := Request{ID: id, Start: start}
	for request.Attempts < max(1, r.load.MaxAttempts) {
		remaining := time.Until(deadline)
		if remaining < time.Millisecond {
			break
		}
		addresses := r.locator.addresses(ctx)
		if len(r.load.Nodes) > 0 {
			addresses = slices.Concat(addresses[firstAddress:], addresses[:firstAddress])
		}
		a := SendQuery(ctx, addresses[request.Attempts%len(addresses)], r.newQuery(id, request.Attempts), remaining)
		request.Attempts++
		request.Last = a
		r.recordAttempt(a)
		if a.Answer != nil || (a.Verdict != NotRun && !r.load.ResendAll) {
			break
		}
		r.locator.invalidate()
		time.Sleep(retryPause)
	}
	request.End = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
}

// newQuery returns the query for an attempt. Its payload contains the attempt's number, so that the leaves' logs
// distinguish the attempts.
func (r *LoadRun) newQuery(id string, attempt int) Query {
	requestID := id
	if !r.load.NonIdempotent {
		requestID = fmt.Sprintf("%s.%d", id, attempt)
	}
	return Query{Caller: "caller-" + r.name, ID: requestID, Service: r.load.Service, Profile: r.load.Profile, Shards: r.load.Shards,
		Payload: fmt.Appendf(nil, "%s%s.%d", r.load.PayloadPrefix, id, attempt), NonIdempotent: r.load.NonIdempotent}
}

func (r *LoadRun) recordAttempt(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// Stop ends the sending of queries and waits for those in flight.
func (r *LoadRun) Stop() {
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
	<-r.done
}

// Attempts returns all attempts so far.
func (r *LoadRun) Attempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.attempts)
}

// Requests returns the finished requests so far, ordered by start time.
func (r *LoadRun) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	sorted := slices.Clone(r.requests)
	slices.SortFunc(sorted, func(a, b Request) int { return a.Start.Compare(b.Start) })
	return sorted
}

// Summary counts the outcomes of a load's requests.
type Summary struct {
	Requests, Complete, Partial, NotRun, MayHaveRun int
	// P50, P95 and P99 are latency percentiles of the answered requests, measured from when they were due.
	P50, P95, P99 time.Duration
	// LeafRequests is the number of requests to leaves that the answers report.
	LeafRequests int
	// Outage is the longest time in which requests were due and none of them was answered completely.
	Outage time.Duration
	// Codes counts the error codes of the requests' last attempts.
	Codes map[string]int
}

// maxLatency is the longest latency that the histogram records. Longer ones are recorded as maxLatency.
const maxLatency = int64(2 * time.Minute)

// Summary summarizes the finished requests.
func (r *LoadRun) Summary() Summary {
	s := Summary{Codes: map[string]int{}}
	latencies := hdrhistogram.New(1, maxLatency, 3)
	var failingSince time.Time
	for _, q := range r.Requests() {
		s.Requests++
		s.add(q)
		if q.Last.Answer != nil {
			_ = latencies.RecordValue(min(int64(q.Latency()), maxLatency))
		}
		switch {
		case q.Last.Complete():
			failingSince = time.Time{}
		case failingSince.IsZero():
			failingSince = q.Start
		}
		if !failingSince.IsZero() {
			s.Outage = max(s.Outage, q.End.Sub(failingSince))
		}
	}
	quantile := func(p float64) time.Duration { return time.Duration(latencies.ValueAtPercentile(p)) }
	s.P50, s.P95, s.P99 = quantile(50), quantile(95), quantile(99)
	return s
}

func (s *Summary) add(q Request) {
	switch {
	case q.Last.Complete():
		s.Complete++
	case q.Last.Answer != nil:
		s.Partial++
	case q.Last.Verdict == NotRun:
		s.NotRun++
	default:
		s.MayHaveRun++
	}
	if q.Last.Answer != nil {
		s.LeafRequests += q.Last.Answer.LeafRequests
	} else {
		s.Codes[q.Last.Code]++
	}
}

// String returns the summary on one line.
func (s Summary) String() string {
	var codes []string
	for code, n := range s.Codes {
		codes = append(codes, fmt.Sprintf("%s %d", code, n))
	}
	slices.Sort(codes)
	return fmt.Sprintf("%d requests: %d complete, %d partial, %d not run, %d may have run; p50 %v, p95 %v, p99 %v; %d leaf requests; longest time without a complete answer %v; errors: %s",
		s.Requests, s.Complete, s.Partial, s.NotRun, s.MayHaveRun, s.P50, s.P95, s.P99, s.LeafRequests, s.Outage, strings.Join(codes, ", "))
}
