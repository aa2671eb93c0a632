package proctest_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
	"cyclamenstream/internal/proctest"
)

// Limits from the requirements. Within drainTimeout a zone or leaf that was taken out gets no more work, and within
// configTimeout all nodes have applied a configuration.
const (
	drainTimeout  = 3 * time.Second
	configTimeout = 5 * time.Second
)

// startCluster marks the test as parallel and starts the processes of the standard specification, which change may
// modify.
func startCluster(t *testing.T, change func(*proctest.Spec)) *proctest.Cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	spec := proctest.ThreeZones()
	if change != nil {
		change(&spec)
	}
	return proctest.Start(t, spec)
}

// standardLoad returns the load that most tests use. It is far below the capacity of the warm service.
func standardLoad() proctest.Load {
	return proctest.Load{Service: proctest.Service, Rate: 40, Timeout: 3 * time.Second, MaxAttempts: 50, Seed: 1}
}

// stopAndVerify stops the loads and checks the invariants. It logs and returns the summary of the first load.
func stopAndVerify(t *testing.T, c *proctest.Cluster, runs ...*proctest.LoadRun) proctest.Summary {
	t.Helper()
	for _, r := range runs {
		r.Stop()
	}
	c.Verify(runs...)
	s := runs[0].Summary()
	t.Log(s)
	return s
}

// wantAllComplete checks that every request was answered completely.
func wantAllComplete(t *testing.T, s proctest.Summary) {
	t.Helper()
	qt.Check(t, s.Requests > 0, qt.IsTrue)
	qt.Check(t, s.Complete, qt.Equals, s.Requests)
}

// wantNoWork checks that a leaf got no call and no connection after since. accepted is the number of connections that
// it had accepted by then.
func wantNoWork(t *testing.T, c *proctest.Cluster, leaf string, since time.Time, accepted int) {
	t.Helper()
	if executions := c.ExecutionsAfter(leaf, since); len(executions) > 0 {
		t.Errorf("%d calls on %s after %v, the first: %+v", len(executions), leaf, since, executions[0])
	}
	qt.Check(t, c.Leaves[leaf].State().Connections.Accepted, qt.Equals, accepted, qt.Commentf("connections to %s", leaf))
}

// Guards against faults in the interaction of callers, nodes, leaves and the platform, while an operator takes a zone
// out of service and back.
func TestPath(t *testing.T) {
	c := startCluster(t, nil)
	r := c.StartLoad(standardLoad())
	time.Sleep(time.Second)
	version := c.Apply(config.Change{Op: config.OpZoneOut, Name: "z3"})
	out := time.Now()
	t.Log("zone out applied after", c.AwaitVersion(version, configTimeout))
	time.Sleep(time.Until(out.Add(drainTimeout)))
	since, accepted := time.Now(), c.Leaves["l3"].State().Connections.Accepted
	time.Sleep(time.Second)
	wantNoWork(t, c, "l3", since, accepted)
	version = c.Apply(config.Change{Op: config.OpZoneIn, Name: "z3"})
	t.Log("zone in applied after", c.AwaitVersion(version, configTimeout))
	back := time.Now()
	c.Await(2*configTimeout, "the zone's leaf gets work again", func() bool { return len(c.ExecutionsAfter("l3", back)) > 0 })
	wantAllComplete(t, stopAndVerify(t, c, r))
}
