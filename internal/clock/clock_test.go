package clock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/event"
)

// Guards against effects that sort before their cause when the receiver's wall clock is behind.
func TestStampFollowsObservedStamp(t *testing.T) {
	c := qt.New(t)
	wall := time.UnixMilli(1000)
	h := New(func() time.Time { return wall })
	first := h.Stamp()
	c.Assert(first.Before(h.Stamp()), qt.IsTrue)
	ahead := event.Stamp{WallMillis: 5000, Counter: 7}
	h.Observe(ahead)
	c.Assert(ahead.Before(h.Stamp()), qt.IsTrue)
}

// Guards against one VM with a wrong clock that shifts the timeline of all others.
func TestObserveIgnoresStampFarAhead(t *testing.T) {
	c := qt.New(t)
	h := New(func() time.Time { return time.UnixMilli(1000) })
	h.Observe(event.Stamp{WallMillis: 1000 + maxAheadMillis + 1})
	c.Assert(h.Stamp().WallMillis, qt.Equals, int64(1000))
}
