package leafset

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/cluster"
	"cyclamenstream/api/leaf"
	"cyclamenstream/api/verdict"
)

var never [3]time.Duration

// Guards against leaves that get more calls than their ramp allows when they turn cold or restart under full load, when
// a session is lost while its calls go on, when a paused leaf goes on with what waits in its sockets, when ownership is lost and regained, and when hedges are cancelled. The
// leaves count their own calls.
func TestNoOverload(t *testing.T) {
	tests := []struct {
		name   string
		giveUp [3]time.Duration // of every third call; 0 for never
		fault  func(w *testEnv)
	}{
		{"steady", never, func(*testEnv) {}},
		{"turns cold on its session", never, func(w *testEnv) { w.leaves[0].turnCold() }},
		{"restarts", never, func(w *testEnv) { w.leaves[0].dropSessions(true) }},
		{"session lost, calls go on", never, func(w *testEnv) {
			w.leaves[0].change(func(l *fakeLeaf) { l.workTime = 150 * time.Millisecond })
			time.Sleep(50 * time.Millisecond)
			w.leaves[0].dropSessions(false)
		}},
		{"lost again while it ramps up", never, func(w *testEnv) {
			w.leaves[0].dropSessions(false)
			time.Sleep(150 * time.Millisecond)
			w.leaves[0].dropSessions(false)
		}},
		{"paused", never, func(w *testEnv) { w.leaves[0].pause(2 * time.Second) }},
		{"ownership lost and regained", never, func(w *testEnv) {
			w.change(func() { w.owned = nil })
			time.Sleep(5 * time.Millisecond)
			before := w.leaves[0].counts().arrived
			usable := time.Now().Add(100 * time.Millisecond)
			w.change(func() { w.owned = []cluster.OwnedService{{Service: "svc", UsableFrom: usable}} })
			time.Sleep(99 * time.Millisecond)
			qt.Check(w.t, w.leaves[0].counts().arrived, qt.Equals, before)
		}},
		{"cancelled hedges", [3]time.Duration{0, 5 * time.Millisecond, 10 * time.Millisecond}, func(*testEnv) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestEnv(t, 3)
				for _, l := range w.leaves {
					l.change(func(l *fakeLeaf) { l.stopTime = 30 * time.Millisecond })
				}
				var stop atomic.Bool
				callers := w.load(24, &stop, test.giveUp)
				time.Sleep(2350 * time.Millisecond) // between two status calls, with all leaves at their limits
				test.fault(w)
				time.Sleep(3 * time.Second)
				stop.Store(true)
				callers.Wait()
				w.stop()
				for _, l := range w.leaves {
					seen := l.counts()
					qt.Check(t, seen.overloads[:min(3, len(seen.overloads))], qt.HasLen, 0)
					qt.Check(t, seen.maxRunning, qt.Equals, 3) // the ramp ends
					qt.Check(t, seen.arrived > 300, qt.IsTrue, qt.Commentf("%d calls", seen.arrived))
				}
			})
		})
	}
}

// Guards against sends after a failed check, slots that such a send loses, and a wrong verdict.
func TestDoChecks(t *testing.T) {
	tests := []struct {
		name    string
		before  func(*testEnv) // between Acquire and Do
		timeout time.Duration
		code    verdict.Code
	}{
		{"ownership lost", func(w *testEnv) { w.changeUnannounced(func() { w.owned = nil }) }, time.Second, verdict.CodeNoOwner},
		{"stale", func(w *testEnv) { w.changeUnannounced(func() { w.stale = true }) }, time.Second, verdict.CodeStale},
		{"leaf out", func(w *testEnv) { w.changeUnannounced(func() { w.out["leaf0"] = true }) }, time.Second, verdict.CodeOutOfService},
		{"session lost", func(w *testEnv) { w.leaves[0].dropSessions(false); synctest.Wait() }, time.Second, verdict.CodeSessionLost},
		{"timeout too long", func(*testEnv) {}, 3 * time.Second, verdict.CodeInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newTestEnv(t, 1)
				time.Sleep(time.Second)
				slot := w.mustAcquire()
				test.before(w)
				_, err := slot.Do(t.Context(), newCall(test.timeout))
				c.Assert(verdict.CodeOf(err), qt.Equals, test.code)
				c.Assert(verdict.Of(err).IsNotRun(), qt.IsTrue)
				c.Assert(w.leaves[0].counts().arrived, qt.Equals, 0)
				c.Assert(w.set.find("svc").slots.Stats().InUse, qt.Equals, 0)
			})
		})
	}
}

// Guards against a cancelled call whose slot is free before the leaf has ended it, and that is reported as not run.
func TestEarlyReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newTestEnv(t, 1)
		w.leaves[0].change(func(l *fakeLeaf) { l.stopTime, l.sendDelay = 50*time.Millisecond, 5*time.Millisecond })
		time.Sleep(time.Second)
		slot := w.mustAcquire()
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond) // before the session sends the call
		defer cancel()
		_, err := slot.Do(ctx, newCall(time.Second))
		c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun())
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeDeadline)
		slot.Release()
		c.Assert(w.set.find("svc").slots.Stats().InUse, qt.Equals, 1)
		time.Sleep(100 * time.Millisecond)
		c.Assert(w.set.find("svc").slots.Stats().InUse, qt.Equals, 0)
	})
}

// Guards against further calls for a snapshot that a leaf has just dropped, and a newer one that is seen only later.
func TestSnapshotGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newTestEnv(t, 1)
		time.Sleep(1100 * time.Millisecond)
		w.leaves[0].change(func(l *fakeLeaf) { l.gone = true })
		slot := w.mustAcquire()
		_, err := slot.Do(t.Context(), newCall(time.Second))
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeSnapshotGone)
		c.Assert(verdict.Of(err).IsNotRun(), qt.IsTrue)
		_, err = w.acquire(t.Context())
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeSnapshotGone)
		time.Sleep(2 * oneWay)
		synctest.Wait()
		c.Assert(w.set.Snapshots("svc")[0].ID, qt.Equals, "s2")
	})
}

// Guards against connections and work for leaves that are out or draining, or of a service that is not owned or was
// released; and a service that gets no work after it was taken over again.
func TestNoWorkWhenOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newTestEnv(t, 2)
		time.Sleep(time.Second)
		c.Assert(w.set.Snapshots("svc")[0].Replicas[0], qt.HasLen, 2)
		w.change(func() { w.out["leaf0"] = true })
		w.leaves[0].dropSessions(true)
		time.Sleep(time.Second)
		c.Assert(w.set.Snapshots("svc")[0].Replicas[0], qt.HasLen, 1)
		w.leaves[1].change(func(l *fakeLeaf) { l.draining = true })
		time.Sleep(time.Second)
		_, err := w.acquire(t.Context())
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeSnapshotGone)
		c.Assert(w.leaves[0].counts().dials, qt.Equals, 1)
		w.change(func() { w.out = map[string]bool{} })
		time.Sleep(2 * time.Second)
		c.Assert(w.leaves[0].counts().dials, qt.Equals, 2)
		w.set.Release("svc")
		time.Sleep(2 * time.Second)
		_, err = w.acquire(t.Context())
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNoOwner)
		c.Assert(w.leaves[0].counts().dials, qt.Equals, 2)
		w.change(func() { w.owned = []cluster.OwnedService{{Service: "svc", Handover: &cluster.Handover{}}} })
		time.Sleep(2 * time.Second)
		w.mustAcquire()
	})
}

// Guards against a handover that loses the limits or the calls under way, and a crash or a lost connection that is
// reported without them or as the other.
func TestHandoverAndCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newTestEnv(t, 1)
		l := w.leaves[0]
		var stop atomic.Bool
		callers := w.load(4, &stop, never)
		time.Sleep(2 * time.Second)
		stop.Store(true)
		callers.Wait()
		l.change(func(l *fakeLeaf) { l.workTime = 300 * time.Millisecond })
		slot := w.mustAcquire()
		call := newCall(500 * time.Millisecond)
		go func() { _, _ = slot.Do(context.Background(), call) }()
		time.Sleep(100 * time.Millisecond)
		h := w.set.Release("svc")
		c.Assert(h, qt.DeepEquals, cluster.Handover{Service: "svc", Leaves: []cluster.LeafHandover{{
			VM: "leaf0", BootID: "leaf0/0", Limit: 3, BusyFor: []time.Duration{400*time.Millisecond + backend.EndGrace},
		}}})
		w.stop()

		next := newTestEnv(t, 0)
		defer time.Sleep(time.Second) // the leaf's own part of the lost call ends
		next.change(func() {
			next.leaves = w.leaves
			next.owned = []cluster.OwnedService{{Service: "svc", Handover: &h}}
		})
		time.Sleep(100 * time.Millisecond)
		inUse, limit := next.set.find("svc").slots.LeafStats("leaf0")
		c.Assert([]int{inUse, limit}, qt.DeepEquals, []int{1, 3})
		for _, restart := range []bool{false, true} {
			time.Sleep(100 * time.Millisecond) // the lost connection is opened again
			slot = next.mustAcquire()
			call = newCall(500 * time.Millisecond)
			lost := make(chan error, 1)
			go func() { _, err := slot.Do(context.Background(), call); lost <- err }()
			time.Sleep(10 * time.Millisecond)
			l.dropSessions(restart)
			err := <-lost
			c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeSessionLost)
			c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun())
			c.Assert(<-next.set.Crashes(), qt.DeepEquals, leaf.Crash{Service: "svc", VM: "leaf0", Running: []string{call.ID},
				SameBoot: !restart})
		}
		time.Sleep(100 * time.Millisecond)
		inUse, limit = next.set.find("svc").slots.LeafStats("leaf0")
		c.Assert([]int{inUse, limit}, qt.DeepEquals, []int{0, 1})
	})
}
