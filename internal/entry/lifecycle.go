package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"cyclamenstream/api/route"
	"cyclamenstream/internal/crashes"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/follow"
	"cyclamenstream/internal/gather"
	"cyclamenstream/internal/guard"
	"cyclamenstream/internal/membudget"
	"cyclamenstream/internal/notice"
	"cyclamenstream/internal/prepare"
	"cyclamenstream/internal/quota"
	"cyclamenstream/internal/rollout"
	"cyclamenstream/internal/roster"
	"cyclamenstream/internal/tcpopt"
	"cyclamenstream/internal/utilization"
	"cyclamenstream/platform"
)

const (
	// maxCallerHeader is above what the operators' limits allow. Those limits bound headers further.
	maxCallerHeader = 64 << 10
	// defaultBodyBytes applies while no configuration is known.
	defaultBodyBytes = 256 << 10
	// headerTimeout and idleTimeout free the connections of silent callers. The operators' limits may be shorter.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// closeConnsAfter is when a stopping node begins to close the connections of its callers. By then most callers have
	// a new answer of the directory.
	closeConnsAfter = 1200 * time.Millisecond
	// Some callers keep an answer of the directory for staleTTLs times its TTL.
	staleTTLs = 3
	// maxServeShare is the part of the shutdown grace after which a stopping node accepts no more requests at the
	// latest.
	maxServeShare = 0.75
	// exitMargin is the last part of the shutdown grace, in which the process exits. cancelMargin is the part before
	// it, in which requests whose leaves are still working are answered.
	exitMargin   = 500 * time.Millisecond
	cancelMargin = 200 * time.Millisecond
	// unusedConnWait is how long a request may still arrive on a new connection once no more connections are accepted.
	unusedConnWait = 100 * time.Millisecond
	logFlush       = 100 * time.Millisecond
)

// settingsPath is the file that the settings were read from.
type settingsPath string

type lifecycleParams struct {
	fx.In

	Settings     Settings
	Path         settingsPath
	Follower     *follow.Follower
	Roster       *roster.Roster
	Preconnector *prepare.Preconnector
	Dispatcher   *gather.Dispatcher
	Quota        *quota.Service
	Crashes      *crashes.Detector
	Rollouts     *rollout.Controller
	Routing      *activeRouting
	Peers        *notice.UDPTransport
	Log          *decision.Log
	Reporter     tallyprom.Reporter
	Guard        guard.Guard
	Memory       *membudget.Budget
	Scope        tally.Scope
	Meter        *utilization.Meter
}

// lifecycle starts and stops an entry node.
type lifecycle struct {
	params lifecycleParams

	callerHandler *platform.CallerHandler
	callerServer  *http.Server
	unused        *unusedConns
	otherServers  []*http.Server
	peerServer    *grpc.Server
	cancel        context.CancelFunc
}

func newLifecycle(p lifecycleParams) *lifecycle {
	l := &lifecycle{params: p, unused: newUnusedConns()}
	l.callerHandler = platform.NewCallerHandler(p.Dispatcher, l.limits)
	l.callerServer = newServer(l.callerHandler)
	l.callerServer.ConnContext, l.callerServer.ConnState = platform.ConnContext, connState
	return l
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxCallerHeader, ConnState: meterState}
}

// limits returns the operators' limits on what callers send.
func (l *lifecycle) limits() route.Limits {
	limits := route.Limits{}
	if index := l.params.Routing.index.Load(); index != nil {
		limits = index.Table().Limits
	}
	if limits.BodyBytes <= 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	return limits
}

func (l *lifecycle) start(context.Context) error {
	s := l.params.Settings
	directory := newServer(platform.NewDirectoryHandler(l.params.Roster))
	listeners := map[string]*http.Server{s.CallerListen: l.callerServer, s.ReadyListen: directory, s.DirectoryListen: directory}
	if s.MetricsListen != "" {
		listeners[s.MetricsListen] = newMetricsServer(l.params.Reporter.HTTPHandler())
	}
	for address, server := range listeners {
		listener, err := tcpopt.Listen(address, membudget.ReceiveBytes, s.acceptBacklog())
		if err != nil {
			return err
		}
		if server == l.callerServer {
			listener = callerListener{meteredListener{listener, l.params.Memory.Open}, l.limits, l.unused}
		} else {
			listener = meteredListener{listener, l.params.Memory.OpenReserved}
			l.otherServers = append(l.otherServers, server)
		}
		go l.serve(server, listener)
	}
	peers, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return err
	}
	l.peerServer = notice.NewViewServer(l.params.Follower.View, l.params.Guard)
	go func() {
		if err := l.peerServer.Serve(peers); err != nil {
			l.listenerEnded(peers, err)
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	if l.params.Path != "" {
		go l.watchSettings(ctx, string(l.params.Path))
	}
	for name, loop := range map[string]func(context.Context){
		"peers": l.params.Peers.Run, "follower": l.params.Follower.Run, "roster": l.params.Roster.Run, "crashes": l.params.Crashes.Run,
		"rollouts":     l.params.Rollouts.Run,
		"preconnector": l.params.Preconnector.Run, "meter": func(ctx context.Context) { l.params.Meter.Run(ctx, l.loadChanged) },
		"memory": (&budgetReporter{budget: l.params.Memory, log: l.params.Log, scope: l.params.Scope}).run,
	} {
		go l.params.Guard.Loop(ctx, name, loop)
	}
	if l.params.Quota != nil {
		go l.params.Guard.Loop(ctx, "quota", l.params.Quota.Run)
	}
	l.params.Log.Info("start", "region", s.Region, "caller_listen", s.CallerListen, "registry", s.Registry)
	return nil
}

// loadChanged records that the processor has become overloaded or has ceased to be.
func (l *lifecycle) loadChanged(overloaded bool, utilization float64) {
	l.params.Log.Info("processor", "overloaded", overloaded, "utilization", utilization)
	l.params.Roster.SetOverloaded(overloaded)
}

func (l *lifecycle) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		l.listenerEnded(listener, err)
	}
}

func (l *lifecycle) listenerEnded(listener net.Listener, err error) {
	l.params.Log.Error("listener_ended", "address", listener.Addr().String(), "error", err.Error())
}

// stop shuts the node down gracefully. The node leaves the directory and keeps serving while callers may still arrive.
// It closes their connections with the answers, and exits once the last request is answered.
func (l *lifecycle) stop(ctx context.Context) error {
	defer l.cancel()
	began := time.Now()
	l.params.Log.Info("stop", "grace_ms", decision.Millis(l.params.Settings.ShutdownGrace.Duration))
	grace := l.params.Settings.ShutdownGrace.Duration
	cancelAt := began.Add(grace - exitMargin - cancelMargin)
	l.params.Dispatcher.BeginStop(cancelAt)
	if err := l.params.Roster.Stop(ctx); err != nil {
		l.params.Log.Warn("membership", "outcome", "not revoked", "error", err.Error())
	}
	time.Sleep(time.Until(began.Add(closeConnsAfter)))
	l.callerHandler.CloseConnections()
	serveTime := min(time.Duration(maxServeShare*float64(grace)), staleTTLs*resolveTTL+closeConnsAfter)
	time.Sleep(time.Until(began.Add(serveTime)))
	shutdownCtx, cancel := context.WithDeadline(ctx, began.Add(grace-exitMargin))
	defer cancel()
	defer time.AfterFunc(time.Until(cancelAt), l.params.Dispatcher.CancelPending).Stop()
	// Shutdown would wait 5 s for a request on a new connection.
	defer time.AfterFunc(unusedConnWait, l.unused.close).Stop()
	err := l.callerServer.Shutdown(shutdownCtx)
	l.peerServer.Stop()
	for _, server := range l.otherServers {
		// The process exits next, so a listener that does not close has no effect.
		_ = server.Close()
	}
	l.params.Log.Info("stopped", "took_ms", decision.Millis(time.Since(began)), "cut", err != nil)
	l.params.Log.Close(logFlush)
	return err
}
