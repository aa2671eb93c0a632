package proctest_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
	"cyclamenstream/internal/proctest"
	"cyclamenstream/internal/standin/leaf"
)

// Tests guarantee 5: each caller gets the answer to its own request. Leaves swap answers or send them after the leaf
// timeout.
func TestCrossedAnswers(t *testing.T) {
	c := startCluster(t, nil)
	fastLoad := standardLoad()
	fastLoad.Rate = 80
	r := c.StartLoad(fastLoad)
	time.Sleep(time.Second)
	for range 10 {
		for _, l := range c.Leaves {
			l.UpdateFaults(func(f *leaf.Faults) { f.Swap = 4 })
		}
		time.Sleep(200 * time.Millisecond)
	}
	leafTimeout := proctest.StandardProfile().LeafTimeout
	c.Leaves["l1"].UpdateFaults(func(f *leaf.Faults) { f.Swap, f.AnswerDelay = 0, leafTimeout+config.Duration(400*time.Millisecond) })
	time.Sleep(2 * time.Second)
	c.Leaves["l1"].UpdateFaults(func(f *leaf.Faults) { f.AnswerDelay = 0 })
	s := stopAndVerify(t, c, r)
	qt.Check(t, s.Complete > s.Requests/2, qt.IsTrue)
}
