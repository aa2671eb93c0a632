// Package backendtest checks that an implementation of backend.Dialer and backend.Session satisfies the contract of
// these interfaces, also under faults.
package backendtest

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/config"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/standin/leaf"
)

// Fixture is a dialer under test and the stand-in leaf that it reaches at Address.
type Fixture struct {
	Dialer  backend.Dialer
	Address string
	Leaf    *leaf.Leaf
}

// The leaf that the cases use. A call takes latency on average. slack allows for scheduling delays on a busy machine.
const (
	service     = "lookup"
	snapshot    = "s1"
	shards      = 4
	latency     = 20 * time.Millisecond
	callTimeout = 5 * time.Second
	slack       = 200 * time.Millisecond
)

type check struct {
	*qt.C
	Fixture
	ctx     context.Context
	session backend.Session
}

// Run tests the contract. newFixture starts a leaf with the given configuration for each case.
func Run(t *testing.T, newFixture func(t *testing.T, c leaf.Config) Fixture) {
	cases := []struct {
		name   string
		change func(*leaf.Config)
		run    func(check)
	}{
		{"an answer belongs to its call", nil, answered},
		{"concurrent calls get their own answers", nil, concurrent},
		{"a partial answer keeps its share", nil, partial},
		{"a refusal did not run", nil, refused},
		{"a missing snapshot did not run", nil, gone},
		{"the leaf ends a call at its timeout", slow, timedOut},
		{"the end of the context shortens the leaf's timeout", slow, shortened},
		{"a cancelled call is awaited until the leaf has ended it", slow, cancelled},
		{"a call whose context has ended is not sent", nil, notSent},
		{"a crash loses the session for good", slow, crashed},
		{"a closed session loses its calls", slow, closed},
		{"crossed answers are dropped", nil, crossed},
		{"an answer that does not come is given up", nil, givenUp},
		{"a status describes the leaf and runs nothing", nil, status},
		{"a leaf with no free connection is not dialled", func(c *leaf.Config) { c.Connections = 1 }, connections},
		{"an address without a leaf fails in time", nil, unreachable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			t.Cleanup(cancel)
			c := check{C: qt.New(t), Fixture: newFixture(t, leafConfig(tc.change)), ctx: ctx}
			c.session = c.dial()
			tc.run(c)
		})
	}
}

func leafConfig(change func(*leaf.Config)) leaf.Config {
	c := leaf.Config{VM: "l1", Service: service, Slots: 32, ColdSlots: 32, Latency: config.Duration(latency / 2), Seed: 1,
		RestartAfter: config.Duration(latency),
		Snapshots:    []backend.SnapshotInfo{leaf.Snapshot(snapshot, 7, shards, 0, 1, 2, 3)}}
	if change != nil {
		change(&c)
	}
	return c
}

// slow makes every call take longer than a case lasts.
func slow(c *leaf.Config) { c.Latency = config.Duration(time.Minute) }

func (c check) dial() backend.Session {
	s, err := c.Dialer.Dial(c.ctx, c.Address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return s
}

func call(id string) (backend.Call, *verdict.Attempt) {
	a := &verdict.Attempt{}
	return backend.Call{ID: id, Service: service, Snapshot: snapshot, Shard: 1, Payload: []byte("payload of " + id),
		Timeout: callTimeout, Attempt: a}, a
}

// waitStarted waits until the leaf has started n calls.
func (c check) waitStarted(n int) {
	for c.Leaf.Counters().Started < n {
		c.Assert(c.ctx.Err(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
}

func (c check) wantVerdict(a *verdict.Attempt, want string) {
	c.Helper()
	c.Assert(a.Verdict().String(), qt.Equals, want)
}

func (c check) wantLost(s backend.Session) {
	c.Helper()
	select {
	case <-s.Done():
	case <-time.After(time.Second):
		c.Fatal("the session was not reported as lost within a second")
	}
	request, a := call("after the loss")
	_, err := s.Do(c.ctx, request)
	c.Assert(err, qt.ErrorIs, backend.ErrSessionLost)
	c.wantVerdict(a, "not-run")
	_, err = s.Status(c.ctx)
	c.Assert(err, qt.IsNotNil)
}

func (c check) checkAnswer(request backend.Call, a *verdict.Attempt, r backend.Reply, err error) {
	c.Helper()
	c.Check(err, qt.IsNil)
	c.Check(r, qt.DeepEquals, backend.Reply{ID: request.ID, Snapshot: snapshot, Shard: request.Shard, BootID: c.Leaf.BootID(),
		Data: leaf.Data(service, snapshot, request.Shard, request.Payload), Covered: 1})
	c.Check(a.Verdict().IsCompleted(), qt.IsTrue)
}

func answered(c check) {
	request, a := call("one")
	r, err := c.session.Do(c.ctx, request)
	c.checkAnswer(request, a, r, err)
	log := c.Leaf.Log()
	c.Assert(log, qt.HasLen, 1)
	c.Assert(log[0].ID, qt.Equals, "one")
	c.Assert(log[0].Outcome, qt.Equals, leaf.Done)
}

func concurrent(c check) {
	var g errgroup.Group
	for i := range 20 {
		g.Go(func() error {
			request, a := call(fmt.Sprint("call ", i))
			request.Shard = uint32(i % shards)
			r, err := c.session.Do(c.ctx, request)
			c.checkAnswer(request, a, r, err)
			return nil
		})
	}
	c.Assert(g.Wait(), qt.IsNil)
	c.Assert(c.Leaf.Counters().Completed, qt.Equals, 20)
}

func partial(c check) {
	c.Leaf.Update(func(f *leaf.Faults) { f.Partial = map[uint32]float64{1: 0.375} })
	request, a := call("one")
	r, err := c.session.Do(c.ctx, request)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Covered, qt.Equals, 0.375)
	c.wantVerdict(a, "completed")
}

func refused(c check) {
	c.Leaf.Update(func(f *leaf.Faults) { f.Refuse = true })
	c.wantRefusal("one", func(*backend.Call) {}, backend.ErrRefused)
}

func gone(c check) {
	c.wantRefusal("snapshot", func(r *backend.Call) { r.Snapshot = "s2" }, backend.ErrSnapshotGone)
	c.wantRefusal("shard", func(r *backend.Call) { r.Shard = shards }, backend.ErrSnapshotGone)
}

func (c check) wantRefusal(id string, change func(*backend.Call), want error) {
	c.Helper()
	request, a := call(id)
	change(&request)
	_, err := c.session.Do(c.ctx, request)
	c.Assert(err, qt.ErrorIs, want)
	c.wantVerdict(a, "not-run")
	c.Assert(c.Leaf.Log(), qt.HasLen, 0)
}

func timedOut(c check) {
	request, a := call("one")
	request.Timeout = latency
	_, err := c.session.Do(c.ctx, request)
	c.Assert(err, qt.ErrorIs, backend.ErrStopped)
	c.wantVerdict(a, "may-have-run")
	c.wantStopped(latency)
}

func shortened(c check) {
	request, a := call("one")
	ctx, cancel := context.WithTimeout(c.ctx, 2*latency)
	defer cancel()
	_, err := c.session.Do(ctx, request)
	c.Assert(err, qt.ErrorIs, backend.ErrStopped)
	c.wantVerdict(a, "may-have-run")
	c.wantStopped(2 * latency)
	c.Assert(time.Duration(c.Leaf.Log()[0].Timeout) <= 2*latency, qt.IsTrue)
}

// wantStopped checks that the leaf ran only one call and stopped it within limit and slack.
func (c check) wantStopped(limit time.Duration) {
	c.Helper()
	log := c.Leaf.Log()
	c.Assert(log, qt.HasLen, 1)
	c.Assert(log[0].Outcome, qt.Equals, leaf.Stopped)
	c.Assert(log[0].End.Sub(log[0].Start) < limit+slack, qt.IsTrue)
}

func cancelled(c check) {
	request, a := call("one")
	ctx, cancel := context.WithCancel(c.ctx)
	go func() {
		c.waitStarted(1)
		cancel()
	}()
	_, err := c.session.Do(ctx, request)
	// Do returns only after the call has ended on the leaf.
	c.Assert(err, qt.ErrorIs, backend.ErrStopped)
	c.wantVerdict(a, "may-have-run")
	c.wantStopped(slack)
	c.Assert(c.Leaf.Counters().Cancels, qt.Equals, 1)
}

func notSent(c check) {
	ended, cancel := context.WithCancel(c.ctx)
	cancel()
	request, a := call("ended")
	_, err := c.session.Do(ended, request)
	c.Assert(err, qt.ErrorIs, context.Canceled)
	c.wantVerdict(a, "not-run")
	request, a = call("no timeout")
	request.Timeout = 0
	_, err = c.session.Do(c.ctx, request)
	c.Assert(err, qt.IsNotNil)
	c.wantVerdict(a, "not-run")
	c.Assert(c.Leaf.Log(), qt.HasLen, 0)
	c.Assert(c.Leaf.Counters().Cancels, qt.Equals, 0)
}

func crashed(c check) {
	boot := c.Leaf.BootID()
	go func() {
		c.waitStarted(1)
		c.Leaf.Crash()
	}()
	request, a := call("one")
	_, err := c.session.Do(c.ctx, request)
	c.Assert(err, qt.ErrorIs, backend.ErrSessionLost)
	c.wantVerdict(a, "may-have-run")
	c.wantLost(c.session)
	var next backend.Session
	for next == nil {
		c.Assert(c.ctx.Err(), qt.IsNil)
		next, _ = c.Dialer.Dial(c.ctx, c.Address)
		time.Sleep(latency)
	}
	defer next.Close()
	st, err := next.Status(c.ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(st.BootID, qt.Not(qt.Equals), boot)
	c.wantLost(c.session) // a lost session stays lost when the leaf is back
}

func closed(c check) {
	go func() {
		c.waitStarted(1)
		_ = c.session.Close()
	}()
	request, a := call("one")
	_, err := c.session.Do(c.ctx, request)
	c.Assert(err, qt.ErrorIs, backend.ErrSessionLost)
	c.wantVerdict(a, "may-have-run")
	c.wantLost(c.session)
}

func crossed(c check) {
	c.Leaf.Update(func(f *leaf.Faults) { f.Swap = 2 })
	var g errgroup.Group
	for _, id := range []string{"one", "two"} {
		g.Go(func() error {
			request, a := call(id)
			r, err := c.session.Do(c.ctx, request)
			c.Check(err, qt.ErrorIs, backend.ErrMismatch)
			c.Check(r, qt.DeepEquals, backend.Reply{})
			c.Check(a.Verdict().String(), qt.Equals, "may-have-run")
			return nil
		})
	}
	c.Assert(g.Wait(), qt.IsNil)
	request, a := call("three")
	r, err := c.session.Do(c.ctx, request)
	c.checkAnswer(request, a, r, err)
}

func givenUp(c check) {
	c.Leaf.Update(func(f *leaf.Faults) { f.AnswerDelay = config.Duration(time.Minute) })
	request, a := call("one")
	request.Timeout = 10 * latency
	start := time.Now()
	_, err := c.session.Do(c.ctx, request)
	c.Assert(err, qt.ErrorIs, backend.ErrSessionLost)
	c.wantVerdict(a, "may-have-run")
	took := time.Since(start)
	c.Assert(took >= request.Timeout+backend.EndGrace, qt.IsTrue, qt.Commentf("gave up after %v", took))
	c.Assert(took < request.Timeout+backend.EndGrace+slack, qt.IsTrue, qt.Commentf("gave up after %v", took))
}

func status(c check) {
	c.Leaf.Update(func(f *leaf.Faults) { f.Draining = true })
	st, err := c.session.Status(c.ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(st, qt.DeepEquals, backend.Status{BootID: c.Leaf.BootID(), Draining: true,
		Snapshots: []backend.SnapshotInfo{{ID: snapshot, Sequence: 7, ShardCount: shards, Shards: []uint32{0, 1, 2, 3}}}})
	c.Assert(c.Leaf.Log(), qt.HasLen, 0)
	ended, cancel := context.WithCancel(c.ctx)
	cancel()
	_, err = c.session.Status(ended)
	c.Assert(err, qt.ErrorIs, context.Canceled)
	_, err = c.session.Status(c.ctx)
	c.Assert(err, qt.IsNil, qt.Commentf("the session was lost when the context of a call ended"))
}

func connections(c check) {
	ctx, cancel := context.WithTimeout(c.ctx, slack)
	defer cancel()
	_, err := c.Dialer.Dial(ctx, c.Address)
	c.Assert(err, qt.IsNotNil)
	c.Assert(c.session.Close(), qt.IsNil)
	for err != nil {
		c.Assert(c.ctx.Err(), qt.IsNil)
		var s backend.Session
		if s, err = c.Dialer.Dial(c.ctx, c.Address); err == nil {
			err = s.Close()
		}
	}
}

func unreachable(c check) {
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	_, err := c.Dialer.Dial(ctx, "127.0.0.1:1")
	c.Assert(err, qt.IsNotNil)
	c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("Dial waited for its deadline although the connection was refused"))
}
