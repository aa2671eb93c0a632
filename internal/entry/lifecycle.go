package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"cyclamenstream/api/route"
	"cyclamenstream/internal/crashes"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/follow"
	"cyclamenstream/internal/gather"
	"cyclamenstream/internal/notice"
	"cyclamenstream/internal/prepare"
	"cyclamenstream/internal/roster"
	"cyclamenstream/platform"
)

const (
	// maxCallerHeader is above what the operators' limits allow; they bound it further.
	maxCallerHeader = 64 << 10
	// defaultBodyBytes applies while no configuration is known.
	defaultBodyBytes = 256 << 10
	// headerTimeout and idleTimeout free the connections of callers that fell silent; the operators' limits may be shorter.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// closeAfter is when a stopping node begins to end the connections of its callers: by then most have a new answer
	// of the directory.
	closeAfter = 1200 * time.Millisecond
	// staleAnswers is how many times its time to live some callers keep an answer of the directory.
	staleAnswers = 3
	// finishShare is the part of the grace after which a stopping node takes no more requests at the latest.
	finishShare = 0.75
	// exitMargin is left of the grace for the end of the process, and answerMargin before it for the answers to requests
	// whose leaves are still at work.
	exitMargin   = 500 * time.Millisecond
	answerMargin = 200 * time.Millisecond
	// unusedTime is how long a request may still come on a new connection once no further ones are taken.
	unusedTime = 100 * time.Millisecond
	logFlush   = 100 * time.Millisecond
)

// settingsPath is the file that the settings came from.
type settingsPath string

type parts struct {
	fx.In

	Settings Settings
	Path     settingsPath
	Follower *follow.Follower
	Roster   *roster.Roster
	Preparer *prepare.Preparer
	Requests *gather.Dispatcher
	Crashes  *crashes.List
	View     *view
	Peers    *notice.Datagrams
	Log      *decision.Log
	Reporter tallyprom.Reporter
}

// lifecycle starts and stops an entry node.
type lifecycle struct {
	parts parts

	front   *platform.CallerHandler
	callers *http.Server
	unused  *unusedConns
	others  []*http.Server
	views   *grpc.Server
	cancel  context.CancelFunc
}

func newLifecycle(p parts) *lifecycle {
	l := &lifecycle{parts: p, unused: &unusedConns{conns: map[net.Conn]bool{}}}
	l.front = platform.NewCallerHandler(p.Requests, l.limits)
	l.callers = newServer(l.front)
	l.callers.ConnContext, l.callers.ConnState = platform.ConnContext, connState
	return l
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxCallerHeader}
}

// limits returns the operators' limits on what callers send.
func (l *lifecycle) limits() route.Limits {
	limits := route.Limits{}
	if index := l.parts.View.index.Load(); index != nil {
		limits = index.Table().Limits
	}
	if limits.BodyBytes <= 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	return limits
}

func (l *lifecycle) start(context.Context) error {
	s := l.parts.Settings
	directory := newServer(platform.NewDirectoryHandler(l.parts.Roster))
	listeners := map[string]*http.Server{s.CallerListen: l.callers, s.ReadyListen: directory, s.DirectoryListen: directory}
	if s.MetricsListen != "" {
		listeners[s.MetricsListen] = newServer(l.parts.Reporter.HTTPHandler())
	}
	for address, server := range listeners {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		if server == l.callers {
			listener = callerListener{listener, l.limits, l.unused}
		} else {
			l.others = append(l.others, server)
		}
		go l.serve(server, listener)
	}
	peers, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return err
	}
	l.views = notice.NewViewServer(l.parts.Follower.View)
	go func() {
		if err := l.views.Serve(peers); err != nil {
			l.listenerEnded(peers, err)
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	if l.parts.Path != "" {
		go l.followSettings(ctx, string(l.parts.Path))
	}
	go l.parts.Peers.Run(ctx)
	go l.parts.Follower.Run(ctx)
	go l.parts.Roster.Run(ctx)
	go l.parts.Crashes.Run(ctx)
	go l.parts.Preparer.Run(ctx)
	l.parts.Log.Info("start", "region", s.Region, "caller_listen", s.CallerListen, "registry", s.Registry)
	return nil
}

func (l *lifecycle) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		l.listenerEnded(listener, err)
	}
}

func (l *lifecycle) listenerEnded(listener net.Listener, err error) {
	l.parts.Log.Error("listener_ended", "address", listener.Addr().String(), "error", err.Error())
}

// stop is a graceful shutdown: the node leaves the directory, serves while callers may still come, ends their
// connections with the answers, and exits once the last request is answered.
func (l *lifecycle) stop(ctx context.Context) error {
	defer l.cancel()
	began := time.Now()
	l.parts.Log.Info("stop", "grace_ms", decision.Millis(l.parts.Settings.ShutdownGrace.Duration))
	if err := l.parts.Roster.Stop(ctx); err != nil {
		l.parts.Log.Warn("membership", "outcome", "not revoked", "error", err.Error())
	}
	grace := l.parts.Settings.ShutdownGrace.Duration
	time.Sleep(time.Until(began.Add(closeAfter)))
	l.front.CloseConnections()
	serve := min(time.Duration(finishShare*float64(grace)), staleAnswers*resolveTTL+closeAfter)
	time.Sleep(time.Until(began.Add(serve)))
	finish, cancel := context.WithDeadline(ctx, began.Add(grace-exitMargin))
	defer cancel()
	defer time.AfterFunc(time.Until(began.Add(grace-exitMargin-answerMargin)), l.parts.Requests.CancelPending).Stop()
	// The server would wait 5 s for a request on a new connection.
	defer time.AfterFunc(unusedTime, l.unused.close).Stop()
	err := l.callers.Shutdown(finish)
	l.views.Stop()
	for _, server := range l.others {
		// The process ends next; a listener that does not close is of no consequence.
		_ = server.Close()
	}
	l.parts.Log.Info("stopped", "took_ms", decision.Millis(time.Since(began)), "cut", err != nil)
	l.parts.Log.Close(logFlush)
	return err
}
