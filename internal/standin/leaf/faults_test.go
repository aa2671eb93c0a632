package leaf_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/config"
	"cyclamenstream/internal/standin/leaf"
)

func newLeaf(change func(*leaf.Config)) *leaf.Leaf {
	c := leaf.Config{VM: "l1", Slots: 3, ColdSlots: 1, ColdCalls: 2, ColdTime: config.Duration(time.Second),
		Latency: config.Duration(10 * time.Millisecond), RestartAfter: config.Duration(time.Second),
		Snapshots: []backend.SnapshotInfo{leaf.Snapshot("s", 1, 1, 0)}}
	change(&c)
	return leaf.New(c)
}

// runCalls makes n concurrent calls and returns how many were answered.
func runCalls(l *leaf.Leaf, idPrefix string, n int) (answered int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() {
			_, err := l.Run(leaf.Request{ID: fmt.Sprint(idPrefix, i), Snapshot: "s", Timeout: time.Minute})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				answered++
			}
		})
	}
	calls.Wait()
	return answered
}

// Guards against a leaf that does not detect overload. Cold start tests would then pass whatever load a node sends.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLeaf(func(*leaf.Config) {})
		runCalls(l, "alone", 1)
		runCalls(l, "too many", 2)
		qt.Assert(t, l.Cold(), qt.IsTrue, qt.Commentf("enough calls, but ColdTime has not passed"))
		qt.Assert(t, l.Counters().OverloadedCold, qt.Equals, 1)
		time.Sleep(time.Second)
		qt.Assert(t, l.Cold(), qt.IsFalse)
		runCalls(l, "warm", 3)
		qt.Assert(t, l.Counters().OverloadedWarm, qt.Equals, 0)
		runCalls(l, "warm, too many", 4)
		c := l.Counters()
		qt.Assert(t, []int{c.OverloadedCold, c.OverloadedWarm, c.HighestCold, c.HighestWarm, c.Crashes}, qt.DeepEquals, []int{1, 1, 2, 4, 0})
		highest := slices.MaxFunc(l.Log(), func(a, b leaf.Execution) int { return a.Concurrent - b.Concurrent })
		qt.Assert(t, highest.Concurrent, qt.Equals, 4)
	})
}

// Guards against a leaf that does not crash on overload or on a bad request. Tests of crashes depend on it.
func TestCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLeaf(func(c *leaf.Config) { c.CrashOnOverload = true })
		boot := l.BootID()
		qt.Assert(t, runCalls(l, "too many", 2), qt.Equals, 0)
		qt.Assert(t, runCalls(l, "down", 1), qt.Equals, 0)
		time.Sleep(2 * time.Second)
		qt.Assert(t, l.BootID(), qt.Not(qt.Equals), boot)
		qt.Assert(t, l.Cold(), qt.IsTrue)
		qt.Assert(t, runCalls(l, "back", 1), qt.Equals, 1)
		l.Update(func(f *leaf.Faults) { f.CrashPrefix = "bad" })
		_, err := l.Run(leaf.Request{ID: "bad", Snapshot: "s", Payload: []byte("bad one"), Timeout: time.Minute})
		qt.Assert(t, err, qt.IsNotNil)
		var outcomes []leaf.Outcome
		for _, e := range l.Log() {
			outcomes = append(outcomes, e.Outcome)
		}
		qt.Assert(t, outcomes, qt.DeepEquals, []leaf.Outcome{leaf.Crashed, leaf.Crashed, leaf.Done, leaf.Crashed})
		time.Sleep(2 * time.Second)
	})
}

// Guards against a leaf that does not follow its configuration: its stragglers, its status lag, and the refusal of a
// call that is cancelled before it arrives.
func TestStragglersStatusLagAndEarlyCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLeaf(func(c *leaf.Config) {
			c.StragglerShare, c.StragglerLatency = 0.1, config.Duration(time.Hour)
			c.Slots, c.ColdCalls, c.ColdTime = 100, 0, 0
		})
		const calls = 200
		stragglers := calls
		for i := range calls {
			a, err := l.Run(leaf.Request{ID: fmt.Sprint(i), Snapshot: "s", Timeout: time.Second})
			qt.Assert(t, err, qt.IsNil)
			if a.Err == nil {
				stragglers--
			}
		}
		qt.Assert(t, stragglers > calls/20 && stragglers < calls/5, qt.IsTrue, qt.Commentf("%d", stragglers))

		l.Update(func(f *leaf.Faults) { f.StatusLag = config.Duration(time.Second) })
		_, err := l.Status()
		qt.Assert(t, err, qt.IsNil)
		l.Update(func(f *leaf.Faults) { f.Draining = true })
		st, _ := l.Status()
		qt.Assert(t, st.Draining, qt.IsFalse)
		time.Sleep(time.Second)
		st, _ = l.Status()
		qt.Assert(t, st.Draining, qt.IsTrue)

		qt.Assert(t, l.Cancel(context.Background(), "late"), qt.IsNil)
		a, err := l.Run(leaf.Request{ID: "late", Snapshot: "s", Timeout: time.Second})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, a.Err, qt.ErrorIs, backend.ErrRefused)
		qt.Assert(t, l.Log(), qt.HasLen, calls)
	})
}
