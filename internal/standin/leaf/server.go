package leaf

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"cyclamenstream/api/backend"
	"cyclamenstream/gen/backendpb"
	"cyclamenstream/internal/standin/control"
	"cyclamenstream/internal/standin/netgate"
)

// Server serves a Leaf over gRPC, and its control port over HTTP.
type Server struct {
	// Address and ControlAddress are the host:port addresses of the two listeners.
	Address        string
	ControlAddress string

	gate *netgate.Listener
	grpc *grpc.Server
	http *http.Server
}

// maxRequestBytes leaves room for the largest payload and the other fields of a request.
const maxRequestBytes = 1 << 20

// Serve starts a server on the two addresses. Port 0 selects a free port.
func Serve(l *Leaf, address, controlAddress string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := l.Config()
	gate := netgate.New(listener)
	gate.SetLimit(c.Connections, time.Duration(c.ConnectionCost))
	l.addCrashHook(func(down bool) {
		if down {
			gate.Block()
		} else {
			gate.Unblock()
		}
	})
	s := &Server{Address: listener.Addr().String(), gate: gate}
	httpServer, controlAddr, err := control.Serve(s.controlMux(l), controlAddress)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	s.http, s.ControlAddress = httpServer, controlAddr.String()
	s.grpc = grpc.NewServer(grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}))
	backendpb.RegisterBackendServer(s.grpc, &service{leaf: l})
	go func() { _ = s.grpc.Serve(gate) }()
	return s, nil
}

// Connections returns the connection counts.
func (s *Server) Connections() netgate.Counts { return s.gate.Counts() }

// Close closes both listeners and all connections.
func (s *Server) Close() error {
	s.grpc.Stop()
	return s.http.Close()
}

func (l *Leaf) addCrashHook(hook func(down bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashHooks = append(l.crashHooks, hook)
}

// State is the response body of GET /state.
type State struct {
	BootID      string         `json:"boot_id"`
	Cold        bool           `json:"cold"`
	Counters    Counters       `json:"counters"`
	Connections netgate.Counts `json:"connections"`
}

func (s *Server) controlMux(l *Leaf) *http.ServeMux {
	mux := http.NewServeMux()
	control.Get(mux, "/state", func() State {
		return State{BootID: l.BootID(), Cold: l.Cold(), Counters: l.Counters(), Connections: s.gate.Counts()}
	})
	control.Get(mux, "/log", l.Log)
	control.Get(mux, "/faults", l.Faults)
	control.Post(mux, "/faults", l.Faults, func(f Faults) error {
		l.Update(func(current *Faults) { *current = f })
		return nil
	})
	control.Post(mux, "/snapshots", control.Zero[[]backend.SnapshotInfo], func(snapshots []backend.SnapshotInfo) error {
		l.SetSnapshots(snapshots)
		return nil
	})
	control.Post(mux, "/crash", control.Zero[struct{}], func(struct{}) error {
		l.Crash()
		return nil
	})
	return mux
}

// service implements the gRPC service Backend on a Leaf.
type service struct {
	backendpb.UnimplementedBackendServer
	leaf *Leaf
}

func (s *service) Run(_ context.Context, r *backendpb.RunRequest) (*backendpb.RunReply, error) {
	a, err := s.leaf.Run(Request{ID: r.Id, Service: r.Service, Snapshot: r.Snapshot, Shard: r.Shard, Payload: r.Payload,
		Timeout: time.Duration(r.TimeoutMs) * time.Millisecond})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply := &backendpb.RunReply{Id: a.ID, Outcome: wireOutcome(a.Err), Snapshot: a.Snapshot, Shard: a.Shard,
		BootId: a.BootID, Data: a.Data, Covered: a.Covered}
	if a.Err != nil {
		reply.Message = a.Err.Error()
	}
	return reply, nil
}

func wireOutcome(err error) backendpb.Outcome {
	switch {
	case err == nil:
		return backendpb.Outcome_OUTCOME_DONE
	case errors.Is(err, backend.ErrRefused):
		return backendpb.Outcome_OUTCOME_REFUSED
	case errors.Is(err, backend.ErrSnapshotGone):
		return backendpb.Outcome_OUTCOME_SNAPSHOT_GONE
	}
	return backendpb.Outcome_OUTCOME_STOPPED
}

func (s *service) Cancel(ctx context.Context, r *backendpb.CancelRequest) (*backendpb.CancelReply, error) {
	if err := s.leaf.Cancel(ctx, r.Id); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &backendpb.CancelReply{}, nil
}

func (s *service) GetStatus(context.Context, *backendpb.StatusRequest) (*backendpb.StatusReply, error) {
	leafStatus, err := s.leaf.Status()
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply := &backendpb.StatusReply{BootId: leafStatus.BootID, InFlight: leafStatus.InFlight, Draining: leafStatus.Draining}
	for _, snapshot := range leafStatus.Snapshots {
		reply.Snapshots = append(reply.Snapshots, &backendpb.Snapshot{
			Id: snapshot.ID, Sequence: snapshot.Sequence, ShardCount: snapshot.ShardCount, Shards: snapshot.Shards})
	}
	return reply, nil
}
