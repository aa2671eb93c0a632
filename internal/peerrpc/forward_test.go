package peerrpc

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"cyclamenstream/api/platform"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
)

// lateRefusal refuses each query some time after its deadline, as a busy node does.
type lateRefusal time.Duration

func (r lateRefusal) Execute(ctx context.Context, _ query.Request) (query.Answer, error) {
	<-ctx.Done()
	time.Sleep(time.Duration(r))
	return query.Answer{}, verdict.Refusef(verdict.CodeNoOwner, "no owner")
}

// Guards against a refusal at the query's deadline that arrives too late and turns into "may have run". The time is
// simulated, so that a busy machine does not delay the refusal further.
func TestRefusalArrivesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := bufconn.Listen(64 << 10)
		server := NewServer(Deps{Queries: lateRefusal(20 * time.Millisecond)})
		go func() { _ = server.Serve(listener) }()
		client := NewClient(tally.NoopScope, grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return listener.DialContext(ctx) }))
		_, err := client.Forward(t.Context(), platform.VM{ID: "n", Address: "bufconn"},
			query.Request{ID: "q", Service: "s", Deadline: time.Now().Add(400 * time.Millisecond)})
		qt.Check(t, verdict.CodeOf(err), qt.Equals, verdict.CodeNoOwner, qt.Commentf("%v", err))
		qt.Check(t, verdict.Of(err).IsNotRun(), qt.IsTrue)
		qt.Check(t, client.Close(), qt.IsNil)
		server.Stop()
	})
}
