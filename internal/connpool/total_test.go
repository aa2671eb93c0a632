package connpool

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// withTotal runs a check with two pools of one server that share a bound.
func withTotal(t *testing.T, connections int, check func(c *qt.C, s *server, first, second *Pool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, s, total := qt.New(t), &server{}, NewTotal(connections)
		first, second := New(s.dial, 10, keep, total), New(s.dial, 10, keep, total)
		check(c, s, first, second)
		first.Close()
		second.Close()
		time.Sleep(2 * dialTime) // dials end
		c.Check(s.peak.Load() <= int64(connections), qt.IsTrue, qt.Commentf("%d were open", s.peak.Load()))
		c.Check(total.free.TryAcquire(int64(connections)), qt.IsTrue, qt.Commentf("a connection is still counted"))
	})
}

// Guards against many leaves whose connections together exceed the node's descriptors, and against idle connections to some
// that keep others from being reached.
func TestIdleConnectionsOfOthersGiveWay(t *testing.T) {
	withTotal(t, 2, func(c *qt.C, s *server, first, second *Pool) {
		older, newer := get(c, first, 0), get(c, first, 0)
		older.Release()
		time.Sleep(time.Millisecond)
		newer.Release()
		get(c, second, 0).Release()
		c.Check(first.HasIdle(), qt.IsTrue)
		c.Check(get(c, first, 0), qt.Equals, newer)
		newer.Release()
	})
}

// Guards against a busy leaf that keeps all connections, so that requests to others wait for ever.
func TestWaitingDialsAreServedInOrder(t *testing.T) {
	withTotal(t, 1, func(c *qt.C, s *server, first, second *Pool) {
		conn := get(c, first, 0)
		var waiting sync.WaitGroup
		for _, p := range []*Pool{second, first} {
			waiting.Go(func() {
				other := get(c, p, 0)
				time.Sleep(dialTime)
				other.Release()
			})
			time.Sleep(time.Millisecond)
		}
		conn.Release()
		waiting.Wait()
	})
}

// Guards against requests that end while they wait, and whose connections stay counted.
func TestEndedWaitIsNotCounted(t *testing.T) {
	withTotal(t, 1, func(c *qt.C, s *server, first, second *Pool) {
		conn := get(c, first, 0)
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, err := second.Get(ctx, 0)
		c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
		c.Assert(conn.Close(), qt.IsNil)
		s.unreachable.Store(true)
		_, err = second.Get(context.Background(), 0)
		c.Check(err, qt.ErrorIs, errUnreachable)
		s.unreachable.Store(false)
		get(c, first, 0).Release()
	})
}
