package proctest_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
	"cyclamenstream/api/operator"
	"cyclamenstream/internal/proctest"
	standin "cyclamenstream/internal/standin/platform"
)

// watchVersions checks until stop is called that no fresh node returns to an older version than it had applied.
func watchVersions(t *testing.T, c *proctest.Cluster) (stop func()) {
	done := make(chan struct{})
	var watchers sync.WaitGroup
	for _, n := range c.RunningNodes() {
		watchers.Go(func() {
			var highest uint64
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if s, err := n.Status(); err == nil && s.Fresh {
					qt.Check(t, s.ConfigVersion >= highest, qt.IsTrue, qt.Commentf("%s went from version %d to %d", n.VM.ID, highest, s.ConfigVersion))
					highest = max(highest, s.ConfigVersion)
				}
			}
		})
	}
	return func() {
		close(done)
		watchers.Wait()
	}
}

// Tests guarantee 10: all nodes apply an accepted configuration within seconds, and it is never reverted. Operators
// make changes concurrently, the store loses answers, reports conflicts and returns to an older value, a node starts
// while the store holds that value, and all nodes restart at once.
func TestConfiguration(t *testing.T) {
	const operators, changes = 3, 5
	c := startCluster(t, nil)
	stopWatch := watchVersions(t, c)
	status, err := c.Nodes["n1"].Status()
	qt.Assert(t, err, qt.IsNil)
	first := status.ConfigVersion
	c.Platform.UpdateFaults(func(f *standin.Faults) { f.LoseAfter, f.Conflicts = 4, 4 })
	var running sync.WaitGroup
	for operatorIndex := range operators {
		running.Go(func() {
			for i := range changes {
				p := proctest.StandardProfile()
				name := fmt.Sprintf("profile-%d-%d", operatorIndex, i)
				c.Apply(config.Change{ID: name, Op: config.OpPutProfile, Name: name, Profile: &p})
			}
		})
	}
	running.Wait()
	last := first + operators*changes
	t.Log("applied after", c.AwaitVersion(last, configTimeout))
	status, err = c.Nodes["n1"].Status()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, status.ConfigVersion, qt.Equals, last, qt.Commentf("each change must be applied once"))

	p := proctest.StandardProfile()
	conflict := config.Change{ID: "late", Op: config.OpPutProfile, Name: "profile-0-0", Profile: &p, CheckBase: true}
	result, err := c.Nodes["n2"].Change(conflict)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, result.Outcome, qt.Equals, operator.Conflict)

	c.Platform.Rollback(config.Key, 3)
	c.Nodes["n3"].Kill()
	c.Nodes["n3"].Restart()
	c.AwaitServing()
	time.Sleep(time.Second)
	next := c.Apply(config.Change{ID: "after", Op: config.OpPutProfile, Name: "after", Profile: &p})
	qt.Check(t, next > last, qt.IsTrue, qt.Commentf("version %d after %d", next, last))
	t.Log("applied after", c.AwaitVersion(next, configTimeout))
	stopWatch()

	for _, n := range c.RunningNodes() {
		n.Kill()
	}
	for _, n := range c.Nodes {
		n.Restart()
	}
	c.AwaitServing()
	for _, n := range c.Nodes {
		status, err := n.Status()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, status.ConfigVersion, qt.Equals, next, qt.Commentf("%s after all nodes were restarted at once", n.VM.ID))
	}
}
