package proctest_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
	"cyclamenstream/internal/proctest"
)

// Tests guarantee 3: a leaf in cold start gets no more work than it can handle. Leaves become cold without warning
// under a load that fills all slots, and a new owner does not know the slots in use. The leaves crash when they are
// overloaded.
func TestColdStart(t *testing.T) {
	heavy := standardLoad()
	heavy.Rate, heavy.MaxAttempts, heavy.Timeout = 120, 1, time.Second
	tests := []struct {
		name string
		// fault runs once. crashes is the number of crashes that it causes itself.
		fault   func(*proctest.Cluster)
		crashes int
	}{
		{"leaves crash in turn", func(c *proctest.Cluster) {
			for range 2 {
				for _, l := range c.Leaves {
					l.Crash()
					time.Sleep(400 * time.Millisecond)
				}
			}
		}, 6},
		{"all leaves crash at once", func(c *proctest.Cluster) {
			for _, l := range c.Leaves {
				l.Crash()
			}
		}, 3},
		{"the owner is killed", func(c *proctest.Cluster) { c.AwaitOwner(proctest.Service).Kill() }, 0},
		{"the owner is paused and comes back", func(c *proctest.Cluster) {
			owner := c.AwaitOwner(proctest.Service)
			owner.Pause()
			time.Sleep(5 * time.Second)
			owner.Resume()
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := startCluster(t, func(s *proctest.Spec) {
				for i := range s.Leaves {
					s.Leaves[i].Config.CrashOnOverload = true
					s.Leaves[i].Config.Latency = config.Duration(8 * time.Millisecond)
				}
			})
			r := c.StartLoad(heavy)
			time.Sleep(time.Second)
			test.fault(c)
			time.Sleep(5 * time.Second)
			s := stopAndVerify(t, c, r)
			crashes := 0
			for _, l := range c.Leaves {
				crashes += l.State().Counters.Crashes
			}
			qt.Check(t, crashes, qt.Equals, test.crashes)
			qt.Check(t, s.Complete > 0, qt.IsTrue)
		})
	}
}
