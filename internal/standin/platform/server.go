package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"cyclamenstream/api/platform"
	"cyclamenstream/gen/platformpb"
	"cyclamenstream/internal/standin/control"
	"cyclamenstream/internal/standin/netgate"
)

// Server serves a Platform over gRPC, and its control port over HTTP.
type Server struct {
	// Address and ControlAddress are the host:port addresses of the two listeners.
	Address        string
	ControlAddress string

	grpc *grpc.Server
	http *http.Server
}

// maxRequestBytes lets values above MaxValueBytes reach the check that returns ErrTooLarge.
const maxRequestBytes = 2 * platform.MaxValueBytes

// Serve starts a server on the two addresses. Port 0 selects a free port.
func Serve(p *Platform, address, controlAddress string) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	gate := netgate.New(l)
	p.addFaultHook(func(f Faults) {
		if f.Down {
			gate.Block()
		} else {
			gate.Unblock()
		}
	})
	httpServer, controlAddr, err := control.Serve(p.controlMux(), controlAddress)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	s := &Server{Address: l.Addr().String(), ControlAddress: controlAddr.String(), http: httpServer}
	s.grpc = grpc.NewServer(grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}))
	platformpb.RegisterPlatformServer(s.grpc, &service{platform: p})
	go func() { _ = s.grpc.Serve(gate) }()
	return s, nil
}

// Close closes both listeners and all connections.
func (s *Server) Close() error {
	s.grpc.Stop()
	return s.http.Close()
}

func (p *Platform) addFaultHook(hook func(Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faultHooks = append(p.faultHooks, hook)
}

// RollbackRequest is the body of POST /rollback.
type RollbackRequest struct {
	Key   string `json:"key"`
	Steps int    `json:"steps"`
}

// VMState is the body of POST /vms/state.
type VMState struct {
	ID    string         `json:"id"`
	State platform.State `json:"state"`
}

// VMID is the body of POST /vms/remove.
type VMID struct {
	ID string `json:"id"`
}

func (p *Platform) controlMux() *http.ServeMux {
	mux := http.NewServeMux()
	control.Get(mux, "/faults", p.Faults)
	control.Post(mux, "/faults", p.Faults, func(f Faults) error {
		p.Update(func(current *Faults) { *current = f })
		return nil
	})
	control.Get(mux, "/counters", p.Counters)
	control.Post(mux, "/vms", control.Zero[platform.VM], func(vm platform.VM) error {
		p.PutVM(vm)
		return nil
	})
	control.Post(mux, "/vms/remove", control.Zero[VMID], func(v VMID) error {
		p.RemoveVM(v.ID)
		return nil
	})
	control.Post(mux, "/vms/state", control.Zero[VMState], func(v VMState) error {
		if !p.SetState(v.ID, v.State) {
			return fmt.Errorf("VM %q is not in the list", v.ID)
		}
		return nil
	})
	control.Post(mux, "/rollback", control.Zero[RollbackRequest], func(r RollbackRequest) error {
		if !p.Rollback(r.Key, r.Steps) {
			return fmt.Errorf("key %q has no stored version from %d writes ago", r.Key, r.Steps)
		}
		return nil
	})
	return mux
}

// service implements the gRPC service Platform on a Platform.
type service struct {
	platformpb.UnimplementedPlatformServer
	platform *Platform
}

func (s *service) Get(ctx context.Context, r *platformpb.GetRequest) (*platformpb.Entry, error) {
	e, err := s.platform.Get(ctx, r.Key)
	return wireEntry(e), wireError(err)
}

func (s *service) CompareAndSwap(ctx context.Context, r *platformpb.CompareAndSwapRequest) (*platformpb.CompareAndSwapReply, error) {
	version, err := s.platform.CompareAndSwap(ctx, r.Key, r.Expected, r.Value)
	return &platformpb.CompareAndSwapReply{Version: version}, wireError(err)
}

func (s *service) Watch(ctx context.Context, r *platformpb.WatchRequest) (*platformpb.Entry, error) {
	e, err := s.platform.Watch(ctx, r.Key, r.After)
	return wireEntry(e), wireError(err)
}

func (s *service) ListVMs(ctx context.Context, _ *platformpb.ListVMsRequest) (*platformpb.ListVMsReply, error) {
	fleet, err := s.platform.List(ctx)
	reply := &platformpb.ListVMsReply{Revision: fleet.Revision}
	for _, vm := range fleet.VMs {
		reply.Vms = append(reply.Vms, &platformpb.VM{Id: vm.ID, Zone: vm.Zone, Region: vm.Region, Kind: string(vm.Kind),
			State: string(vm.State), Service: vm.Service, Address: vm.Address, CallerAddress: vm.CallerAddress})
	}
	return reply, wireError(err)
}

func wireEntry(e platform.Entry) *platformpb.Entry {
	return &platformpb.Entry{Key: e.Key, Value: e.Value, Version: e.Version}
}

func wireError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrConflict):
		return status.Error(codes.Aborted, err.Error())
	case errors.Is(err, platform.ErrTooLarge):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, ErrRateLimited):
		return status.Error(codes.ResourceExhausted, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return status.Error(codes.DeadlineExceeded, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}
