package roster

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/registry"
	"cyclamenstream/internal/decision"
)

// leases is a registry of one node's leases.
type leases struct {
	registry.Registry
	granted, published, revoked atomic.Int64
	// ended says that no lease holds any more.
	ended atomic.Bool
	// unanswered is the number of the next renewals that get no answer.
	unanswered atomic.Int64
	calls      atomic.Int64
	renewed    atomic.Pointer[time.Time]
}

func (l *leases) Grant(context.Context, time.Duration) (uint64, error) {
	return uint64(l.granted.Add(1)), nil
}

func (l *leases) Publish(context.Context, uint64, registry.Member) error {
	l.published.Add(1)
	return nil
}

func (l *leases) Renew(ctx context.Context, _ uint64) error {
	l.calls.Add(1)
	if l.unanswered.Add(-1) >= 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	now := time.Now()
	l.renewed.Store(&now)
	if l.ended.Load() {
		return registry.ErrNoLease
	}
	return nil
}

func (l *leases) Revoke(context.Context, uint64) error {
	l.revoked.Add(1)
	return nil
}

var self = registry.Member{ID: "n1", Zone: "z1", Region: "r1", CallerAddress: "10.0.0.1:1", Boot: 7}

func play(t *testing.T, check func(*qt.C, *leases, *Roster)) { playRenewing(t, time.Second, check) }

func playRenewing(t *testing.T, interval time.Duration, check func(*qt.C, *leases, *Roster)) {
	synctest.Test(t, func(t *testing.T) {
		l := &leases{}
		log := decision.New(io.Discard, "n1", "z1")
		ready := time.Now().Add(time.Second)
		r := New(l, Config{LeaseTTL: 4 * time.Second, RenewInterval: interval, ResolveTTL: time.Second}, self,
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

// Guards against a node that is named before it can serve, or late after it can.
func TestPublishedOnceServing(t *testing.T) {
	play(t, func(c *qt.C, l *leases, r *Roster) {
		time.Sleep(990 * time.Millisecond)
		c.Assert(l.published.Load(), qt.Equals, int64(0))
		c.Assert(r.Ready(), qt.IsFalse)
		time.Sleep(100 * time.Millisecond)
		c.Assert(l.published.Load(), qt.Equals, int64(1))
		c.Assert(r.Ready(), qt.IsTrue)
	})
}

// Guards against a lease that runs out because a renewal got no answer, and against a node that calls a registry which is down
// more often than one that answers.
func TestUnansweredRenewal(t *testing.T) {
	playRenewing(t, 1500*time.Millisecond, func(c *qt.C, l *leases, r *Roster) {
		time.Sleep(5 * time.Second)
		before := *l.renewed.Load()
		l.unanswered.Store(1)
		for l.unanswered.Load() >= 0 {
			time.Sleep(10 * time.Millisecond)
		}
		gap := l.renewed.Load().Sub(before)
		c.Assert(gap > 2*time.Second && gap < r.config.LeaseTTL-500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", gap))
		c.Assert(l.granted.Load(), qt.Equals, int64(1))
		l.unanswered.Store(1000)
		time.Sleep(5 * time.Second)
		calls := l.calls.Load()
		time.Sleep(25 * time.Second)
		c.Assert(l.calls.Load()-calls <= 10, qt.IsTrue, qt.Commentf("%d calls in 25 s", l.calls.Load()-calls))
	})
}

// Guards against a node that stays out of the directory after its lease ended or its entry was taken away.
func TestEntryIsWrittenAgain(t *testing.T) {
	play(t, func(c *qt.C, l *leases, r *Roster) {
		time.Sleep(1500 * time.Millisecond)
		l.ended.Store(true)
		time.Sleep(time.Second)
		l.ended.Store(false)
		c.Assert(l.published.Load(), qt.Equals, int64(2))

		time.Sleep(publishSettle + time.Second)
		r.Update([]registry.Member{{ID: "n2"}})
		time.Sleep(time.Second)
		c.Assert(l.published.Load(), qt.Equals, int64(3))
		r.Update([]registry.Member{{ID: "n2"}, self})
		time.Sleep(5 * time.Second)
		c.Assert(l.published.Load(), qt.Equals, int64(3))
	})
}

// Guards against a stopping node that counts as ready or renews its entry.
func TestStop(t *testing.T) {
	play(t, func(c *qt.C, l *leases, r *Roster) {
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

// Guards against callers that are sent to another region without need, or nowhere.
func TestResolveNearest(t *testing.T) {
	play(t, func(c *qt.C, _ *leases, r *Roster) {
		time.Sleep(2 * time.Second)
		r.Update([]registry.Member{self, {ID: "n2", Zone: "z2", Region: "r1", CallerAddress: "b"}, {ID: "n3", Zone: "z3", Region: "r3", CallerAddress: "c"}})
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
