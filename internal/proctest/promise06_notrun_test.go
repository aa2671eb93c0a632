package proctest_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/internal/proctest"
	"cyclamenstream/internal/standin/leaf"
)

// Tests guarantee 6: a request that is answered "not run" has not run. Answers are lost on each hop. Connections to
// leaves and between nodes are cut or closed at many points within a message, leaves refuse calls, and the owner is
// paused and killed.
func TestNotRun(t *testing.T) {
	c := startCluster(t, nil)
	r := c.StartLoad(standardLoad())
	const step = 300 * time.Millisecond
	for _, l := range c.Leaves {
		for _, rule := range []proctest.Rule{{Cut: true}, {CloseAfter: 4000}, {HoldBack: true}, {HoldForward: true}} {
			c.Network.Set(proctest.Any, l.VM.ID, rule)
			time.Sleep(step)
			c.Network.Heal()
		}
		l.UpdateFaults(func(f *leaf.Faults) { f.Refuse = true })
		time.Sleep(step)
		l.UpdateFaults(func(f *leaf.Faults) { f.Refuse = false })
	}
	for _, rule := range []proctest.Rule{{CloseAfter: 8000}, {Cut: true}, {HoldBack: true}} {
		for _, from := range c.RunningNodes() {
			for _, to := range c.RunningNodes() {
				c.Network.Set(from.VM.ID, to.VM.ID, rule)
			}
		}
		time.Sleep(step)
		c.Network.Heal()
	}
	// Closing connections after each power of two of bytes hits their start, headers, payloads and answers.
	for size := int64(16); size <= 16384; size *= 2 {
		c.Network.Set(proctest.Any, "l1", proctest.Rule{CloseAfter: size})
		c.Network.Set(proctest.Any, "n1", proctest.Rule{CloseAfter: size})
		time.Sleep(step)
		c.Network.Heal()
	}
	owner := c.AwaitOwner(proctest.Service)
	owner.Pause()
	time.Sleep(3 * time.Second)
	owner.Resume()
	time.Sleep(time.Second)
	c.AwaitOwner(proctest.Service).Kill()
	time.Sleep(3 * time.Second)
	s := stopAndVerify(t, c, r)
	notRun, mayHaveRun := 0, 0
	for _, a := range r.Attempts() {
		switch a.Verdict {
		case proctest.NotRun:
			notRun++
		case proctest.MayHaveRun:
			mayHaveRun++
		}
	}
	qt.Check(t, notRun > 0, qt.IsTrue, qt.Commentf("no attempt was refused, so nothing was checked"))
	t.Logf("%d attempts not run, %d may have run", notRun, mayHaveRun)
	qt.Check(t, s.Complete > 0, qt.IsTrue)
}
