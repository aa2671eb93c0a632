package hedge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against hedges that are sent at once when the latencies are very small or unknown.
func TestDelay(t *testing.T) {
	qt.Assert(t, Delay(0), qt.Equals, UnknownDelay)
	qt.Assert(t, Delay(time.Microsecond), qt.Equals, Floor)
	qt.Assert(t, Delay(time.Second), qt.Equals, time.Second)
}
