package proctest_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/backend"
	"cyclamenstream/internal/proctest"
	"cyclamenstream/internal/standin/leaf"
)

// Guards promise 2, correct coverage, against a lost replica, leaves that search a shard only partly, and a share that
// would be rounded up to 100%.
func TestCoverage(t *testing.T) {
	const lonely = 3 // the shard that only l1 holds
	c := begin(t, func(s *proctest.Spec) {
		for i := range s.Leaves[1:] {
			s.Leaves[i+1].Config.Snapshots = []backend.SnapshotInfo{leaf.Snapshot(proctest.FirstSnapshot, 1, proctest.FirstShards, 0, 1, 2)}
		}
	})
	whole, some := load(), load()
	some.Shards = []uint32{0, 2}
	r, narrow := c.StartLoad(whole), c.StartLoad(some)
	time.Sleep(time.Second)
	for _, l := range c.Leaves {
		l.UpdateFaults(func(f *leaf.Faults) { f.Partial = map[uint32]float64{1: 0.9997} })
	}
	time.Sleep(time.Second)
	c.Leaves["l1"].Kill()
	time.Sleep(2 * time.Second)
	s := finish(t, c, r, narrow)
	wantAllComplete(t, narrow.Summary())
	percents := map[float64]int{}
	for _, a := range r.Attempts() {
		if a.Answer == nil {
			continue
		}
		percents[a.Answer.Coverage.Percent]++
		if a.Answer.Coverage.Percent < 99 {
			qt.Check(t, slices.Contains(a.Answer.Coverage.Missing, lonely), qt.IsTrue)
		}
	}
	qt.Check(t, percents[100] > 0 && percents[99.99] > 0 && percents[74.99] > 0, qt.IsTrue, qt.Commentf("%v", percents))
	qt.Check(t, s.NotRun+s.MayHaveRun, qt.Equals, 0)
}
