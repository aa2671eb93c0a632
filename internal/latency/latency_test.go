package latency

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against estimates from too few or outdated latencies, and against quantiles of the wrong window.
func TestSliding(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	est := New(func() time.Time { return now })
	record := func(n int, d time.Duration) {
		for range n {
			est.Record(d)
		}
	}
	assertNear := func(got, want time.Duration) {
		c.Helper()
		c.Assert(got >= want*99/100 && got <= want*101/100, qt.IsTrue, qt.Commentf("%v, want %v", got, want))
	}
	record(MinSamples-1, time.Millisecond)
	c.Assert(est.Estimate().P95, qt.Equals, time.Duration(0))
	record(1, time.Millisecond)
	assertNear(est.Estimate().P95, time.Millisecond)
	record(180, time.Millisecond)
	record(20, 50*time.Millisecond)
	now = now.Add(refreshEvery)
	record(1, 50*time.Millisecond)
	assertNear(est.Estimate().P50, time.Millisecond)
	assertNear(est.Estimate().P95, 50*time.Millisecond)
	now = now.Add(2 * Window)
	record(100, 7*time.Millisecond)
	now = now.Add(refreshEvery)
	record(1, 7*time.Millisecond)
	assertNear(est.Estimate().P50, 7*time.Millisecond)
	c.Assert(est.Estimate().Samples, qt.Equals, int64(101))
	now = now.Add(2*Window + time.Second)
	c.Assert(est.Estimate(), qt.Equals, Estimate{})
}
