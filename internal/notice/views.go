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
)

const (
	// maxView fits the largest configuration that the registry holds, and the lists of leaves and nodes.
	maxView = 8 << 20
	// connectTimeout bounds the opening of a connection to a node that may be gone.
	connectTimeout = 500 * time.Millisecond
)

// Views implements cluster.Views over gRPC. Views are asked for rarely, so that each call opens a connection of its own.
type Views struct {
	fetched, failed tally.Counter
}

var _ cluster.Views = (*Views)(nil)

// NewViews returns a client.
func NewViews(scope tally.Scope) *Views {
	return &Views{fetched: scope.Counter("views_fetched"), failed: scope.Counter("views_failed")}
}

// Fetch implements cluster.Views.
func (v *Views) Fetch(ctx context.Context, address string, known cluster.ViewRequest) (cluster.View, error) {
	view, err := fetch(ctx, address, known)
	if err != nil {
		v.failed.Inc(1)
		return view, err
	}
	v.fetched.Inc(1)
	return view, nil
}

func fetch(ctx context.Context, address string, known cluster.ViewRequest) (cluster.View, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: connectTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxView)))
	if err != nil {
		return cluster.View{}, err
	}
	// The only call has ended; nothing is lost with the connection.
	defer func() { _ = conn.Close() }()
	m, err := noticepb.NewViewsClient(conn).Get(ctx, &noticepb.ViewRequest{Digest: known.Digest, ConfigVersion: known.ConfigVersion,
		Address: known.Address})
	if err != nil {
		return cluster.View{}, err
	}
	return decodeView(m)
}

// ViewSource returns this node's view for another node; ok is false while this node knows nothing.
type ViewSource func(known cluster.ViewRequest) (v cluster.View, ok bool)

type viewServer struct {
	noticepb.UnimplementedViewsServer
	source ViewSource
}

// NewViewServer returns a gRPC server that gives this node's view to others.
func NewViewServer(source ViewSource) *grpc.Server {
	s := grpc.NewServer(grpc.MaxSendMsgSize(maxView))
	noticepb.RegisterViewsServer(s, &viewServer{source: source})
	return s
}

// Get implements noticepb.ViewsServer.
func (s *viewServer) Get(_ context.Context, r *noticepb.ViewRequest) (*noticepb.View, error) {
	known := cluster.ViewRequest{Digest: r.Digest, ConfigVersion: r.ConfigVersion, Address: r.Address}
	v, ok := s.source(known)
	if !ok {
		return nil, status.Error(codes.Unavailable, "this node knows nothing of the registry yet")
	}
	m, err := encodeView(v, known)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return m, nil
}
