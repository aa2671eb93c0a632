package membudget

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	mib      = 1 << 20
	bodySize = 256 << 10
)

// conn is a connection whose owner acts at once when it must give way.
type conn struct {
	account *Account
	refused bool
	closed  bool
}

func open(b *Budget) *conn {
	c := &conn{}
	c.account = b.Open(func(closeConnection bool) {
		c.refused, c.closed = !closeConnection, closeConnection
		go func() {
			c.account.Release()
			c.account.Close()
		}()
	})
	return c
}

// receive lets a body of the given size arrive.
func (c *conn) receive(size int64) bool {
	c.account.Begin()
	c.account.HeaderDone()
	if !c.account.Reserve(nil, size) {
		return false
	}
	c.account.Progress()
	return true
}

func newBudget(bytes int64, connections int) *Budget {
	return New(Config{Bytes: bytes, Connections: connections, MaxWait: func() <-chan time.Time { return time.After(10 * time.Second) }})
}

// Guards against bodies that stop short of their end and take the memory of those that arrive, and against a crowd that
// takes more than the budget.
func TestSlowBodiesGiveWay(t *testing.T) {
	c := qt.New(t)
	b := newBudget(64*mib, 4000)
	var crowd []*conn
	for range 1500 {
		crowd = append(crowd, open(b))
	}
	fast := open(b)
	for i, stalled := range crowd {
		stalled.receive(bodySize)
		if i%10 == 0 {
			c.Assert(fast.receive(1024), qt.IsTrue)
		}
		c.Assert(b.used.Load() <= 64*mib, qt.IsTrue)
	}
	c.Check(fast.refused || fast.closed, qt.IsFalse)
	c.Check(fast.account.Work(), qt.IsTrue)
	c.Check(crowd[0].refused, qt.IsTrue)
	c.Check(crowd[0].account.Work(), qt.IsFalse)
	c.Check(crowd[len(crowd)-1].refused, qt.IsFalse)
	c.Check(open(b).receive(1000), qt.IsTrue)
}

// Guards against many small requests that stop and take the memory of a large one that arrives.
func TestSmallStalledRequestsGiveWay(t *testing.T) {
	c := qt.New(t)
	b := newBudget(16*mib, 4000)
	large := open(b)
	c.Assert(large.receive(bodySize), qt.IsTrue)
	for i := range 2000 {
		open(b).receive(SmallRequestBytes)
		if i%10 == 0 {
			large.account.Progress()
		}
	}
	c.Check(large.account.Work(), qt.IsTrue)
}

// Guards against requests that run and give way, and against small requests that are refused because large ones run.
func TestRunningRequestsStay(t *testing.T) {
	c := qt.New(t)
	b := newBudget(4*mib, 100)
	var running []*conn
	for {
		r := open(b)
		if !r.receive(bodySize) {
			break
		}
		c.Assert(r.account.Work(), qt.IsTrue)
		running = append(running, r)
	}
	c.Check(len(running) > 10, qt.IsTrue)
	for _, r := range running {
		c.Check(r.refused || r.closed, qt.IsFalse)
	}
	c.Check(open(b).receive(1000), qt.IsTrue)
	running[0].account.Answer()
	running[0].account.Done()
	c.Check(open(b).receive(bodySize-ConnectionBytes), qt.IsTrue)
}

// Guards against a process without descriptors for new callers, and against unfinished requests that are closed while
// there are idle connections.
func TestIdleConnectionsGiveWayFirst(t *testing.T) {
	c := qt.New(t)
	b := newBudget(64*mib, 40)
	unfinished := open(b)
	unfinished.account.Begin()
	idle := open(b)
	for range 200 {
		c.Assert(open(b).account, qt.IsNotNil)
		c.Assert(b.Stats().Connections <= 40, qt.IsTrue)
	}
	c.Check(idle.closed, qt.IsTrue)
	c.Check(idle.account.Begin(), qt.IsFalse)
	c.Check(unfinished.closed, qt.IsFalse)
	for range 39 {
		working := open(b)
		c.Assert(working.receive(1), qt.IsTrue)
		c.Assert(working.account.Work(), qt.IsTrue)
	}
	last := open(b)
	c.Check(unfinished.closed, qt.IsTrue)
	c.Check(last.receive(1) && last.account.Work(), qt.IsTrue)
	c.Check(open(b).account, qt.IsNil)
}

// Guards against bytes that are not given back on one of the ways out, also when many connections act at the same time.
func TestAllIsGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget(2*mib, 50)
		var running sync.WaitGroup
		for range 60 {
			steps := rapid.SliceOfN(rapid.IntRange(0, 5), 0, 12).Draw(t, "steps")
			running.Go(func() {
				a := b.Open(func(bool) {})
				if a == nil {
					return
				}
				for _, step := range steps {
					if a.Evicted() {
						break
					}
					switch step {
					case 0:
						a.Begin()
					case 1:
						a.HeaderDone()
					case 2:
						a.Reserve(nil, 90_000)
					case 3:
						a.Work()
					case 4:
						a.Answer()
					case 5:
						a.Done()
					}
				}
				a.Close()
			})
		}
		running.Wait()
		if used, open := b.used.Load(), b.Stats().Connections; used != 0 || open != 0 {
			t.Fatalf("%d bytes and %d connections are left", used, open)
		}
	})
}

// Guards against a pipelined request that is taken for an evicted one, or is refused, because the first byte of the next
// request arrives at the moment at which it is passed on.
func TestNextRequestArrivesMeanwhile(t *testing.T) {
	a := open(newBudget(mib, 10)).account
	var round, arrived atomic.Int64
	var evicted atomic.Bool
	var reader sync.WaitGroup
	const rounds = 50_000
	reader.Go(func() {
		for i := int64(1); i <= rounds; i++ {
			for round.Load() < i {
				runtime.Gosched()
			}
			if !a.Begin() {
				evicted.Store(true)
			}
			arrived.Store(i)
		}
	})
	refused := 0
	for i := int64(1); i <= rounds; i++ {
		round.Store(i)
		a.HeaderDone()
		if !a.Work() {
			refused++
		}
		for arrived.Load() < i {
			runtime.Gosched()
		}
		a.Done()
	}
	reader.Wait()
	if evicted.Load() || refused > 0 {
		t.Fatalf("evicted: %v; %d requests were refused", evicted.Load(), refused)
	}
}

// Guards against memory that a connection keeps and that is given back with its request, or is counted among what it can give
// back, and against connections that keep more than half of the budget.
func TestKeptMemoryEndsWithTheConnection(t *testing.T) {
	c := qt.New(t)
	const kept = 56 << 10
	b := newBudget(1*mib, 100)
	first := open(b)
	c.Assert(first.receive(bodySize), qt.IsTrue)
	c.Assert(first.account.Keep(kept), qt.IsTrue)
	gain := holding{account: first.account, phase: Body, held: first.account.held.Load(), connection: first.account.connectionBytes()}.gain()
	c.Check(gain, qt.Equals, int64(bodySize))
	first.account.Done()
	c.Check(b.used.Load(), qt.Equals, int64(ConnectionBytes+kept))
	var others []*conn
	for range 20 {
		other := open(b)
		others = append(others, other)
		other.account.Keep(kept)
	}
	c.Check(others[0].account.kept.Load(), qt.Equals, int64(kept))
	c.Check(others[len(others)-1].account.kept.Load(), qt.Equals, int64(0))
	for _, open := range append(others, first) {
		open.account.Close()
	}
	c.Check(b.used.Load(), qt.Equals, int64(0))
}
