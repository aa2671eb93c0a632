package proctest_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/internal/proctest"
)

// Tests guarantee 9: a planned stop aborts no request. Each node is stopped and started again in turn. Guards against a
// node that exits with queries in flight, drops its services, or leaves callers with an address that does not answer.
func TestPlannedStop(t *testing.T) {
	c := startCluster(t, nil)
	r := c.StartLoad(standardLoad())
	time.Sleep(time.Second)
	for _, n := range c.RunningNodes() {
		start := time.Now()
		code, err := n.Terminate(15 * time.Second)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, code, qt.Equals, 0)
		t.Logf("%s stopped in %v", n.VM.ID, time.Since(start))
		n.Restart()
		c.AwaitServing()
	}
	s := stopAndVerify(t, c, r)
	for _, a := range r.Attempts() {
		qt.Check(t, a.Verdict == proctest.MayHaveRun, qt.IsFalse, qt.Commentf("%s at %s: %s %s", a.Query.ID, a.Address, a.Code, a.Message))
	}
	wantAllComplete(t, s)
}
