package proctest_test

import (
	"testing"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/platform"
	standin "cyclamenstream/internal/standin/platform"
)

// Tests guarantee 8: a leaving leaf gets no new work after 3 s, although the list of VMs lags. Queries in flight on the
// leaf must not be lost.
func TestLeavingLeaf(t *testing.T) {
	c := startCluster(t, nil)
	c.Platform.UpdateFaults(func(f *standin.Faults) { f.ListLag = config.Duration(500 * time.Millisecond) })
	r := c.StartLoad(standardLoad())
	time.Sleep(time.Second)
	c.Platform.SetState("l2", platform.StateLeaving)
	time.Sleep(drainTimeout)
	since, accepted := time.Now(), c.Leaves["l2"].State().Connections.Accepted
	time.Sleep(time.Second)
	wantNoWork(t, c, "l2", since, accepted)
	wantAllComplete(t, stopAndVerify(t, c, r))
}
