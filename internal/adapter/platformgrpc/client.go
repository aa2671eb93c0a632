// Package platformgrpc implements the interfaces of package platform over gRPC.
package platformgrpc

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"cyclamenstream/api/platform"
	"cyclamenstream/gen/platformpb"
)

// Defaults of a Client.
const (
	// DefaultTimeout bounds a call. A configuration must be in force within 5 s, so a call that hangs must leave time
	// for two more.
	DefaultTimeout = 1 * time.Second
	// DefaultPollTimeout bounds one call of a long poll. It lets a watch whose connection has failed unnoticed try
	// again within the 5 s in which a configuration must be in force. It costs half a read per second for each watch.
	DefaultPollTimeout = 2 * time.Second

	// maxBackoff bounds the delay between attempts to connect, so that a store that is available again is noticed
	// within a second.
	maxBackoff        = 500 * time.Millisecond
	minConnectTimeout = 1 * time.Second
	// gRPC allows no keepalive interval below 10 s.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 2 * time.Second
	// messageOverhead is added to the largest value to leave space for the other fields of a message.
	messageOverhead = 64 << 10
	// maxListBytes bounds the list of VMs, which has 102,000 VMs at design size with about 160 bytes each.
	maxListBytes = 32 << 20
)

var class = errs.Class("platform")

// Client implements platform.Store and platform.Inventory. It is safe for concurrent use.
type Client struct {
	conn        *grpc.ClientConn
	api         platformpb.PlatformClient
	timeout     time.Duration
	pollTimeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout bounds each call except Watch. An earlier deadline of the context takes precedence.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithPollTimeout bounds one call of a long poll.
func WithPollTimeout(d time.Duration) Option { return func(c *Client) { c.pollTimeout = d } }

// New returns a client of the platform at address (host:port). It connects on the first call.
func New(address string, opts ...Option) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(sendObserver{}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: minConnectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxListBytes),
			grpc.MaxCallSendMsgSize(platform.MaxValueBytes+messageOverhead)),
	)
	if err != nil {
		return nil, class.Wrap(err)
	}
	c := &Client{conn: conn, api: platformpb.NewPlatformClient(conn), timeout: DefaultTimeout, pollTimeout: DefaultPollTimeout}
	for _, o := range opts {
		o(c)
	}
	return c, nil
}

// Close closes the connection. Calls in flight fail.
func (c *Client) Close() error { return class.Wrap(c.conn.Close()) }

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, key string) (platform.Entry, error) {
	e, err := call(ctx, c.timeout, func(ctx context.Context) (*platformpb.Entry, error) {
		return c.api.Get(ctx, &platformpb.GetRequest{Key: key})
	})
	return entry(e), err
}

// CompareAndSwap implements platform.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, class.New("%w: %q has %d bytes, at most %d are allowed", platform.ErrTooLarge, key, len(value), platform.MaxValueBytes)
	}
	reply, err := call(ctx, c.timeout, func(ctx context.Context) (*platformpb.CompareAndSwapReply, error) {
		return c.api.CompareAndSwap(ctx, &platformpb.CompareAndSwapRequest{Key: key, Expected: expected, Value: value})
	})
	switch status.Code(err) {
	case codes.Aborted:
		return 0, class.New("%w: %q does not have version %d", platform.ErrConflict, key, expected)
	case codes.InvalidArgument:
		return 0, class.New("%w: %q: %s", platform.ErrTooLarge, key, status.Convert(err).Message())
	}
	return reply.GetVersion(), err
}

// Watch implements platform.Store. It repeats calls of limited duration until ctx ends.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (platform.Entry, error) {
	for {
		e, err := call(ctx, c.pollTimeout, func(ctx context.Context) (*platformpb.Entry, error) {
			return c.api.Watch(ctx, &platformpb.WatchRequest{Key: key, After: after})
		})
		if ctx.Err() != nil {
			return platform.Entry{}, class.Wrap(ctx.Err())
		}
		if status.Code(err) != codes.DeadlineExceeded {
			return entry(e), err
		}
	}
}

// List implements platform.Inventory.
func (c *Client) List(ctx context.Context) (platform.Fleet, error) {
	reply, err := call(ctx, c.timeout, func(ctx context.Context) (*platformpb.ListVMsReply, error) {
		return c.api.ListVMs(ctx, &platformpb.ListVMsRequest{})
	})
	if err != nil {
		return platform.Fleet{}, err
	}
	fleet := platform.Fleet{Revision: reply.Revision, VMs: make([]platform.VM, len(reply.Vms))}
	for i, vm := range reply.Vms {
		fleet.VMs[i] = platform.VM{ID: vm.Id, Zone: vm.Zone, Region: vm.Region, Kind: platform.Kind(vm.Kind),
			State: platform.State(vm.State), Service: vm.Service, Address: vm.Address, CallerAddress: vm.CallerAddress}
	}
	return fleet, nil
}

func entry(e *platformpb.Entry) platform.Entry {
	return platform.Entry{Key: e.GetKey(), Value: e.GetValue(), Version: e.GetVersion()}
}

// call runs one call with a timeout. Its error wraps platform.ErrNotSent if no byte of the call was sent.
func call[R any](ctx context.Context, timeout time.Duration, run func(context.Context) (*R, error)) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var sent atomic.Bool
	reply, err := run(context.WithValue(ctx, sentKey{}, &sent))
	if err == nil {
		return reply, nil
	}
	if !sent.Load() {
		return nil, class.New("%w: %w", platform.ErrNotSent, err)
	}
	return nil, class.Wrap(err)
}

type sentKey struct{}

// sendObserver sets a flag in the call's context when gRPC has passed the call's header to the transport. The status
// codes of gRPC do not show this, since Unavailable means both a refused connection and one that is lost after the
// send.
type sendObserver struct{}

func (sendObserver) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (sendObserver) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}
func (sendObserver) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (sendObserver) HandleConn(context.Context, stats.ConnStats)                       {}
