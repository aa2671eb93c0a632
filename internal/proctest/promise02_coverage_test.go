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

// Tests guarantee 2: the reported coverage is correct. The only replica of a shard is lost, leaves search a shard only
// partly, and one share would be rounded up to 100%.
func TestCoverage(t *testing.T) {
	const singleReplicaShard = 3 // the shard that only l1 holds
	c := startCluster(t, func(s *proctest.Spec) {
		for i := range s.Leaves[1:] {
			s.Leaves[i+1].Config.Snapshots = []backend.SnapshotInfo{leaf.Snapshot(proctest.FirstSnapshot, 1, proctest.FirstShards, 0, 1, 2)}
		}
	})
	allShards, someShards := standardLoad(), standardLoad()
	someShards.Shards = []uint32{0, 2}
	r, someRun := c.StartLoad(allShards), c.StartLoad(someShards)
	time.Sleep(time.Second)
	for _, l := range c.Leaves {
		l.UpdateFaults(func(f *leaf.Faults) { f.Partial = map[uint32]float64{1: 0.9997} })
	}
	time.Sleep(time.Second)
	c.Leaves["l1"].Kill()
	time.Sleep(2 * time.Second)
	s := stopAndVerify(t, c, r, someRun)
	wantAllComplete(t, someRun.Summary())
	percents := map[float64]int{}
	for _, a := range r.Attempts() {
		if a.Answer == nil {
			continue
		}
		percents[a.Answer.Coverage.Percent]++
		if a.Answer.Coverage.Percent < 99 {
			qt.Check(t, slices.Contains(a.Answer.Coverage.Missing, singleReplicaShard), qt.IsTrue)
		}
	}
	qt.Check(t, percents[100] > 0 && percents[99.99] > 0 && percents[74.99] > 0, qt.IsTrue, qt.Commentf("%v", percents))
	qt.Check(t, s.NotRun+s.MayHaveRun, qt.Equals, 0)
}
