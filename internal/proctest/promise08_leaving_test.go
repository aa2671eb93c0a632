package proctest_test

import (
	"testing"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/platform"
	standin "cyclamenstream/internal/standin/platform"
)

// Guards promise 8, no new work for a leaving leaf after 3 s, against a list of VMs that lags, and checks that queries
// under way on the leaf are not lost.
func TestLeavingLeaf(t *testing.T) {
	c := begin(t, nil)
	c.Platform.UpdateFaults(func(f *standin.Faults) { f.ListLag = config.Duration(500 * time.Millisecond) })
	r := c.StartLoad(load())
	time.Sleep(time.Second)
	c.Platform.SetState("l2", platform.StateLeaving)
	time.Sleep(noWorkAfter)
	since, accepted := time.Now(), c.Leaves["l2"].State().Connections.Accepted
	time.Sleep(time.Second)
	wantNoWork(t, c, "l2", since, accepted)
	wantAllComplete(t, finish(t, c, r))
}
