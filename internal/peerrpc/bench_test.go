package peerrpc

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"cyclamenstream/api/platform"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
	"cyclamenstream/gen/peerpb"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.sent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// benchPeer replies at once.
type benchPeer struct {
	reply  *peerpb.PingReply
	answer query.Answer
}

func (p *benchPeer) HandlePing(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return p.reply, nil
}

func (p *benchPeer) HandleGetDocument(context.Context, *peerpb.GetDocumentRequest) (*peerpb.GetDocumentReply, error) {
	return &peerpb.GetDocumentReply{}, nil
}

func (p *benchPeer) HandleHandover(context.Context, *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return &peerpb.HandoverReply{}, nil
}

func (p *benchPeer) Execute(_ context.Context, r query.Request) (query.Answer, error) {
	a := p.answer
	a.RequestID, a.Service = r.ID, r.Service
	return a, nil
}

// BenchmarkCall reports the cost of a call between two nodes over loopback, including both ends, and its bytes on the
// connection without those of TCP and IP. With -cpu 1 the time is about the processor time.
func BenchmarkCall(b *testing.B) {
	peer := &benchPeer{reply: &peerpb.PingReply{Vm: "node-001", BootId: "boot", Documents: []*peerpb.DocumentVersion{
		{Key: "cyclamenstream/config", Version: 9, ConfirmedAgeMs: 100}, {Key: "cyclamenstream/fleet", Version: 9, ConfirmedAgeMs: 100}}}}
	for i := range 7 {
		peer.reply.Holders = append(peer.reply.Holders, &peerpb.Holder{Service: fmt.Sprint("service-", i), Vm: fmt.Sprint("node-00", i)})
	}
	server := NewServer(Deps{Members: peer, Queries: peer})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	var sent, received atomic.Int64
	client := NewClient(tally.NoopScope, grpc.WithContextDialer(func(_ context.Context, address string) (net.Conn, error) {
		conn, err := net.Dial("tcp", address)
		return countingConn{conn, &sent, &received}, err
	}))
	defer client.Close()
	to := platform.VM{ID: "node-001", Address: listener.Addr().String()}
	run := func(name string, call func() error) {
		b.Run(name, func(b *testing.B) {
			sent.Store(0)
			received.Store(0)
			b.ReportAllocs()
			for b.Loop() {
				if err := call(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(sent.Load())/float64(b.N), "sent-B")
			b.ReportMetric(float64(received.Load())/float64(b.N), "received-B")
		})
	}
	ping := &peerpb.PingRequest{Vm: "node-002", BootId: "boot", Claims: []*peerpb.Claim{{Service: "service-1"}},
		Documents: peer.reply.Documents}
	run("Ping", func() error { _, err := client.Ping(context.Background(), to, ping); return err })
	for _, shards := range []int{1, 10, 100} {
		peer.answer = query.Answer{Snapshot: "s", Verdict: verdict.Completed(), Coverage: query.Coverage{Total: uint32(shards), Covered: float64(shards)}}
		request := query.Request{Caller: "c", ID: "r", Service: "service-1", Payload: make([]byte, 100)}
		for i := range shards {
			request.Shards = append(request.Shards, uint32(i))
			peer.answer.Results = append(peer.answer.Results, query.ShardResult{Shard: uint32(i), Data: make([]byte, 100), Covered: 1})
		}
		run(fmt.Sprintf("Forward/shards=%d", shards), func() error {
			request.Deadline = time.Now().Add(time.Second)
			_, err := client.Forward(context.Background(), to, request)
			return err
		})
	}
}
