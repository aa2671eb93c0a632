package proctest_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/proctest"
	"cyclamenstream/internal/standin/leaf"
	standin "cyclamenstream/internal/standin/platform"
)

// Tests guarantee 7: a request that is not idempotent runs at most once. Callers resend it to other nodes whatever the
// answer was, while answers of the store are lost, answers of leaves come too late and the owner is killed. While the
// store is down such a request must be refused with "not run". Resent afterwards, it must run exactly once.
func TestAtMostOnce(t *testing.T) {
	c := startCluster(t, nil)
	resendLoad := standardLoad()
	resendLoad.NonIdempotent, resendLoad.ResendAll, resendLoad.MaxAttempts = true, true, 4
	resendLoad.Rate, resendLoad.Nodes = 15, c.RunningNodes()
	r := c.StartLoad(resendLoad)
	time.Sleep(time.Second)
	c.Platform.UpdateFaults(func(f *standin.Faults) { f.LoseAfter = 5 })
	time.Sleep(time.Second)
	c.Platform.UpdateFaults(func(f *standin.Faults) { f.Conflicts, f.LoseBefore = 5, 3 })
	time.Sleep(time.Second)
	c.Leaves["l1"].UpdateFaults(func(f *leaf.Faults) { f.AnswerDelay = config.Duration(time.Second) })
	time.Sleep(time.Second)
	c.Leaves["l1"].UpdateFaults(func(f *leaf.Faults) { f.AnswerDelay = 0 })
	killed := c.AwaitOwner(proctest.Service)
	killed.Kill()
	time.Sleep(5 * time.Second)
	s := stopAndVerify(t, c, r)
	qt.Check(t, s.Complete > 0, qt.IsTrue)

	killed.Restart()
	c.AwaitServing()
	c.Platform.UpdateFaults(func(f *standin.Faults) { f.Down = true })
	resendLoad.ResendAll, resendLoad.MaxAttempts = false, 1
	storeDownRun := c.StartLoad(resendLoad)
	time.Sleep(2 * time.Second)
	s = stopAndVerify(t, c, storeDownRun)
	qt.Check(t, s.NotRun, qt.Equals, s.Requests)
	qt.Check(t, s.Codes[string(verdict.CodeStoreDown)] > 0, qt.IsTrue)

	c.Platform.UpdateFaults(func(f *standin.Faults) { f.Down = false })
	time.Sleep(2 * time.Second)
	attempts := storeDownRun.Attempts()
	for _, refused := range attempts[:min(len(attempts), 10)] {
		for _, n := range c.RunningNodes()[:2] {
			attempts = append(attempts, proctest.SendQuery(context.Background(), n.VM.CallerAddress, refused.Query, 2*time.Second))
		}
		first, second := attempts[len(attempts)-2], attempts[len(attempts)-1]
		qt.Check(t, first.Complete(), qt.IsTrue, qt.Commentf("resent after a refusal: %s %s", first.Code, first.Message))
		qt.Check(t, second.Code, qt.Equals, string(verdict.CodeDuplicate), qt.Commentf("resent after an answer"))
	}
	c.VerifyAttempts(append(r.Attempts(), attempts...))
}
