package prepare

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/exchange"
	"cyclamenstream/api/registry"
	"cyclamenstream/internal/direct"
)

// sender counts the calls of Preconnect for leaves of the node's own zone and of other zones.
type sender struct {
	exchange.Sender
	near, far atomic.Int64
	// closed counts how often all idle connections were closed.
	closed atomic.Int64
}

func (s *sender) Preconnect(l registry.Leaf, _ int) bool {
	if l.Zone == "z1" {
		s.near.Add(1)
	} else {
		s.far.Add(1)
	}
	return true
}

func (s *sender) CloseIdle(all bool) {
	if all {
		s.closed.Add(1)
	}
}

// Guards against connections that are opened by nodes without callers, to leaves that get no requests, or too late
// after a change.
func TestPrepare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pool := direct.New(direct.Config{Self: "n1", Zone: "z1", Region: "r1", RegionByZone: map[string]string{"z1": "r1", "z2": "r2"}, Now: time.Now})
		pool.Update(direct.View{EvacuatedZones: []string{"z3"}, Advertised: []string{"n1"}, Leaves: []registry.Leaf{
			{ID: "near", Service: "s", Zone: "z1"}, {ID: "far", Service: "s", Zone: "z2"},
			{ID: "draining", Service: "s", Zone: "z2", Draining: true}, {ID: "evacuated", Service: "s", Zone: "z3"}}})
		var s sender
		var receivesCallers atomic.Bool
		p := New(pool, &s, receivesCallers.Load)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go p.Run(ctx)
		p.Changed()
		time.Sleep(3*checkInterval + checkInterval/2) // between two checks
		c.Assert(s.near.Load(), qt.Equals, int64(0))
		c.Assert(s.closed.Load() > 0, qt.IsTrue)
		receivesCallers.Store(true)
		closed := s.closed.Load()
		p.Changed()
		synctest.Wait()
		c.Assert(s.near.Load(), qt.Equals, int64(1))
		c.Assert(s.far.Load(), qt.Equals, int64(1))
		time.Sleep(checkInterval)
		synctest.Wait()
		c.Assert(s.far.Load(), qt.Equals, int64(2))
		c.Assert(s.closed.Load(), qt.Equals, closed)
	})
}

// Guards against a node that opens hundreds of connections at once while requests wait for its processor, and against one
// that leaves some leaves without a connection.
func TestConnectionsAreOpenedInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const leaves = 10 * batchSize
		c := qt.New(t)
		pool := direct.New(direct.Config{Self: "n1", Zone: "z1", Region: "r1", Now: time.Now})
		view := direct.View{Advertised: []string{"n1"}}
		for i := range leaves {
			view.Leaves = append(view.Leaves, registry.Leaf{ID: fmt.Sprint(i), Service: "s", Zone: "z1"})
		}
		pool.Update(view)
		var s sender
		p := New(pool, &s, func() bool { return true })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go p.Run(ctx)
		p.Changed()
		for opened := int64(0); opened < leaves; {
			synctest.Wait()
			c.Assert(s.near.Load()-opened <= batchSize, qt.IsTrue)
			opened = s.near.Load()
			time.Sleep(batchInterval)
		}
		c.Check(s.near.Load(), qt.Equals, int64(leaves))
	})
}
