package gather

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/verdict"
)

// Guards against a repeated request that crashes every leaf that runs it, and against refusing another request that ran
// at the same time.
func TestCrashingRequestIsRefused(t *testing.T) {
	reset := errors.New("connection reset")
	crash := []behaviour{{delay: 10 * time.Millisecond, err: reset}}
	both := map[string][]behaviour{"s1a": crash, "s1b": crash}
	simulate(t, both, func(c *harness) {
		for _, attempt := range []string{"1", "2"} {
			go c.askAs("harmless-"+attempt, "/one/8")
			c.askAs("crashing-"+attempt, "/one/7") // crashes both leaves
			time.Sleep(2 * time.Second)
			c.restart(nil)
			c.askAs("harmless-"+attempt+" again", "/one/8")
			time.Sleep(3 * time.Second)
			c.restart(both)
		}
		c.restart(nil)
		before := c.leaves.total()
		a, _ := c.askAs("crashing-3", "/one/7")
		c.Assert(verdict.CodeOf(a.Err), qt.Equals, verdict.CodeQuarantined)
		c.Assert(verdict.Of(a.Err).IsNotRun(), qt.IsTrue)
		c.Assert(c.leaves.total(), qt.Equals, before)
		a, _ = c.askAs("harmless-3", "/one/8")
		c.Assert(a.Err, qt.IsNil)
	})
}
