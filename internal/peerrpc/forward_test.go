package peerrpc

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

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

// Guards against a refusal at the query's deadline that arrives too late and turns into "may have run".
func TestRefusalArrivesInTime(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := NewServer(Deps{Queries: lateRefusal(20 * time.Millisecond)})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	client := NewClient(tally.NoopScope)
	defer client.Close()
	_, err = client.Forward(t.Context(), platform.VM{ID: "n", Address: listener.Addr().String()},
		query.Request{ID: "q", Service: "s", Deadline: time.Now().Add(400 * time.Millisecond)})
	qt.Check(t, verdict.CodeOf(err), qt.Equals, verdict.CodeNoOwner, qt.Commentf("%v", err))
	qt.Check(t, verdict.Of(err).IsNotRun(), qt.IsTrue)
}
