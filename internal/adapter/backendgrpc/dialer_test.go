package backendgrpc_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/adapter/backendgrpc"
	"cyclamenstream/internal/contract/backendtest"
	"cyclamenstream/internal/standin/leaf"
)

func serve(t *testing.T, c leaf.Config) (*leaf.Leaf, *leaf.Server) {
	l := leaf.New(c)
	server, err := leaf.Serve(l, "127.0.0.1:0", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, server.Close(), qt.IsNil) })
	return l, server
}

// Guards against an adapter that breaks the contract of package backend on verdicts, the end of calls or lost sessions.
func TestContract(t *testing.T) {
	backendtest.Run(t, func(t *testing.T, c leaf.Config) backendtest.Fixture {
		l, server := serve(t, c)
		return backendtest.Fixture{Dialer: backendgrpc.NewDialer(), Address: server.Address, Leaf: l}
	})
}

// Guards against a session that opens a second connection, which would send work to a leaf that has restarted, and
// against sessions that keep their connection after they have ended.
func TestOneConnection(t *testing.T) {
	l, server := serve(t, leaf.Config{VM: "l1", Slots: 8, ColdSlots: 8,
		Snapshots: []backend.SnapshotInfo{leaf.Snapshot("s", 1, 1, 0)}})
	scope := tally.NewTestScope("", nil)
	d := backendgrpc.NewDialer(backendgrpc.WithScope(scope))
	s, err := d.Dial(context.Background(), server.Address)
	qt.Assert(t, err, qt.IsNil)
	for range 5 {
		_, err = s.Do(context.Background(), backend.Call{ID: "a", Snapshot: "s", Timeout: time.Second, Attempt: &verdict.Attempt{}})
		qt.Assert(t, err, qt.IsNil)
	}
	l.Crash()
	<-s.Done()
	for until := time.Now().Add(200 * time.Millisecond); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		_, err := s.Do(context.Background(), backend.Call{ID: "b", Snapshot: "s", Timeout: time.Second, Attempt: &verdict.Attempt{}})
		qt.Assert(t, err, qt.ErrorIs, backend.ErrSessionLost)
	}
	counts := server.Connections()
	qt.Assert(t, counts.Accepted, qt.Equals, 1)
	qt.Assert(t, counts.Refused, qt.Equals, 0)
	qt.Assert(t, counts.Open, qt.Equals, 0)
	counters := scope.Snapshot().Counters()
	qt.Assert(t, counters["leaf_sessions_lost+"].Value(), qt.Equals, int64(1))
	qt.Assert(t, counters["leaf_sessions_dialed+"].Value(), qt.Equals, int64(1))
}
