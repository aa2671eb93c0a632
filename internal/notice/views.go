package notice

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"cyclamenstream/api/cluster"
	"cyclamenstream/gen/noticepb"
	"cyclamenstream/internal/guard"
)

const (
	// maxViewBytes has room for the largest configuration that the registry holds and for the lists of leaves and
	// nodes.
	maxViewBytes = 8 << 20
	// connectTimeout bounds the time to connect to a node, which may be down.
	connectTimeout = 500 * time.Millisecond
)

// Views implements cluster.Views over gRPC. Each call opens its own connection, since views are rarely requested.
type Views struct {
	fetched, failed tally.Counter
}

var _ cluster.Views = (*Views)(nil)

// NewViews returns a client that requests the views of other nodes.
func NewViews(scope tally.Scope) *Views {
	return &Views{fetched: scope.Counter("views_fetched"), failed: scope.Counter("views_failed")}
}

// Fetch implements cluster.Views.
func (v *Views) Fetch(ctx context.Context, address string, request cluster.ViewRequest) (cluster.View, error) {
	view, err := fetch(ctx, address, request)
	if err != nil {
		v.failed.Inc(1)
		return view, err
	}
	v.fetched.Inc(1)
	return view, nil
}

func fetch(ctx context.Context, address string, request cluster.ViewRequest) (cluster.View, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: connectTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxViewBytes)))
	if err != nil {
		return cluster.View{}, err
	}
	// The connection's only call has ended, so an error of Close does not matter.
	defer func() { _ = conn.Close() }()
	m, err := noticepb.NewViewsClient(conn).Get(ctx, &noticepb.ViewRequest{Digest: request.Digest, ConfigVersion: request.ConfigVersion,
		Address: request.Address})
	if err != nil {
		return cluster.View{}, err
	}
	return decodeView(m)
}

// ViewSource returns this node's view for another node. ok is false while this node has no state.
type ViewSource func(request cluster.ViewRequest) (v cluster.View, ok bool)

type viewServer struct {
	noticepb.UnimplementedViewsServer
	source ViewSource
}

// NewViewServer returns a gRPC server that serves this node's view to other nodes.
func NewViewServer(source ViewSource, g guard.Guard) *grpc.Server {
	recoverCall := func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (answer any, err error) {
		if g.Do("view server", func() { answer, err = handle(ctx, request) }) {
			return nil, status.Error(codes.Internal, "unexpected error")
		}
		return answer, err
	}
	s := grpc.NewServer(grpc.MaxSendMsgSize(maxViewBytes), grpc.UnaryInterceptor(recoverCall))
	noticepb.RegisterViewsServer(s, &viewServer{source: source})
	return s
}

// Get implements noticepb.ViewsServer.
func (s *viewServer) Get(_ context.Context, r *noticepb.ViewRequest) (*noticepb.View, error) {
	request := cluster.ViewRequest{Digest: r.Digest, ConfigVersion: r.ConfigVersion, Address: r.Address}
	v, ok := s.source(request)
	if !ok {
		return nil, status.Error(codes.Unavailable, "this node knows nothing of the registry yet")
	}
	m, err := encodeView(v, request)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return m, nil
}
