package gather

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/verdict"
)

// Guards against an unexpected error in the processing of one answer that ends the process, loses the other parts, counts
// as "not run" or keeps the leaf's slot.
func TestPanicEndsOneSend(t *testing.T) {
	panics := []behaviour{{delay: 10 * time.Millisecond, panics: true}}
	simulate(t, map[string][]behaviour{"s1a": panics, "s1b": panics}, func(c *harness) {
		for range 10 { // more than the leaves have slots
			a, _ := c.ask("/all/7")
			c.Assert(a.Err, qt.IsNil)
			c.Assert(a.Gathered.Missing, qt.Equals, 1)
			a, _ = c.ask("/once/7")
			c.Assert(verdict.Of(a.Err).IsNotRun(), qt.IsFalse)
			time.Sleep(time.Second)
		}
		c.restart(nil)
		a, _ := c.ask("/all/8")
		c.Assert(a.Err, qt.IsNil)
		c.Assert(a.Gathered.Missing, qt.Equals, 0)
	})
}
