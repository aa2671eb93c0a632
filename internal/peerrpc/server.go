// Package peerrpc implements the calls between nodes over gRPC.
package peerrpc

import (
	"context"
	"time"

	"cyclamenstream/api/event"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
	"cyclamenstream/gen/peerpb"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

// maxMessageBytes has room for an answer of 16 MiB and its shard numbers.
const maxMessageBytes = 17 << 20

// Limits on connections. A peer that disappears without closing its connections is detected within keepaliveInterval
// plus keepaliveTimeout.
const (
	keepaliveInterval = 10 * time.Second // the least that gRPC allows for clients
	keepaliveTimeout  = 2 * time.Second
)

// Members handles the membership calls. Package member implements it.
type Members interface {
	HandlePing(ctx context.Context, request *peerpb.PingRequest) (*peerpb.PingReply, error)
	HandleGetDocument(ctx context.Context, request *peerpb.GetDocumentRequest) (*peerpb.GetDocumentReply, error)
	HandleHandover(ctx context.Context, request *peerpb.HandoverRequest) (*peerpb.HandoverReply, error)
}

// Queries runs forwarded queries. Its errors carry a verdict.
type Queries interface {
	Execute(ctx context.Context, r query.Request) (query.Answer, error)
}

// Deps holds the components of a node that serve peers.
type Deps struct {
	Members Members
	Queries Queries
	Events  func() []event.Event
}

type server struct {
	peerpb.UnimplementedPeerServer
	deps Deps
}

// NewServer returns a gRPC server of the Peer service.
func NewServer(deps Deps) *grpc.Server {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
	)
	peerpb.RegisterPeerServer(s, &server{deps: deps})
	return s
}

// Ping passes the heartbeat to the membership.
func (s *server) Ping(ctx context.Context, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return s.deps.Members.HandlePing(ctx, r)
}

// GetDocument returns a document.
func (s *server) GetDocument(ctx context.Context, r *peerpb.GetDocumentRequest) (*peerpb.GetDocumentReply, error) {
	return s.deps.Members.HandleGetDocument(ctx, r)
}

// Handover accepts the state of a service's slots.
func (s *server) Handover(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return s.deps.Members.HandleHandover(ctx, r)
}

// Events returns the buffered events.
func (s *server) Events(context.Context, *peerpb.EventsRequest) (*peerpb.EventsReply, error) {
	reply := &peerpb.EventsReply{}
	for _, e := range s.deps.Events() {
		reply.Events = append(reply.Events, &peerpb.Event{
			WallMs: e.Stamp.WallMillis, Counter: e.Stamp.Counter, Kind: string(e.Kind), Node: e.Node, Zone: e.Zone,
			Vm: e.VM, Service: e.Service, RequestId: e.RequestID, Detail: e.Detail,
		})
	}
	return reply, nil
}

// Forward runs a query. Errors are returned in the reply, so that their verdict is not lost.
func (s *server) Forward(ctx context.Context, r *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	timeout := time.Duration(r.TimeoutMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	answer, err := s.deps.Queries.Execute(ctx, query.Request{
		Caller: r.Caller, ID: r.RequestId, Service: r.Service, Profile: r.Profile, Shards: r.Shards,
		Payload: r.Payload, Deadline: deadline, NonIdempotent: r.NonIdempotent, Forwarded: true,
	})
	reply := &peerpb.ForwardReply{HopId: r.HopId, RequestId: r.RequestId, Service: r.Service}
	if err != nil {
		reply.Verdict = verdict.Of(err).String()
		reply.ErrorCode, reply.ErrorMessage = string(verdict.CodeOf(err)), verdict.Message(err)
		return reply, nil
	}
	encodeAnswer(reply, answer)
	return reply, nil
}

func encodeAnswer(reply *peerpb.ForwardReply, a query.Answer) {
	reply.Verdict = a.Verdict.String()
	reply.RequestId, reply.Service, reply.Snapshot = a.RequestID, a.Service, a.Snapshot
	reply.CoverageTotal, reply.CoverageCovered = a.Coverage.Total, a.Coverage.Covered
	reply.CoverageMissing = a.Coverage.Missing
	reply.LeafRequests, reply.Node = a.LeafRequests, a.Node
	for _, r := range a.Results {
		reply.Results = append(reply.Results, &peerpb.ShardResult{Shard: r.Shard, Data: r.Data, Covered: r.Covered})
	}
}
