package roster

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/registry"
	"cyclamenstream/internal/decision"
)

// fakeLeases is a registry that counts the calls for one node's lease.
type fakeLeases struct {
	registry.Registry
	granted, published, revoked atomic.Int64
	// leaseEnded is set if every lease has ended.
	leaseEnded atomic.Bool
	// unansweredRenewals is how many of the next renewals get no answer.
	unansweredRenewals atomic.Int64
	renewCalls         atomic.Int64
	lastRenewal        atomic.Pointer[time.Time]
	// entries holds the leases under which the entry is written.
	entries sync.Map
	entry   atomic.Pointer[registry.Member]
	// during, if set, is called while the named call waits for its answer.
	during atomic.Pointer[func(call string)]
}

func (l *fakeLeases) call(name string) {
	if during := l.during.Load(); during != nil {
		(*during)(name)
	}
}

func (l *fakeLeases) Grant(context.Context, time.Duration) (uint64, error) {
	l.call("grant")
	return uint64(l.granted.Add(1)), nil
}

func (l *fakeLeases) Publish(_ context.Context, lease uint64, members ...registry.Member) (uint64, error) {
	l.entry.Store(&members[0])
	l.entries.Store(lease, true)
	l.call("publish")
	return uint64(l.published.Add(1)), nil
}

func (l *fakeLeases) Renew(ctx context.Context, _ uint64) error {
	l.renewCalls.Add(1)
	l.call("renew")
	if l.unansweredRenewals.Add(-1) >= 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	now := time.Now()
	l.lastRenewal.Store(&now)
	if l.leaseEnded.Load() {
		return registry.ErrNoLease
	}
	return nil
}

func (l *fakeLeases) Revoke(_ context.Context, lease uint64) error {
	l.revoked.Add(1)
	l.entries.Delete(lease)
	return nil
}

var self = registry.Member{ID: "n1", Zone: "z1", Region: "r1", CallerAddress: "10.0.0.1:1", Boot: 7}

func run(t *testing.T, check func(*qt.C, *fakeLeases, *Roster)) { runEvery(t, time.Second, check) }

func runEvery(t *testing.T, interval time.Duration, check func(*qt.C, *fakeLeases, *Roster)) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLeases{}
		log := decision.New(io.Discard, "n1", "z1")
		ready := time.Now().Add(time.Second)
		r := New(l, nil, Config{LeaseTTL: 4 * time.Second, RenewInterval: interval, ResolveTTL: time.Second}, self,
			func() bool { return !time.Now().Before(ready) }, log)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { r.Run(ctx); close(done) }()
		check(qt.New(t), l, r)
		cancel()
		<-done
		log.Close(time.Second)
	})
}

// Guards against a node whose entry is published before it can serve, or long after it can.
func TestPublishedOnceServing(t *testing.T) {
	run(t, func(c *qt.C, l *fakeLeases, r *Roster) {
		time.Sleep(990 * time.Millisecond)
		c.Assert(l.published.Load(), qt.Equals, int64(0))
		c.Assert(r.Ready(), qt.IsFalse)
		time.Sleep(100 * time.Millisecond)
		c.Assert(l.published.Load(), qt.Equals, int64(1))
		c.Assert(r.Ready(), qt.IsTrue)
	})
}

// Guards against a lease that expires because one renewal got no answer, and against a node that calls an unavailable
// registry more often than an available one.
func TestUnansweredRenewal(t *testing.T) {
	runEvery(t, 1500*time.Millisecond, func(c *qt.C, l *fakeLeases, r *Roster) {
		time.Sleep(5 * time.Second)
		before := *l.lastRenewal.Load()
		l.unansweredRenewals.Store(1)
		for l.unansweredRenewals.Load() >= 0 {
			time.Sleep(10 * time.Millisecond)
		}
		gap := l.lastRenewal.Load().Sub(before)
		c.Assert(gap > 2*time.Second && gap < r.config.LeaseTTL-500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", gap))
		c.Assert(l.granted.Load(), qt.Equals, int64(1))
		l.unansweredRenewals.Store(1000)
		time.Sleep(5 * time.Second)
		// A call times out after 1 s and the next one begins 1.5 s later. The window of ten calls begins just after a call,
		// so that its ends do not coincide with calls.
		calls := l.renewCalls.Load()
		for l.renewCalls.Load() == calls {
			time.Sleep(10 * time.Millisecond)
		}
		calls = l.renewCalls.Load()
		time.Sleep(25*time.Second - 20*time.Millisecond)
		c.Assert(l.renewCalls.Load()-calls <= 9, qt.IsTrue, qt.Commentf("%d calls in 25 s", l.renewCalls.Load()-calls))
	})
}

// Guards against a node that stays without an entry after its lease ended or its entry was removed.
func TestEntryIsWrittenAgain(t *testing.T) {
	run(t, func(c *qt.C, l *fakeLeases, r *Roster) {
		time.Sleep(1500 * time.Millisecond)
		l.leaseEnded.Store(true)
		time.Sleep(time.Second)
		l.leaseEnded.Store(false)
		c.Assert(l.published.Load(), qt.Equals, int64(2))

		time.Sleep(publishGrace + time.Second)
		r.Update([]registry.Member{{ID: "n2"}}, 0)
		time.Sleep(time.Second)
		c.Assert(l.published.Load(), qt.Equals, int64(3))
		r.Update([]registry.Member{{ID: "n2"}, self}, 0)
		time.Sleep(5 * time.Second)
		c.Assert(l.published.Load(), qt.Equals, int64(3))
	})
}

// Guards against a stopping node that counts as ready or publishes its entry again.
func TestStop(t *testing.T) {
	run(t, func(c *qt.C, l *fakeLeases, r *Roster) {
		time.Sleep(2 * time.Second)
		c.Assert(r.Stop(context.Background()), qt.IsNil)
		c.Assert(r.Ready(), qt.IsFalse)
		addresses, _ := r.Resolve("r1", "z1")
		c.Assert(addresses, qt.HasLen, 0)
		time.Sleep(3 * time.Second)
		c.Assert(l.revoked.Load(), qt.Equals, int64(1))
		c.Assert(l.published.Load(), qt.Equals, int64(1))
	})
}

// Guards against a stopping node whose entry stays in the registry because the stop falls between two steps of a renewal.
func TestStopDuringRenewal(t *testing.T) {
	for _, step := range []string{"renew", "grant", "publish"} {
		t.Run(step, func(t *testing.T) {
			run(t, func(c *qt.C, l *fakeLeases, r *Roster) {
				time.Sleep(2500 * time.Millisecond)
				var stopped atomic.Bool
				during := func(call string) {
					if call == step && stopped.CompareAndSwap(false, true) {
						c.Check(r.Stop(context.Background()), qt.IsNil)
					}
				}
				l.during.Store(&during)
				l.leaseEnded.Store(true)
				time.Sleep(5 * time.Second)
				c.Assert(stopped.Load(), qt.IsTrue)
				l.entries.Range(func(lease, _ any) bool {
					c.Check(lease, qt.Equals, uint64(1)) // this one has ended by itself
					return true
				})
			})
		})
	}
}

// Guards against callers that are sent to another region without need, or to no node.
func TestResolveNearest(t *testing.T) {
	run(t, func(c *qt.C, _ *fakeLeases, r *Roster) {
		time.Sleep(2 * time.Second)
		r.Update([]registry.Member{self, {ID: "n2", Zone: "z2", Region: "r1", CallerAddress: "b"}, {ID: "n3", Zone: "z3", Region: "r3", CallerAddress: "c"}}, 0)
		cases := []struct {
			region, zone string
			want         []string
		}{
			{"r1", "z1", []string{"10.0.0.1:1"}},
			{"r1", "z2", []string{"b"}},
			{"r1", "z9", []string{"b", "10.0.0.1:1"}},
			{"r3", "z3", []string{"c"}},
			{"r9", "z9", []string{"b", "c", "10.0.0.1:1"}},
		}
		for _, test := range cases {
			addresses, ttl := r.Resolve(test.region, test.zone)
			c.Assert(addresses, qt.DeepEquals, test.want)
			c.Assert(ttl, qt.Equals, time.Second)
		}
	})
}

// Guards against an overload that other nodes do not learn of, one that they learn of without need, and an entry that is
// written again and again.
func TestOverloadIsPublished(t *testing.T) {
	run(t, func(c *qt.C, l *fakeLeases, r *Roster) {
		r.SetOverloaded(true) // before there is an entry
		time.Sleep(2 * time.Second)
		c.Check(l.published.Load(), qt.Equals, int64(1))
		c.Check(l.entry.Load().Overloaded, qt.IsTrue)
		r.SetOverloaded(false)
		time.Sleep(100 * time.Millisecond)
		c.Check(l.published.Load(), qt.Equals, int64(2))
		c.Check(l.entry.Load().Overloaded, qt.IsFalse)
		time.Sleep(5 * time.Second)
		c.Check(l.published.Load(), qt.Equals, int64(2))
		c.Check(l.granted.Load(), qt.Equals, int64(1))

		high := func(id string) registry.Member { return registry.Member{ID: id, Zone: "z1", Region: "r1", Capacity: 8} }
		r.Update([]registry.Member{self, high("n2"), high("n3")}, 0) // callers are sent to the others
		r.SetOverloaded(true)
		time.Sleep(5 * time.Second)
		c.Check(l.published.Load(), qt.Equals, int64(2))
	})
}
