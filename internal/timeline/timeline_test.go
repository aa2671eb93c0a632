package timeline

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/event"
	"cyclamenstream/internal/clock"
)

func newBuffer(node string, capacity int) *Buffer {
	return NewBuffer(clock.New(func() time.Time { return time.UnixMilli(1000) }), node, "z1", capacity)
}

// Guards against a buffer that grows without bound or drops the newest events.
func TestBufferKeepsNewest(t *testing.T) {
	c := qt.New(t)
	b := newBuffer("n1", 3)
	for _, detail := range []string{"a", "b", "c", "d", "e"} {
		b.Record(event.Event{Kind: event.LeafCold, Detail: detail})
	}
	var details string
	for _, e := range b.Events() {
		details += e.Detail
	}
	c.Assert(details, qt.Equals, "cde")
}

// Guards against a merged timeline that depends on the order in which processes answered.
func TestMergeIsIndependentOfListOrder(t *testing.T) {
	c := qt.New(t)
	a, b := newBuffer("n1", 8), newBuffer("n2", 8)
	a.Record(event.Event{Service: "s1"})
	a.Record(event.Event{Service: "s2"})
	b.Record(event.Event{Service: "s1"})
	merged := Merge(a.Events(), b.Events())
	c.Assert(merged, qt.DeepEquals, Merge(b.Events(), a.Events()))
	c.Assert(Filter{Service: "s1"}.Apply(merged), qt.HasLen, 2)
	c.Assert(Filter{VM: "n2"}.Apply(merged), qt.HasLen, 1)
}
