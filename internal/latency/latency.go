// Package latency estimates quantiles of recent latencies. Recording is spread over shards so that concurrent calls
// rarely meet on a lock; readers load precomputed values.
package latency

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Window is the time after which a histogram is rotated: an estimate covers the last one to two windows.
	Window = 10 * time.Second
	// MinSamples is the number of latencies below which no estimate is given.
	MinSamples = 20

	// unit is the resolution of a histogram; maxValue is the largest latency it holds: leaf timeouts are at most 2 s.
	unit     = 10 * time.Microsecond
	maxValue = 10 * time.Second
	// digits is the number of significant decimal digits: about 14 KiB for each histogram, two for each shard.
	digits = 2
	shards = 4
	// refreshEvery bounds the cost of the merge of all histograms, which takes some ten microseconds.
	refreshEvery = 100 * time.Millisecond
	// refreshSamples makes the first estimates available before refreshEvery has passed.
	refreshSamples = MinSamples
)

// Estimate is a set of quantiles of recent latencies; all are 0 while fewer than MinSamples are known.
type Estimate struct {
	P50, P95 time.Duration
	Samples  int64

	at time.Time
}

// Estimator estimates quantiles over a sliding window. It is safe for concurrent use.
type Estimator struct {
	now      func() time.Time
	shards   [shards]shard
	estimate atomic.Pointer[Estimate]
	fresh    atomic.Int64 // latencies recorded since the last refresh
	refresh  sync.Mutex
}

type shard struct {
	mu            sync.Mutex
	current, last *hdrhistogram.Histogram
	rotated       time.Time
	_             [64]byte // keeps the locks of neighbouring shards on different cache lines
}

// New returns an empty estimator that reads the time from now.
func New(now func() time.Time) *Estimator {
	s := &Estimator{now: now}
	for i := range s.shards {
		s.shards[i].current, s.shards[i].last, s.shards[i].rotated = histogram(), histogram(), now()
	}
	s.estimate.Store(&Estimate{at: now()})
	return s
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxValue/unit), digits)
}

// Record adds a latency. Values above 10 s count as 10 s.
func (s *Estimator) Record(d time.Duration) {
	now := s.now()
	sh := &s.shards[rand.IntN(shards)]
	sh.mu.Lock()
	sh.rotate(now)
	_ = sh.current.RecordValue(int64(min(max(d, unit), maxValue) / unit)) // in range by the bounds just applied
	sh.mu.Unlock()
	fresh := s.fresh.Add(1)
	e := s.estimate.Load()
	if now.Sub(e.at) >= refreshEvery || (e.Samples == 0 && fresh >= refreshSamples) {
		s.update(now)
	}
}

// Estimate returns the present estimate. It is empty when nothing was recorded for two windows.
func (s *Estimator) Estimate() Estimate {
	e := s.estimate.Load()
	if s.now().Sub(e.at) > 2*Window {
		return Estimate{}
	}
	return *e
}

func (s *Estimator) update(now time.Time) {
	if !s.refresh.TryLock() {
		return
	}
	defer s.refresh.Unlock()
	s.fresh.Store(0)
	merged := histogram()
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		sh.rotate(now)
		merged.Merge(sh.current)
		merged.Merge(sh.last)
		sh.mu.Unlock()
	}
	e := &Estimate{at: now}
	if n := merged.TotalCount(); n >= MinSamples {
		e.Samples = n
		e.P50 = time.Duration(merged.ValueAtQuantile(50)) * unit
		e.P95 = time.Duration(merged.ValueAtQuantile(95)) * unit
	}
	s.estimate.Store(e)
}

func (sh *shard) rotate(now time.Time) {
	age := now.Sub(sh.rotated)
	if age < Window {
		return
	}
	sh.current, sh.last = sh.last, sh.current
	sh.current.Reset()
	if age >= 2*Window {
		sh.last.Reset()
	}
	sh.rotated = now
}
