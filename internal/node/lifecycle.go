package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/fx"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"cyclamenstream/api/event"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/platform"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/frontend"
	"cyclamenstream/internal/httpapi"
	"cyclamenstream/internal/leafset"
	"cyclamenstream/internal/member"
	"cyclamenstream/internal/peerrpc"
	"cyclamenstream/internal/quarantine"
	"cyclamenstream/internal/relay"
	"cyclamenstream/internal/settings"
	"cyclamenstream/internal/timeline"
)

const (
	// retainInterval is how often connections to nodes that are gone are closed.
	retainInterval = 30 * time.Second
	// handoverShare of the shutdown grace may be spent on handing services over; the rest is left for running queries.
	handoverShare = 0.5
)

// parts are the components that the lifecycle starts and stops.
type parts struct {
	fx.In

	Settings   settings.Settings
	Members    *member.Node
	Relay      *relay.Relay
	Leaves     *leafset.Set
	Quarantine *quarantine.List
	Frontend   *frontend.Frontend
	Admin      operator.Admin
	Peers      *peerrpc.Client
	Timeline   *timeline.Buffer
	Events     event.Recorder
	Scope      tally.Scope
	Reporter   tallyprom.Reporter
}

// lifecycle starts and stops a node.
type lifecycle struct {
	parts parts

	peerServer *grpc.Server
	httpServer *http.Server
	stopping   atomic.Bool
	// cancel ends the heartbeats and the other background work.
	cancel context.CancelFunc
}

func newLifecycle(p parts) *lifecycle {
	p.Members.SetHandoverSource(p.Leaves)
	p.Members.SetQuarantine(p.Quarantine)
	l := &lifecycle{parts: p}
	l.peerServer = peerrpc.NewServer(peerrpc.Deps{Members: p.Members, Queries: p.Frontend, Events: p.Timeline.Events})
	l.httpServer = httpapi.NewServer(httpapi.New(httpapi.Deps{Queries: p.Frontend, Locator: p.Frontend, Admin: p.Admin,
		Ready: l.ready, Metrics: p.Reporter.HTTPHandler(), MaxBodyBytes: p.Settings.MaxBodyBytes, Scope: p.Scope}))
	return l
}

// ready returns nil while callers may be sent here.
func (l *lifecycle) ready() error {
	if l.stopping.Load() {
		return verdict.Refusef(verdict.CodeStopping, "the node is stopping")
	}
	if l.parts.Relay.Current() == nil {
		return verdict.Refusef(verdict.CodeStale, "the node has no configuration yet")
	}
	return l.parts.Members.CheckFresh()
}

func (l *lifecycle) start(context.Context) error {
	peerListener, err := net.Listen("tcp", l.parts.Settings.PeerListen)
	if err != nil {
		return err
	}
	callerListener, err := net.Listen("tcp", l.parts.Settings.CallerListen)
	if err != nil {
		return errors.Join(err, peerListener.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go l.serve("peer", func() error { return l.peerServer.Serve(peerListener) })
	l.parts.Members.Start(ctx)
	if err := l.parts.Leaves.Start(ctx); err != nil {
		return err
	}
	go l.parts.Quarantine.Run(ctx, l.parts.Leaves.Crashes())
	go l.retainPeers(ctx)
	go l.serve("caller", func() error { return l.httpServer.Serve(callerListener) })
	l.parts.Events.Record(event.Event{Kind: event.NodeStarted, VM: l.parts.Settings.VM})
	return nil
}

func (l *lifecycle) serve(name string, serve func() error) {
	err := serve()
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
		klog.ErrorS(err, "listener ended", "listener", name)
	}
}

// retainPeers closes the connections to nodes that the list of VMs no longer has.
func (l *lifecycle) retainPeers(ctx context.Context) {
	ticker := time.NewTicker(retainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if fleet := l.parts.Relay.Fleet(); fleet != nil {
			var nodes []platform.VM
			for _, vm := range fleet.VMs {
				if vm.Kind == platform.KindNode {
					nodes = append(nodes, vm)
				}
			}
			l.parts.Peers.Retain(nodes)
		}
	}
}

// stop is a graceful shutdown. The node leaves the addresses given to callers and hands its services over, then serves
// by forwarding for as long as callers may keep its address, and ends once the last query has been answered. ctx bounds
// the whole.
func (l *lifecycle) stop(ctx context.Context) error {
	l.stopping.Store(true)
	defer l.cancel()
	callersLeft := time.After(l.parts.Settings.LocateTTL.Duration)
	errHandover := l.handOver(ctx)
	select {
	case <-callersLeft:
	case <-ctx.Done():
	}
	errHTTP := l.httpServer.Shutdown(ctx)
	errQueries := l.parts.Frontend.Stop(ctx)
	errLeaves := l.parts.Leaves.Stop(ctx)
	l.parts.Events.Record(event.Event{Kind: event.NodeStopped, VM: l.parts.Settings.VM})
	stopPeers(ctx, l.peerServer)
	return errors.Join(errHandover, errHTTP, errQueries, errLeaves)
}

// handOver hands the services over within a share of the time for the whole shutdown.
func (l *lifecycle) handOver(ctx context.Context) error {
	limit := time.Duration(handoverShare * float64(l.parts.Settings.ShutdownGrace.Duration))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return l.parts.Members.Shutdown(ctx)
}

// stopPeers waits for the calls of peers to end, at most until ctx ends.
func stopPeers(ctx context.Context, server *grpc.Server) {
	done := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		server.Stop()
	}
}
