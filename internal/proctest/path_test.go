package proctest_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
	"cyclamenstream/internal/proctest"
)

// Bounds from the requirements: work to a zone or a leaf ends, and a configuration is in force everywhere.
const (
	noWorkAfter  = 3 * time.Second
	inForceAfter = 5 * time.Second
)

// begin starts the standard processes, changed by change, for a test that runs with others.
func begin(t *testing.T, change func(*proctest.Spec)) *proctest.Cluster {
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

// load is what most tests put on the service: far below its capacity when warm.
func load() proctest.Load {
	return proctest.Load{Service: proctest.Service, Rate: 40, Timeout: 3 * time.Second, MaxAttempts: 50, Seed: 1}
}

// finish stops the load, checks the invariants and returns and logs how the load was served.
func finish(t *testing.T, c *proctest.Cluster, runs ...*proctest.LoadRun) proctest.Summary {
	t.Helper()
	for _, r := range runs {
		r.Stop()
	}
	c.Verify(runs...)
	s := runs[0].Summary()
	t.Log(s)
	return s
}

// wantAllComplete checks that every request was answered in full.
func wantAllComplete(t *testing.T, s proctest.Summary) {
	t.Helper()
	qt.Check(t, s.Requests > 0, qt.IsTrue)
	qt.Check(t, s.Complete, qt.Equals, s.Requests)
}

// wantNoWork checks that a leaf got no call and no connection since its state was taken.
func wantNoWork(t *testing.T, c *proctest.Cluster, leaf string, since time.Time, accepted int) {
	t.Helper()
	if work := c.ExecutionsAfter(leaf, since); len(work) > 0 {
		t.Errorf("%d calls on %s after %v, the first: %+v", len(work), leaf, since, work[0])
	}
	qt.Check(t, c.Leaves[leaf].State().Connections.Accepted, qt.Equals, accepted, qt.Commentf("connections to %s", leaf))
}

// Guards against parts that work alone but not together: callers, nodes, leaves, platform and an operator who takes a
// zone out and back in.
func TestPath(t *testing.T) {
	c := begin(t, nil)
	r := c.StartLoad(load())
	time.Sleep(time.Second)
	version := c.Apply(config.Change{Op: config.OpZoneOut, Name: "z3"})
	out := time.Now()
	t.Log("zone out in force after", c.AwaitVersion(version, inForceAfter))
	time.Sleep(time.Until(out.Add(noWorkAfter)))
	since, accepted := time.Now(), c.Leaves["l3"].State().Connections.Accepted
	time.Sleep(time.Second)
	wantNoWork(t, c, "l3", since, accepted)
	version = c.Apply(config.Change{Op: config.OpZoneIn, Name: "z3"})
	t.Log("zone in in force after", c.AwaitVersion(version, inForceAfter))
	back := time.Now()
	c.Await(2*inForceAfter, "the zone's leaf gets work again", func() bool { return len(c.ExecutionsAfter("l3", back)) > 0 })
	wantAllComplete(t, finish(t, c, r))
}
