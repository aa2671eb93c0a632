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

// Guards against leaves that get more calls than their limit when they turn cold or restart under full load, when a
// session is lost while its calls go on, when a paused leaf resumes with the calls that wait in its sockets, when
// ownership is lost and regained, and when hedges are cancelled. The leaves count their own calls.
func TestNoOverload(t *testing.T) {
	tests := []struct {
		name        string
		cancelAfter [3]time.Duration // of every third call; 0 for never
		fault       func(env *testEnv)
	}{
		{"steady", never, func(*testEnv) {}},
		{"turns cold on its session", never, func(env *testEnv) { env.leaves[0].turnCold() }},
		{"restarts", never, func(env *testEnv) { env.leaves[0].dropSessions(true) }},
		{"session lost, calls go on", never, func(env *testEnv) {
			env.leaves[0].change(func(l *fakeLeaf) { l.workTime = 150 * time.Millisecond })
			time.Sleep(50 * time.Millisecond)
			env.leaves[0].dropSessions(false)
		}},
		{"lost again while it ramps up", never, func(env *testEnv) {
			env.leaves[0].dropSessions(false)
			time.Sleep(150 * time.Millisecond)
			env.leaves[0].dropSessions(false)
		}},
		{"paused", never, func(env *testEnv) { env.leaves[0].pause(2 * time.Second) }},
		{"ownership lost and regained", never, func(env *testEnv) {
			env.change(func() { env.owned = nil })
			time.Sleep(5 * time.Millisecond)
			before := env.leaves[0].counts().arrived
			usable := time.Now().Add(100 * time.Millisecond)
			env.change(func() { env.owned = []cluster.OwnedService{{Service: "svc", UsableFrom: usable}} })
			time.Sleep(99 * time.Millisecond)
			qt.Check(env.t, env.leaves[0].counts().arrived, qt.Equals, before)
		}},
		{"cancelled hedges", [3]time.Duration{0, 5 * time.Millisecond, 10 * time.Millisecond}, func(*testEnv) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 3)
				for _, l := range env.leaves {
					l.change(func(l *fakeLeaf) { l.stopTime = 30 * time.Millisecond })
				}
				var stop atomic.Bool
				callers := env.load(24, &stop, test.cancelAfter)
				time.Sleep(2350 * time.Millisecond) // between two status calls, with all leaves at their limits
				test.fault(env)
				time.Sleep(3 * time.Second)
				stop.Store(true)
				callers.Wait()
				env.stop()
				for _, l := range env.leaves {
					seen := l.counts()
					qt.Check(t, seen.overloads[:min(3, len(seen.overloads))], qt.HasLen, 0)
					qt.Check(t, seen.maxRunning, qt.Equals, 3) // the ramp-up ends
					qt.Check(t, seen.arrived > 300, qt.IsTrue, qt.Commentf("%d calls", seen.arrived))
				}
			})
		})
	}
}

// Guards against sends after a failed check, against slots that stay in use after one, and against a wrong verdict.
func TestDoChecks(t *testing.T) {
	tests := []struct {
		name    string
		before  func(*testEnv) // between Acquire and Do
		timeout time.Duration
		code    verdict.Code
	}{
		{"ownership lost", func(env *testEnv) { env.withLock(func() { env.owned = nil }) }, time.Second, verdict.CodeNoOwner},
		{"stale", func(env *testEnv) { env.withLock(func() { env.stale = true }) }, time.Second, verdict.CodeStale},
		{"leaf out of service", func(env *testEnv) { env.withLock(func() { env.outOfService["leaf0"] = true }) }, time.Second, verdict.CodeOutOfService},
		{"session lost", func(env *testEnv) { env.leaves[0].dropSessions(false); synctest.Wait() }, time.Second, verdict.CodeSessionLost},
		{"timeout too long", func(*testEnv) {}, 3 * time.Second, verdict.CodeInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				env := newTestEnv(t, 1)
				time.Sleep(time.Second)
				slot := env.mustAcquire()
				test.before(env)
				_, err := slot.Do(t.Context(), newCall(test.timeout))
				c.Assert(verdict.CodeOf(err), qt.Equals, test.code)
				c.Assert(verdict.Of(err).IsNotRun(), qt.IsTrue)
				c.Assert(env.leaves[0].counts().arrived, qt.Equals, 0)
				c.Assert(env.set.find("svc").slots.Stats().InUse, qt.Equals, 0)
			})
		})
	}
}

// Guards against a cancelled call that is reported as not run, or whose slot is free before the leaf has ended the
// call.
func TestEarlyReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env := newTestEnv(t, 1)
		env.leaves[0].change(func(l *fakeLeaf) { l.stopTime, l.sendDelay = 50*time.Millisecond, 5*time.Millisecond })
		time.Sleep(time.Second)
		slot := env.mustAcquire()
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond) // before the session sends the call
		defer cancel()
		_, err := slot.Do(ctx, newCall(time.Second))
		c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun())
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeDeadline)
		slot.Release()
		c.Assert(env.set.find("svc").slots.Stats().InUse, qt.Equals, 1)
		time.Sleep(100 * time.Millisecond)
		c.Assert(env.set.find("svc").slots.Stats().InUse, qt.Equals, 0)
	})
}

// Guards against further calls for a snapshot that a leaf has just dropped, and against a newer one that is seen late.
func TestSnapshotGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env := newTestEnv(t, 1)
		time.Sleep(1100 * time.Millisecond)
		env.leaves[0].change(func(l *fakeLeaf) { l.snapshotGone = true })
		slot := env.mustAcquire()
		_, err := slot.Do(t.Context(), newCall(time.Second))
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeSnapshotGone)
		c.Assert(verdict.Of(err).IsNotRun(), qt.IsTrue)
		_, err = env.acquire(t.Context())
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeSnapshotGone)
		time.Sleep(2 * oneWay)
		synctest.Wait()
		c.Assert(env.set.Snapshots("svc")[0].ID, qt.Equals, "s2")
	})
}

// Guards against connections and work for leaves that are out of service or draining, or of a service that is not owned
// or was released. Also guards against a service that gets no work after it was taken over again.
func TestNoWorkWhenOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env := newTestEnv(t, 2)
		time.Sleep(time.Second)
		c.Assert(env.set.Snapshots("svc")[0].Replicas[0], qt.HasLen, 2)
		env.change(func() { env.outOfService["leaf0"] = true })
		env.leaves[0].dropSessions(true)
		time.Sleep(time.Second)
		c.Assert(env.set.Snapshots("svc")[0].Replicas[0], qt.HasLen, 1)
		env.leaves[1].change(func(l *fakeLeaf) { l.draining = true })
		time.Sleep(time.Second)
		_, err := env.acquire(t.Context())
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeSnapshotGone)
		c.Assert(env.leaves[0].counts().dials, qt.Equals, 1)
		env.change(func() { env.outOfService = map[string]bool{} })
		time.Sleep(2 * time.Second)
		c.Assert(env.leaves[0].counts().dials, qt.Equals, 2)
		env.set.Release("svc")
		time.Sleep(2 * time.Second)
		_, err = env.acquire(t.Context())
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNoOwner)
		c.Assert(env.leaves[0].counts().dials, qt.Equals, 2)
		env.change(func() { env.owned = []cluster.OwnedService{{Service: "svc", Handover: &cluster.Handover{}}} })
		time.Sleep(2 * time.Second)
		env.mustAcquire()
	})
}

// Guards against a handover that loses the limits or the calls in flight. Also guards against a crash or a lost
// connection that is reported as the other, or without the calls in flight.
func TestHandoverAndCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		env := newTestEnv(t, 1)
		l := env.leaves[0]
		var stop atomic.Bool
		callers := env.load(4, &stop, never)
		time.Sleep(2 * time.Second)
		stop.Store(true)
		callers.Wait()
		l.change(func(l *fakeLeaf) { l.workTime = 300 * time.Millisecond })
		slot := env.mustAcquire()
		call := newCall(500 * time.Millisecond)
		go func() { _, _ = slot.Do(context.Background(), call) }()
		time.Sleep(100 * time.Millisecond)
		handover := env.set.Release("svc")
		c.Assert(handover, qt.DeepEquals, cluster.Handover{Service: "svc", Leaves: []cluster.LeafHandover{{
			VM: "leaf0", BootID: "leaf0/0", Limit: 3, BusyFor: []time.Duration{400*time.Millisecond + backend.EndGrace},
		}}})
		env.stop()

		nextOwner := newTestEnv(t, 0)
		defer time.Sleep(time.Second) // lets the lost call end on the leaf
		nextOwner.change(func() {
			nextOwner.leaves = env.leaves
			nextOwner.owned = []cluster.OwnedService{{Service: "svc", Handover: &handover}}
		})
		time.Sleep(100 * time.Millisecond)
		inUse, limit := nextOwner.set.find("svc").slots.LeafStats("leaf0")
		c.Assert([]int{inUse, limit}, qt.DeepEquals, []int{1, 3})
		for _, restart := range []bool{false, true} {
			time.Sleep(100 * time.Millisecond) // the lost connection is opened again
			slot = nextOwner.mustAcquire()
			call = newCall(500 * time.Millisecond)
			lost := make(chan error, 1)
			go func() { _, err := slot.Do(context.Background(), call); lost <- err }()
			time.Sleep(10 * time.Millisecond)
			l.dropSessions(restart)
			err := <-lost
			c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeSessionLost)
			c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun())
			c.Assert(<-nextOwner.set.Crashes(), qt.DeepEquals, leaf.Crash{Service: "svc", VM: "leaf0", Running: []string{call.ID},
				SameBoot: !restart})
		}
		time.Sleep(100 * time.Millisecond)
		inUse, limit = nextOwner.set.find("svc").slots.LeafStats("leaf0")
		c.Assert([]int{inUse, limit}, qt.DeepEquals, []int{0, 1})
	})
}
