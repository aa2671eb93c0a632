package proctest_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/internal/proctest"
	"cyclamenstream/internal/standin/leaf"
)

// Guards promise 6, a correct "not run", against answers lost on each hop: connections to leaves and between nodes that
// are cut or end in the middle of a message, at many points of a send, leaves that refuse, and an owner that is killed or paused.
func TestNotRun(t *testing.T) {
	c := begin(t, nil)
	r := c.StartLoad(load())
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
	// Cuts after each power of two of bytes fall into the start of a connection, headers, payloads and answers.
	for end := int64(16); end <= 16384; end *= 2 {
		c.Network.Set(proctest.Any, "l1", proctest.Rule{CloseAfter: end})
		c.Network.Set(proctest.Any, "n1", proctest.Rule{CloseAfter: end})
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
	s := finish(t, c, r)
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
