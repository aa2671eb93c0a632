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
	// retainInterval is the interval at which connections to removed nodes are closed.
	retainInterval = 30 * time.Second
	// handoverShare is the share of the shutdown grace that the handover of services may take. The rest is left for
	// running queries.
	handoverShare = 0.5
)

// components holds what the lifecycle starts, stops and connects.
type components struct {
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
	components components

	peerServer *grpc.Server
	httpServer *http.Server
	stopping   atomic.Bool
	// cancel ends the heartbeats and the other background work.
	cancel context.CancelFunc
}

func newLifecycle(c components) *lifecycle {
	c.Members.SetHandoverSource(c.Leaves)
	c.Members.SetQuarantine(c.Quarantine)
	l := &lifecycle{components: c}
	l.peerServer = peerrpc.NewServer(peerrpc.Deps{Members: c.Members, Queries: c.Frontend, Events: c.Timeline.Events})
	l.httpServer = httpapi.NewServer(httpapi.New(httpapi.Deps{Queries: c.Frontend, Locator: c.Frontend, Admin: c.Admin,
		Ready: l.ready, Metrics: c.Reporter.HTTPHandler(), MaxBodyBytes: c.Settings.MaxBodyBytes, Scope: c.Scope}))
	return l
}

// ready returns nil while the node can serve callers, and otherwise the reason why it cannot.
func (l *lifecycle) ready() error {
	if l.stopping.Load() {
		return verdict.Refusef(verdict.CodeStopping, "the node is stopping")
	}
	if l.components.Relay.Current() == nil {
		return verdict.Refusef(verdict.CodeStale, "the node has no configuration yet")
	}
	return l.components.Members.CheckFresh()
}

func (l *lifecycle) start(context.Context) error {
	peerListener, err := net.Listen("tcp", l.components.Settings.PeerListen)
	if err != nil {
		return err
	}
	callerListener, err := net.Listen("tcp", l.components.Settings.CallerListen)
	if err != nil {
		return errors.Join(err, peerListener.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go l.serve("peer", func() error { return l.peerServer.Serve(peerListener) })
	l.components.Members.Start(ctx)
	if err := l.components.Leaves.Start(ctx); err != nil {
		return err
	}
	go l.components.Quarantine.Run(ctx, l.components.Leaves.Crashes())
	go l.retainPeers(ctx)
	go l.serve("caller", func() error { return l.httpServer.Serve(callerListener) })
	l.components.Events.Record(event.Event{Kind: event.NodeStarted, VM: l.components.Settings.VM})
	return nil
}

func (l *lifecycle) serve(name string, serve func() error) {
	err := serve()
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
		klog.ErrorS(err, "listener ended", "listener", name)
	}
}

// retainPeers regularly closes the connections to nodes that are no longer in the list of VMs.
func (l *lifecycle) retainPeers(ctx context.Context) {
	ticker := time.NewTicker(retainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if fleet := l.components.Relay.Fleet(); fleet != nil {
			var nodes []platform.VM
			for _, vm := range fleet.VMs {
				if vm.Kind == platform.KindNode {
					nodes = append(nodes, vm)
				}
			}
			l.components.Peers.Retain(nodes)
		}
	}
}

// stop shuts the node down gracefully. The node is removed from the addresses that locate requests return and hands its
// services over. It then forwards queries for as long as callers may use its address, and stops after the last query is
// answered. ctx bounds the whole shutdown.
func (l *lifecycle) stop(ctx context.Context) error {
	l.stopping.Store(true)
	defer l.cancel()
	addressExpired := time.After(l.components.Settings.LocateTTL.Duration)
	errHandover := l.handOver(ctx)
	select {
	case <-addressExpired:
	case <-ctx.Done():
	}
	errHTTP := l.httpServer.Shutdown(ctx)
	errQueries := l.components.Frontend.Stop(ctx)
	errLeaves := l.components.Leaves.Stop(ctx)
	l.components.Events.Record(event.Event{Kind: event.NodeStopped, VM: l.components.Settings.VM})
	stopPeerServer(ctx, l.peerServer)
	return errors.Join(errHandover, errHTTP, errQueries, errLeaves)
}

// handOver hands the services over within handoverShare of the shutdown grace.
func (l *lifecycle) handOver(ctx context.Context) error {
	limit := time.Duration(handoverShare * float64(l.components.Settings.ShutdownGrace.Duration))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return l.components.Members.Shutdown(ctx)
}

// stopPeerServer stops the server after the running calls of peers, or at once when ctx ends.
func stopPeerServer(ctx context.Context, server *grpc.Server) {
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
