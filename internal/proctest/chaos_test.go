package proctest_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/internal/proctest"
)

// CI uses the defaults. Other seeds and longer series are run by hand.
var (
	chaosFirst    = flag.Uint64("chaos.first", 0, "first seed of the random faults")
	chaosSeeds    = flag.Uint64("chaos.seeds", 4, "number of seeds of the random faults")
	chaosDuration = flag.Duration("chaos.duration", 10*time.Second, "duration of the random faults for each seed")
)

// Guards against faults that break a guarantee only in combination or when repeated. Each seed gives a different series
// of faults. The test checks the invariants on all answers and that the service answers again after the faults.
func TestChaos(t *testing.T) {
	for seed := *chaosFirst; seed < *chaosFirst+*chaosSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := startCluster(t, func(s *proctest.Spec) { s.AddNode("n4", 0); s.AddNode("n5", 1) })
			resendLoad := standardLoad()
			resendLoad.NonIdempotent, resendLoad.ResendAll, resendLoad.MaxAttempts, resendLoad.Rate, resendLoad.Nodes = true, true, 3, 10, c.RunningNodes()
			r, resendRun := c.StartLoad(standardLoad()), c.StartLoad(resendLoad)
			stopWatch := watchVersions(t, c)
			c.Chaos(seed, *chaosDuration)
			c.AwaitAnswers(proctest.Service)
			stopWatch()
			s := stopAndVerify(t, c, r, resendRun)
			t.Log("not idempotent:", resendRun.Summary())
			qt.Check(t, s.Complete > 0 && resendRun.Summary().Complete > 0, qt.IsTrue)
		})
	}
}
