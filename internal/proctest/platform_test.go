package proctest_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/internal/proctest"
	standin "cyclamenstream/internal/standin/platform"
)

// Guards against more calls to the platform than its rate limits allow. 8 nodes serve requests that each need an
// intent, under limits of several hundred writes and 2,000 reads per second.
func TestPlatformLimits(t *testing.T) {
	const writes, reads = 300, 2000
	c := startCluster(t, func(s *proctest.Spec) {
		for i := range 5 {
			s.AddNode(fmt.Sprint("n", 4+i), i%3)
		}
	})
	c.Platform.UpdateFaults(func(f *standin.Faults) { f.WritesPerSecond, f.ReadsPerSecond = writes, reads })
	l := standardLoad()
	l.NonIdempotent = true
	before, start := c.Platform.Counters(), time.Now()
	r := c.StartLoad(l)
	time.Sleep(4 * time.Second)
	s := stopAndVerify(t, c, r)
	after, seconds := c.Platform.Counters(), time.Since(start).Seconds()
	t.Logf("%.1f reads/s, %.1f watches/s, %.1f lists/s, %.1f writes/s for %.1f requests/s", float64(after.Gets-before.Gets)/seconds,
		float64(after.Watches-before.Watches)/seconds, float64(after.Lists-before.Lists)/seconds,
		float64(after.Writes-before.Writes)/seconds, float64(s.Requests)/seconds)
	qt.Check(t, after.RateLimited, qt.Equals, before.RateLimited)
	qt.Check(t, after.Writes > before.Writes, qt.IsTrue)
	wantAllComplete(t, s)
}
