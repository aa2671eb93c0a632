package peerrpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
	"cyclamenstream/gen/peerpb"
	"cyclamenstream/internal/member"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
)

var (
	_ member.Transport = (*Client)(nil)
	_ Members          = (*member.Node)(nil)
)

type fakeQueries func(ctx context.Context, r query.Request) (query.Answer, error)

func (q fakeQueries) Execute(ctx context.Context, r query.Request) (query.Answer, error) {
	return q(ctx, r)
}

type fakeMembers struct{}

func (fakeMembers) HandlePing(_ context.Context, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return &peerpb.PingReply{Vm: "n1", MemberSet: r.MemberSet}, nil
}

func (fakeMembers) HandleGetDocument(_ context.Context, r *peerpb.GetDocumentRequest) (*peerpb.GetDocumentReply, error) {
	return &peerpb.GetDocumentReply{Version: r.Above + 1}, nil
}

func (fakeMembers) HandleHandover(_ context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return &peerpb.HandoverReply{Accepted: r.Service == "lookup"}, nil
}

// listen opens a loopback listener and returns it with a VM of its address.
func listen(t *testing.T) (net.Listener, platform.VM) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	return l, platform.VM{ID: "n1", Address: l.Addr().String()}
}

// serve starts a server and returns a client, the server and the VM to call.
func serve(t *testing.T, q fakeQueries) (*Client, *grpc.Server, platform.VM) {
	l, vm := listen(t)
	events := func() []event.Event {
		return []event.Event{{Stamp: event.Stamp{WallMillis: 7, Counter: 1}, Kind: event.LeafLost, Node: "n1", VM: "leaf-1"}}
	}
	s := NewServer(Deps{Members: fakeMembers{}, Queries: q, Events: events})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return client(t), s, vm
}

func client(t *testing.T) *Client {
	c := NewClient(tally.NoopScope)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func request(timeout time.Duration) query.Request {
	return query.Request{Caller: "c", ID: "r1", Service: "lookup", Profile: "gate", Shards: []uint32{1, 3},
		Payload: []byte("payload"), Deadline: time.Now().Add(timeout), NonIdempotent: true}
}

// Guards against fields and large answers that are lost in transit.
func TestRoundTrips(t *testing.T) {
	want := query.Answer{RequestID: "r1", Service: "lookup", Snapshot: "s9", Verdict: verdict.Completed(), LeafRequests: 3,
		Node: "n1", Coverage: query.Coverage{Total: 2, Covered: 1.5, Missing: []uint32{3}},
		Results: []query.ShardResult{{Shard: 1, Data: bytes.Repeat([]byte{1}, 16<<20), Covered: 0.5}}}
	var got query.Request
	c, _, vm := serve(t, func(_ context.Context, r query.Request) (query.Answer, error) { got = r; return want, nil })
	sent := request(10 * time.Second)
	answer, err := c.Forward(t.Context(), vm, sent)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reflect.DeepEqual(answer, want), qt.IsTrue)
	qt.Assert(t, got.Deadline.After(sent.Deadline.Add(time.Second)), qt.IsFalse)
	qt.Assert(t, time.Until(got.Deadline) > 5*time.Second, qt.IsTrue)
	qt.Assert(t, got.Forwarded, qt.IsTrue)
	got.Forwarded, got.Deadline = false, sent.Deadline
	qt.Assert(t, got, qt.DeepEquals, sent)

	events, err := c.Events(t.Context(), vm)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, events[0], qt.Equals, event.Event{Stamp: event.Stamp{WallMillis: 7, Counter: 1}, Kind: event.LeafLost, Node: "n1", VM: "leaf-1"})
	ping, err := c.Ping(t.Context(), vm, &peerpb.PingRequest{MemberSet: 5})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ping.MemberSet, qt.Equals, uint64(5))
	document, err := c.GetDocument(t.Context(), vm, &peerpb.GetDocumentRequest{Above: 5})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, document.Version, qt.Equals, uint64(6))
	handover, err := c.Handover(t.Context(), vm, &peerpb.HandoverRequest{Service: "lookup"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, handover.Accepted, qt.IsTrue)
}

// Guards against a "not run" for a call that may have run, and against a verdict or code that changes in transit.
func TestVerdicts(t *testing.T) {
	sentAttempt := &verdict.Attempt{}
	sentAttempt.Begin()
	running := make(chan struct{}, 1)
	stopAll := func(s *grpc.Server) { <-running; s.Stop() }
	tests := []struct {
		name    string
		execute fakeQueries
		during  func(s *grpc.Server)
		want    string
		code    verdict.Code
	}{
		{"refused by the owner", func(context.Context, query.Request) (query.Answer, error) {
			return query.Answer{}, verdict.Refusef(verdict.CodeNoOwner, "not here")
		}, nil, "not-run", verdict.CodeNoOwner},
		{"failed on the owner", func(context.Context, query.Request) (query.Answer, error) {
			return query.Answer{}, verdict.Failf(sentAttempt, verdict.CodeSessionLost, nil, "lost")
		}, nil, "may-have-run", verdict.CodeSessionLost},
		{"ran with too little coverage", func(context.Context, query.Request) (query.Answer, error) {
			return query.Answer{}, verdict.WithVerdict(verdict.Completed(), verdict.CodeCoverage, "50%%")
		}, nil, "completed", verdict.CodeCoverage},
		{"no answer in time", func(ctx context.Context, _ query.Request) (query.Answer, error) {
			time.Sleep(600 * time.Millisecond)
			return query.Answer{}, verdict.Refusef(verdict.CodeDeadline, "late")
		}, nil, "may-have-run", verdict.CodeDeadline},
		{"owner dies", func(ctx context.Context, _ query.Request) (query.Answer, error) {
			running <- struct{}{}
			<-ctx.Done()
			return query.Answer{}, ctx.Err()
		}, stopAll, "may-have-run", verdict.CodeSessionLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, s, vm := serve(t, test.execute)
			if test.during != nil {
				go test.during(s)
			}
			_, err := c.Forward(t.Context(), vm, request(500*time.Millisecond))
			qt.Assert(t, verdict.Of(err).String(), qt.Equals, test.want, qt.Commentf("%v", err))
			qt.Assert(t, verdict.CodeOf(err), qt.Equals, test.code)
		})
	}
}

// Guards against a "may have run" where no connection was ever ready, and against a wait beyond the deadline.
func TestNotConnected(t *testing.T) {
	closed, gone := listen(t)
	_ = closed.Close()
	_, silent := listen(t) // accepts connections and never answers
	for name, vm := range map[string]platform.VM{"refused": gone, "silent": silent, "no address": {ID: "n1"}} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			_, err := client(t).Forward(t.Context(), vm, request(300*time.Millisecond))
			qt.Assert(t, verdict.Of(err).IsNotRun(), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, time.Since(began) < 2*time.Second, qt.IsTrue)
		})
	}
}

// Guards against a cancelled query that continues to run on the owner.
func TestCancellationReachesOwner(t *testing.T) {
	started, ended := make(chan struct{}), make(chan error, 1)
	c, _, vm := serve(t, func(ctx context.Context, _ query.Request) (query.Answer, error) {
		close(started)
		<-ctx.Done()
		ended <- ctx.Err()
		return query.Answer{}, ctx.Err()
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	_, err := c.Forward(ctx, vm, request(10*time.Second))
	qt.Assert(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun())
	qt.Assert(t, <-ended, qt.Equals, context.Canceled)
}

type crossedServer struct {
	peerpb.UnimplementedPeerServer
	change func(*peerpb.ForwardReply)
}

func (s crossedServer) Forward(_ context.Context, r *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	reply := &peerpb.ForwardReply{HopId: r.HopId, RequestId: r.RequestId, Service: r.Service, Verdict: "not-run", ErrorCode: "stopping"}
	s.change(reply)
	return reply, nil
}

// Guards against an answer, or a refusal, that belongs to another request.
func TestCrossedReplies(t *testing.T) {
	changes := map[string]func(*peerpb.ForwardReply){
		"hop":     func(r *peerpb.ForwardReply) { r.HopId = "other" },
		"request": func(r *peerpb.ForwardReply) { r.RequestId = "other" },
		"service": func(r *peerpb.ForwardReply) { r.Service = "other" },
		"none":    func(*peerpb.ForwardReply) {},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			l, vm := listen(t)
			s := grpc.NewServer()
			peerpb.RegisterPeerServer(s, crossedServer{change: change})
			go func() { _ = s.Serve(l) }()
			t.Cleanup(s.Stop)
			_, err := client(t).Forward(t.Context(), vm, request(time.Second))
			qt.Assert(t, verdict.Of(err).IsNotRun(), qt.Equals, name == "none", qt.Commentf("%v", err))
		})
	}
}

// Lengths and frame types of HTTP/2 that closeOnCall uses.
const (
	clientPrefaceLength = 24
	frameHeaderLength   = 9
	frameTypeHeaders    = 1
	frameTypeSettings   = 4
	frameTypeGoAway     = 7
)

// closeOnCall implements just enough HTTP/2 to close the connection on the first call and to report that the call was
// not processed. It returns after the connection has ended.
func closeOnCall(conn net.Conn, calls *atomic.Int32) {
	defer conn.Close()
	_, _ = conn.Write([]byte{0, 0, 0, frameTypeSettings, 0, 0, 0, 0, 0})
	if _, err := io.ReadFull(conn, make([]byte, clientPrefaceLength)); err != nil {
		return
	}
	header := make([]byte, frameHeaderLength)
	for {
		if _, err := io.ReadFull(conn, header); err != nil {
			return
		}
		length := binary.BigEndian.Uint32(append([]byte{0}, header[:3]...))
		if _, err := io.CopyN(io.Discard, conn, int64(length)); err != nil {
			return
		}
		if header[3] == frameTypeHeaders {
			calls.Add(1)
			_, _ = conn.Write([]byte{0, 0, 8, frameTypeGoAway, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
		}
	}
}

// Guards against gRPC's replay of a call on a new connection, which would send a request twice.
func TestForwardIsSentOnce(t *testing.T) {
	l, vm := listen(t)
	calls := &atomic.Int32{}
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go closeOnCall(conn, calls)
		}
	}()
	_, err := client(t).Forward(t.Context(), vm, request(time.Second))
	qt.Assert(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun(), qt.Commentf("%v", err))
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, calls.Load(), qt.Equals, int32(1))
}
