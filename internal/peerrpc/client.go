package peerrpc

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
	"cyclamenstream/gen/peerpb"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
)

// A peer gets less time than is left here, so that a reply that it sends at its deadline arrives in time. replyMargin
// covers 20 ms each way between the farthest regions and the scheduling of both processes. The margin is at most the
// time left divided by replyMarginDivisor. Without it, partial answers and refusals of queries that run out of time
// would be lost and reported as "may have run".
const (
	replyMargin        = 50 * time.Millisecond
	replyMarginDivisor = 4
)

// Client calls peers over one connection to each. It implements member.Transport and is safe for concurrent use.
type Client struct {
	mu                sync.Mutex
	conns             map[string]*grpc.ClientConn // by address; nil after Close
	forwards          tally.Counter
	mismatchedReplies tally.Counter
	dialOptions       []grpc.DialOption
}

// NewClient returns a client without connections. Additional dial options are for tests.
func NewClient(scope tally.Scope, options ...grpc.DialOption) *Client {
	scope = scope.SubScope("peer")
	return &Client{
		conns:    map[string]*grpc.ClientConn{},
		forwards: scope.Counter("forwards"), mismatchedReplies: scope.Counter("mismatched_replies"),
		dialOptions: append([]grpc.DialOption{
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			// A call that was sent once must never be sent again without the caller knowing.
			grpc.WithDisableRetry(),
			grpc.WithDisableServiceConfig(),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes),
				grpc.MaxCallSendMsgSize(maxMessageBytes), grpc.WaitForReady(false)),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second, Backoff: backoff.Config{
				BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}}),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{
				Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		}, options...),
	}
}

// Close ends all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // Close fails only on a connection that is already closed.
	}
	c.conns = nil
	return nil
}

// Retain closes the connections to all peers but the given ones.
func (c *Client) Retain(peers []platform.VM) {
	keep := map[string]bool{}
	for _, vm := range peers {
		keep[vm.Address] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if !keep[address] {
			_ = conn.Close()
			delete(c.conns, address)
		}
	}
}

func (c *Client) conn(to platform.VM) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		return nil, verdict.Refusef(verdict.CodeStopping, "the connections to peers are closed")
	}
	if conn := c.conns[to.Address]; conn != nil {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+to.Address, c.dialOptions...)
	if err != nil {
		return nil, verdict.Failf(&verdict.Attempt{}, verdict.CodeNoOwner, err, "address %q of node %s", to.Address, to.ID)
	}
	c.conns[to.Address] = conn
	return conn, nil
}

// Ping sends a heartbeat.
func (c *Client) Ping(ctx context.Context, to platform.VM, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	conn, err := c.conn(to)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn).Ping(ctx, r)
}

// GetDocument fetches a document from a peer.
func (c *Client) GetDocument(ctx context.Context, to platform.VM, r *peerpb.GetDocumentRequest) (*peerpb.GetDocumentReply, error) {
	conn, err := c.conn(to)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn).GetDocument(ctx, r)
}

// Handover sends the state of a service's slots to its next owner.
func (c *Client) Handover(ctx context.Context, to platform.VM, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	conn, err := c.conn(to)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn).Handover(ctx, r)
}

// Events returns the events of a peer.
func (c *Client) Events(ctx context.Context, to platform.VM) ([]event.Event, error) {
	conn, err := c.conn(to)
	if err != nil {
		return nil, err
	}
	reply, err := peerpb.NewPeerClient(conn).Events(ctx, &peerpb.EventsRequest{})
	if err != nil {
		return nil, err
	}
	events := make([]event.Event, len(reply.Events))
	for i, e := range reply.Events {
		events[i] = event.Event{
			Stamp: event.Stamp{WallMillis: e.WallMs, Counter: e.Counter}, Kind: event.Kind(e.Kind), Node: e.Node,
			Zone: e.Zone, VM: e.Vm, Service: e.Service, RequestID: e.RequestId, Detail: e.Detail,
		}
	}
	return events, nil
}

// Forward runs the query on another node. The request is sent at most once. The verdict is "not run" only if the
// request was not sent or the peer reported this verdict.
func (c *Client) Forward(ctx context.Context, to platform.VM, r query.Request) (query.Answer, error) {
	c.forwards.Inc(1)
	attempt := &verdict.Attempt{}
	conn, err := c.conn(to)
	if err != nil {
		return query.Answer{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if err := awaitReady(ctx, conn); err != nil {
		return query.Answer{}, verdict.Failf(attempt, verdict.CodeNoOwner, err, "node %s is not connected", to.ID)
	}
	timeout := time.Until(r.Deadline)
	timeout -= min(replyMargin, timeout/replyMarginDivisor)
	if timeout < time.Millisecond {
		return query.Answer{}, verdict.Failf(attempt, verdict.CodeDeadline, nil, "no time left to forward to node %s", to.ID)
	}
	request := &peerpb.ForwardRequest{
		Caller: r.Caller, RequestId: r.ID, Service: r.Service, Profile: r.Profile, Shards: r.Shards,
		Payload: r.Payload, TimeoutMs: timeout.Milliseconds(), NonIdempotent: r.NonIdempotent, HopId: rand.Text(),
	}
	reply, err := peerpb.NewPeerClient(conn).Forward(ctx, request, grpc.PerRPCCredentials(&sendOnce{attempt: attempt}))
	if err != nil {
		code := verdict.CodeSessionLost
		if ctx.Err() != nil || status.Code(err) == codes.DeadlineExceeded {
			code = verdict.CodeDeadline
		}
		return query.Answer{}, verdict.Failf(attempt, code, err, "no answer from node %s", to.ID)
	}
	return c.decodeReply(attempt, to, request, reply)
}

// sendOnce ensures that a call is written to a connection at most once. gRPC asks it for metadata immediately before
// each write. sendOnce records the first write and fails the second, because gRPC replays a call that a closing
// connection did not process, even with retries disabled.
type sendOnce struct {
	attempt *verdict.Attempt
	sent    atomic.Bool
}

// GetRequestMetadata returns no metadata.
func (s *sendOnce) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	if s.sent.Swap(true) {
		return nil, verdict.Class.New("the call was already written to a connection")
	}
	s.attempt.Begin()
	return nil, nil
}

// RequireTransportSecurity returns false, as no secret is sent.
func (s *sendOnce) RequireTransportSecurity() bool { return false }

// awaitReady waits until the connection can take a call.
func awaitReady(ctx context.Context, conn *grpc.ClientConn) error {
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		switch state {
		case connectivity.Idle:
			conn.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			return verdict.Class.New("connection is in state %v", state)
		}
		if !conn.WaitForStateChange(ctx, state) {
			return ctx.Err()
		}
	}
	return nil
}

// decodeReply checks that the reply belongs to the request and converts it to an answer.
func (c *Client) decodeReply(attempt *verdict.Attempt, to platform.VM, request *peerpb.ForwardRequest,
	reply *peerpb.ForwardReply) (query.Answer, error) {
	if reply.HopId != request.HopId || reply.Service != request.Service ||
		(request.RequestId != "" && reply.RequestId != request.RequestId) {
		c.mismatchedReplies.Inc(1)
		return query.Answer{}, verdict.Failf(attempt, verdict.CodeInternal, nil,
			"reply of node %s belongs to another request", to.ID)
	}
	v := verdict.Parse(reply.Verdict)
	if reply.ErrorCode != "" {
		if v.IsNotRun() {
			attempt.Refused()
		}
		if v.IsCompleted() {
			attempt.Answered()
		}
		return query.Answer{}, verdict.Failf(attempt, verdict.Code(reply.ErrorCode), nil, "%s", reply.ErrorMessage)
	}
	attempt.Answered()
	answer := query.Answer{
		RequestID: reply.RequestId, Service: reply.Service, Snapshot: reply.Snapshot, Verdict: v,
		Coverage:     query.Coverage{Total: reply.CoverageTotal, Covered: reply.CoverageCovered, Missing: reply.CoverageMissing},
		LeafRequests: reply.LeafRequests, Node: reply.Node,
	}
	for _, s := range reply.Results {
		answer.Results = append(answer.Results, query.ShardResult{Shard: s.Shard, Data: s.Data, Covered: s.Covered})
	}
	return answer, nil
}
