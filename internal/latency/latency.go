// Package latency estimates quantiles of recent latencies. Recording is spread over shards so that concurrent calls
// rarely contend for a lock; readers load precomputed values.
package latency

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Window is the time after which a histogram is rotated. An estimate covers the last one to two windows.
	Window = 10 * time.Second
	// MinSamples is the number of latencies below which no estimate is given.
	MinSamples = 20

	// unit is the resolution of a histogram. maxValue is the largest latency that it holds, since leaf timeouts are at
	// most 2 s.
	unit     = 10 * time.Microsecond
	maxValue = 10 * time.Second
	// digits is the number of significant decimal digits. With 2, a histogram takes about 14 KiB, and each shard has
	// two.
	digits = 2
	shards = 4
	// refreshEvery bounds the cost of merging all histograms, which takes about ten microseconds.
	refreshEvery = 100 * time.Millisecond
	// refreshSamples makes the first estimates available before refreshEvery has passed.
	refreshSamples = MinSamples
)

// Estimate is a set of quantiles of recent latencies. All are 0 while fewer than MinSamples latencies are known.
type Estimate struct {
	P50, P95 time.Duration
	Samples  int64

	at time.Time
}

// Estimator estimates quantiles over a sliding window. It is safe for concurrent use.
type Estimator struct {
	now          func() time.Time
	shards       [shards]shard
	estimate     atomic.Pointer[Estimate]
	sinceRefresh atomic.Int64 // latencies recorded since the last refresh
	refreshMu    sync.Mutex
}

type shard struct {
	mu                sync.Mutex
	current, previous *hdrhistogram.Histogram
	rotated           time.Time
	_                 [64]byte // keeps the locks of adjacent shards on different cache lines
}

// New returns an empty estimator that reads the time from now.
func New(now func() time.Time) *Estimator {
	est := &Estimator{now: now}
	for i := range est.shards {
		est.shards[i].current, est.shards[i].previous, est.shards[i].rotated = histogram(), histogram(), now()
	}
	est.estimate.Store(&Estimate{at: now()})
	return est
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxValue/unit), digits)
}

// Record adds a latency. Values above 10 s count as 10 s.
func (est *Estimator) Record(d time.Duration) {
	now := est.now()
	sh := &est.shards[rand.IntN(shards)]
	sh.mu.Lock()
	sh.rotate(now)
	_ = sh.current.RecordValue(int64(min(max(d, unit), maxValue) / unit)) // in range by the bounds just applied
	sh.mu.Unlock()
	sinceRefresh := est.sinceRefresh.Add(1)
	e := est.estimate.Load()
	if now.Sub(e.at) >= refreshEvery || (e.Samples == 0 && sinceRefresh >= refreshSamples) {
		est.refresh(now)
	}
}

// Estimate returns the current estimate. It is empty if nothing was recorded for two windows.
func (est *Estimator) Estimate() Estimate {
	e := est.estimate.Load()
	if est.now().Sub(e.at) > 2*Window {
		return Estimate{}
	}
	return *e
}

func (est *Estimator) refresh(now time.Time) {
	if !est.refreshMu.TryLock() {
		return
	}
	defer est.refreshMu.Unlock()
	est.sinceRefresh.Store(0)
	merged := histogram()
	for i := range est.shards {
		sh := &est.shards[i]
		sh.mu.Lock()
		sh.rotate(now)
		merged.Merge(sh.current)
		merged.Merge(sh.previous)
		sh.mu.Unlock()
	}
	e := &Estimate{at: now}
	if n := merged.TotalCount(); n >= MinSamples {
		e.Samples = n
		e.P50 = time.Duration(merged.ValueAtQuantile(50)) * unit
		e.P95 = time.Duration(merged.ValueAtQuantile(95)) * unit
	}
	est.estimate.Store(e)
}

func (sh *shard) rotate(now time.Time) {
	age := now.Sub(sh.rotated)
	if age < Window {
		return
	}
	sh.current, sh.previous = sh.previous, sh.current
	sh.current.Reset()
	if age >= 2*Window {
		sh.previous.Reset()
	}
	sh.rotated = now
}
