package proctest_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/backend"
	"cyclamenstream/internal/proctest"
)

// Tests guarantee 1: every answer comes from one snapshot. Queries run while the leaves switch snapshots and the number
// of shards changes.
func TestOneSnapshot(t *testing.T) {
	tests := []struct {
		name string
		// overlap is how long leaves hold both snapshots.
		overlap time.Duration
	}{
		{"leaves hold both snapshots for a while", 400 * time.Millisecond},
		{"leaves drop the old snapshot at once", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := startCluster(t, nil)
			r := c.StartLoad(standardLoad())
			old := proctest.AllShards(proctest.FirstSnapshot, 1, proctest.FirstShards)
			const step = 150 * time.Millisecond
			for round := range uint32(4) {
				next := proctest.AllShards(fmt.Sprintf("round-%d", round), uint64(round+2), proctest.FirstShards+round%2*3)
				for _, l := range c.Leaves {
					if test.overlap > 0 {
						l.SetSnapshots(old, next)
					} else {
						l.SetSnapshots(next)
					}
					time.Sleep(step)
				}
				time.Sleep(test.overlap)
				for _, l := range c.Leaves {
					l.SetSnapshots([]backend.SnapshotInfo{next}...)
				}
				old = next
				time.Sleep(step)
			}
			s := stopAndVerify(t, c, r)
			seen := map[string]bool{}
			for _, a := range r.Attempts() {
				if a.Answer != nil {
					seen[a.Answer.Snapshot] = true
				}
			}
			qt.Check(t, len(seen) >= 3, qt.IsTrue, qt.Commentf("answers came from %v only", seen))
			if test.overlap > 0 {
				wantAllComplete(t, s)
			}
		})
	}
}
