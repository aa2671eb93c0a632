package gather

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against late answers on a busy node, and against a node that leaves parts out long after a single pause.
func TestLag(t *testing.T) {
	var l lag
	for range 5 * lagSmoothing {
		l.record(3 * time.Millisecond)
	}
	qt.Assert(t, l.margin() > 11800*time.Microsecond && l.margin() <= 12*time.Millisecond, qt.IsTrue, qt.Commentf("%v", l.margin()))
	l.record(5 * time.Second)
	qt.Assert(t, l.margin() < 22*time.Millisecond, qt.IsTrue, qt.Commentf("%v", l.margin()))
	for range 5 * lagSmoothing {
		l.record(-time.Millisecond)
	}
	qt.Assert(t, l.margin() < 200*time.Microsecond, qt.IsTrue, qt.Commentf("%v", l.margin()))
}

// Guards against a lag that is measured but not used.
func TestLagMakesAnswersLeaveSooner(t *testing.T) {
	stuck := []behaviour{{delay: time.Hour}}
	simulate(t, map[string][]behaviour{"s2a": stuck, "s2b": stuck}, func(c *harness) {
		for range 20 * lagSmoothing {
			c.dispatcher.lag.record(2 * time.Millisecond)
		}
		_, took := c.ask("/all/")
		c.Assert(took.Round(time.Millisecond), qt.Equals, 132*time.Millisecond) // 150 less 10 less four times 2
	})
}
