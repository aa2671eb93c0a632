package proctest_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/internal/proctest"
)

// CI runs the defaults; other seeds and longer series are run by hand.
var (
	chaosFirst    = flag.Uint64("chaos.first", 0, "first seed of the random faults")
	chaosSeeds    = flag.Uint64("chaos.seeds", 4, "number of seeds of the random faults")
	chaosDuration = flag.Duration("chaos.duration", 10*time.Second, "duration of the random faults for each seed")
)

// Guards against faults that break a promise only together or repeated. Each seed gives another series of faults; the
// invariants are checked on all answers, and the service must answer again afterwards.
func TestChaos(t *testing.T) {
	for seed := *chaosFirst; seed < *chaosFirst+*chaosSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := begin(t, func(s *proctest.Spec) { s.AddNode("n4", 0); s.AddNode("n5", 1) })
			once := load()
			once.NonIdempotent, once.ResendAll, once.MaxAttempts, once.Rate, once.Nodes = true, true, 3, 10, c.RunningNodes()
			r, o := c.StartLoad(load()), c.StartLoad(once)
			stop := watchVersions(t, c)
			c.Chaos(seed, *chaosDuration)
			c.AwaitAnswers(proctest.Service)
			stop()
			s := finish(t, c, r, o)
			t.Log("not idempotent:", o.Summary())
			qt.Check(t, s.Complete > 0 && o.Summary().Complete > 0, qt.IsTrue)
		})
	}
}
