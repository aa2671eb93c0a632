// Package backendgrpc implements the interfaces of package backend over gRPC.
package backendgrpc

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"cyclamenstream/api/backend"
	"cyclamenstream/gen/backendpb"
)

const (
	// gRPC allows no keepalive interval below 10 s.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 2 * time.Second
	// dialTimeout bounds Dial. Opening a connection takes up to 6 ms and the farthest leaf is 20 ms away, so a leaf
	// that has not answered after a second is not usable.
	dialTimeout = 1 * time.Second
	// maxReplyBytes bounds the reply of one shard. It is the default limit of a merged answer (16 MiB) plus space for
	// the other fields.
	maxReplyBytes = 16<<20 + 64<<10
)

var class = errs.Class("backend")

// errNoReconnect is returned to gRPC when it tries to connect a second time.
var errNoReconnect = errors.New("a session never reconnects")

// Dialer implements backend.Dialer. It is safe for concurrent use.
type Dialer struct{ counters counters }

type counters struct {
	dialed, dialFailed, lost, mismatched tally.Counter
}

// Option configures a Dialer.
type Option func(*Dialer)

// WithScope counts connections, lost sessions and mismatched answers in scope.
func WithScope(scope tally.Scope) Option {
	return func(d *Dialer) {
		d.counters = counters{
			dialed:     scope.Counter("leaf_sessions_dialed"),
			dialFailed: scope.Counter("leaf_dials_failed"),
			lost:       scope.Counter("leaf_sessions_lost"),
			mismatched: scope.Counter("leaf_answers_mismatched"),
		}
	}
}

// NewDialer returns a dialer.
func NewDialer(opts ...Option) *Dialer {
	d := &Dialer{}
	WithScope(tally.NoopScope)(d)
	for _, o := range opts {
		o(d)
	}
	return d
}

// Dial implements backend.Dialer. It fails after a second, or earlier when ctx ends.
func (d *Dialer) Dial(ctx context.Context, address string) (backend.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s, err := d.dial(ctx, address)
	if err != nil {
		d.counters.dialFailed.Inc(1)
		return nil, class.New("dial leaf %s: %w", address, err)
	}
	d.counters.dialed.Inc(1)
	return s, nil
}

func (d *Dialer) dial(ctx context.Context, address string) (*session, error) {
	var netDialer net.Dialer
	tcp, err := netDialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	// Close must discard data that has not reached the leaf. Otherwise the kernel keeps sending it for minutes, and
	// calls arrive after a network partition, when their slots have been given to other calls.
	if err := tcp.(*net.TCPConn).SetLinger(0); err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(singleUseDialer(tcp)),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(0), // an idle session must keep its connection
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReplyBytes)),
	)
	if err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	s := &session{conn: conn, api: backendpb.NewBackendClient(conn), address: address, counters: d.counters, done: make(chan struct{})}
	if _, err := s.Status(ctx); err != nil {
		return nil, errors.Join(err, conn.Close(), tcp.Close())
	}
	go s.watchConnection()
	return s, nil
}

// singleUseDialer returns a dial function that returns conn on the first call and fails afterwards.
func singleUseDialer(conn net.Conn) func(context.Context, string) (net.Conn, error) {
	var used atomic.Bool
	return func(context.Context, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errNoReconnect
		}
		return conn, nil
	}
}

// watchConnection marks the session as lost when its connection is no longer usable.
func (s *session) watchConnection() {
	s.conn.WaitForStateChange(context.Background(), connectivity.Ready)
	s.markLost()
}
