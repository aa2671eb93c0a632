package entry

import (
	"log"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/fx"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/exchange"
	"cyclamenstream/api/registry"
	"cyclamenstream/internal/crashes"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/direct"
	"cyclamenstream/internal/fanout/budget"
	"cyclamenstream/internal/follow"
	"cyclamenstream/internal/gather"
	"cyclamenstream/internal/notice"
	"cyclamenstream/internal/prepare"
	"cyclamenstream/internal/roster"
	"cyclamenstream/internal/routing"
	"cyclamenstream/platform"
)

const (
	// startTimeout bounds the opening of the listeners; stopMargin is added to the shutdown grace for what follows.
	startTimeout = 10 * time.Second
	stopMargin   = time.Second
	// metricsInterval is how often counters are handed to the read-out.
	metricsInterval = 2 * time.Second

	// leaseTTL keeps a dead node in the directory for at most this long, plus one interval of reads.
	leaseTTL      = 4 * time.Second
	renewInterval = 1500 * time.Millisecond
	// resolveTTL spreads news of nodes to callers quickly; some keep an answer three times as long.
	resolveTTL = time.Second

	// readsPerBound is the number of reads of the registry in the time within which a change must be in force.
	readsPerBound = 3
	// entriesReturn is a little longer than entries take to come back after the registry was away.
	entriesReturn = 2500 * time.Millisecond

	// retryUse is the part of the budget of extra sends that is used: nodes that start or stop may count it differently.
	retryUse = 0.8
	// frontSlack is the part of the budget's slack for the nodes that callers are sent to.
	frontSlack = 0.75
	// retryInitial lets a service repeat sends before its requests have earned any budget.
	retryInitial = 3

	retryAfterNoConfig = time.Second
	retryAfterBusy     = 150 * time.Millisecond
	// sampleEvery writes the trace of every so many ordinary requests.
	sampleEvery = 500
)

// New returns the application of one entry node. path is the file that the settings came from; empty if there is none.
func New(s Settings, path string) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.ShutdownGrace.Duration+stopMargin),
		fx.Supply(s, settingsPath(path)),
		fx.Provide(newLog, newMetrics, newRegistry, newPeers, newViews, newPool, newSender, newBudget, newCrashes, newView, newDispatcher, newRoster, newLifecycle),
		fx.Invoke(func(lc fx.Lifecycle, l *lifecycle) { lc.Append(fx.Hook{OnStart: l.start, OnStop: l.stop}) }),
	)
}

func newLog(s Settings) *decision.Log {
	l := decision.New(os.Stdout, s.VM, s.Zone)
	// net/http reports answers that nobody asked for to the standard logger.
	log.SetFlags(0)
	log.SetOutput(l.Writer("library"))
	return l
}

func newMetrics(lc fx.Lifecycle, s Settings) (tally.Scope, tallyprom.Reporter) {
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: prometheus.NewRegistry()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "cyclamenstream",
		Tags:                   map[string]string{"zone": s.Zone},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
	}, metricsInterval)
	lc.Append(fx.StopHook(closer.Close))
	return scope, reporter
}

func newRegistry(s Settings, scope tally.Scope) registry.Registry {
	return platform.NewStore(s.Registry, scope)
}

func newSender(scope tally.Scope) exchange.Sender { return platform.NewLeafClient(scope) }

func newPool(s Settings) *direct.Pool {
	return direct.New(direct.Config{Self: s.VM, Zone: s.Zone, Region: s.Region, RegionByZone: s.Zones,
		ColdShare: s.ColdShare, ColdSlack: s.ColdSlack, Now: time.Now})
}

// newBudget returns the budget of extra sends. Its bound over all nodes is kept by dividing the slack among them.
func newBudget(s Settings) *budget.Budget { return budget.New(retryInitial, s.RetrySlack*retryUse) }

// view is the routing configuration in force on this node.
type view struct{ index atomic.Pointer[routing.Index] }

func newView() *view { return &view{} }

// knownPeers holds the addresses of the other nodes.
type knownPeers struct{ atomic.Pointer[[]string] }

func (k *knownPeers) addresses() []string {
	if list := k.Load(); list != nil {
		return *list
	}
	return nil
}

func newCrashes(peers *notice.Datagrams, log *decision.Log) (*crashes.List, *knownPeers) {
	known := &knownPeers{}
	return crashes.New(crashes.Config{Peers: peers, Addresses: known.addresses, Log: log, Now: time.Now}), known
}

func newDispatcher(s Settings, pool *direct.Pool, sender exchange.Sender, v *view, extra *budget.Budget, crashing *crashes.List,
	log *decision.Log, scope tally.Scope) *gather.Dispatcher {
	return gather.New(gather.Deps{
		Config: gather.Config{AnswerMargin: s.AnswerMargin.Duration, OpenMargin: s.OpenMargin.Duration, RetryShare: s.RetryShare * retryUse,
			RetryAfterNoConfig: retryAfterNoConfig, RetryAfterBusy: retryAfterBusy, SampleEvery: sampleEvery},
		Pool: pool, Sender: sender, Index: v.index.Load, RetryBudget: extra, Crashes: crashing, Log: log, Scope: scope,
	})
}

func newPeers(s Settings, log *decision.Log, scope tally.Scope) (*notice.Datagrams, error) {
	return notice.Listen(s.PeerListen, log, scope)
}

func newViews(scope tally.Scope) cluster.Views { return notice.NewViews(scope) }

// retrySlack returns what this node may hold of the stated slack. Nodes that callers are sent to divide most of it; the
// rest is for the others, which still get some requests.
func retrySlack(s Settings, front []string, nodes int) float64 {
	slack := s.RetrySlack * retryUse
	others := nodes - len(front)
	if others <= 0 {
		return slack / float64(max(1, len(front)))
	}
	if slices.Contains(front, s.VM) {
		return slack * frontSlack / float64(len(front))
	}
	return slack * (1 - frontSlack) / float64(others)
}

// peerAddresses returns where the nodes other than self listen for their peers.
func peerAddresses(members []registry.Member, self string) *[]string {
	var list []string
	for _, m := range members {
		if m.ID != self && m.PeerAddress != "" {
			list = append(list, m.PeerAddress)
		}
	}
	return &list
}

// newRoster returns this node's membership, the follower of the registry, and the preparer of connections, which need each
// other.
func newRoster(s Settings, r registry.Registry, peers *notice.Datagrams, views cluster.Views, v *view, pool *direct.Pool, sender exchange.Sender,
	extra *budget.Budget, crashing *crashes.List, known *knownPeers, log *decision.Log, scope tally.Scope) (*roster.Roster, *follow.Follower, *prepare.Preparer) {
	self := registry.Member{ID: s.VM, Zone: s.Zone, Region: s.Region, CallerAddress: s.CallerListen, PeerAddress: s.PeerListen,
		Boot: time.Now().UnixMilli(), Capacity: s.ProcessorShare * s.ProcessorSpeed}
	var follower *follow.Follower
	var nodes *roster.Roster
	preparer := prepare.New(pool, sender, func() bool { return nodes.Ready() && slices.Contains(nodes.Front(), s.VM) })
	apply := func(now registry.State) {
		nodes.Update(now.Members)
		known.Store(peerAddresses(now.Members, s.VM))
		front := nodes.Front()
		extra.SetMax(retrySlack(s, front, len(now.Members)))
		if now.Table == nil {
			return
		}
		gone := pool.Update(direct.View{Leaves: now.Leaves, Services: now.Table.Services, EvacuatedZones: now.Evacuated, Advertised: front})
		if old := v.index.Load(); old == nil || old.Table() != now.Table {
			v.index.Store(routing.NewIndex(now.Table))
		}
		for _, l := range gone {
			sender.Forget(l)
			crashing.Down(l)
		}
		preparer.Changed()
	}
	follower = follow.New(r, peers, views, follow.Config{Self: s.VM, Address: s.PeerListen, Capacity: self.Capacity, Return: entriesReturn,
		Interval: min(s.DrainWithin.Duration, s.ConfigWithin.Duration) / readsPerBound}, log, scope, apply)
	nodes = roster.New(r, roster.Config{LeaseTTL: leaseTTL, RenewInterval: renewInterval,
		ResolveTTL: min(resolveTTL, s.ResolveTTLMax.Duration)}, self, follower.Serving, log)
	return nodes, follower, preparer
}
