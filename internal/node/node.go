// Package node connects the components of a node and starts and stops them in order.
package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/fx"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/cluster"
	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/leaf"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/platform"
	"cyclamenstream/internal/adapter/backendgrpc"
	"cyclamenstream/internal/adapter/platformgrpc"
	"cyclamenstream/internal/clock"
	"cyclamenstream/internal/configstore"
	"cyclamenstream/internal/fanout"
	"cyclamenstream/internal/fanout/budget"
	"cyclamenstream/internal/frontend"
	"cyclamenstream/internal/intent"
	"cyclamenstream/internal/leafset"
	"cyclamenstream/internal/member"
	"cyclamenstream/internal/peerrpc"
	"cyclamenstream/internal/quarantine"
	"cyclamenstream/internal/relay"
	"cyclamenstream/internal/settings"
	"cyclamenstream/internal/timeline"
)

const (
	// stopMargin is added to the shutdown grace for closing sessions and connections after the last query.
	stopMargin = 5 * time.Second
	// startTimeout bounds the opening of the two listeners.
	startTimeout = 10 * time.Second
	// metricsInterval is the interval at which the scope passes its metrics to the Prometheus reporter.
	metricsInterval = time.Second
	// initialRetryBudget lets a service retry before its first sends have earned any budget. The hedge budget starts at
	// 0, so that hedges exceed their share of extra load by at most the budget that was saved up.
	initialRetryBudget = 3
	maxBudget          = 10
)

// New returns the application of one node. Start opens its listeners. Stop shuts it down gracefully.
func New(s settings.Settings, options ...fx.Option) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.ShutdownGrace.Duration+stopMargin),
		fx.Supply(s),
		fx.Provide(
			newSelf, newClock, newTimeline, newMetrics, newRecorder,
			newPlatformClient, newPeerClient, newRelay, newMember, newEditor,
			newLeafset, newQuarantine, newIntents, newFanout, newFrontend, newAdmin, newLifecycle,
		),
		fx.Invoke(func(lc fx.Lifecycle, l *lifecycle) { lc.Append(fx.Hook{OnStart: l.start, OnStop: l.stop}) }),
		fx.Options(options...),
	)
}

func newSelf(s settings.Settings) platform.VM {
	return platform.VM{ID: s.VM, Zone: s.Zone, Region: s.Region, Kind: platform.KindNode, State: platform.StateLive,
		Address: s.PeerAddress, CallerAddress: s.CallerAddress}
}

func newClock() *clock.Hybrid { return clock.New(time.Now) }

func newTimeline(c *clock.Hybrid, s settings.Settings) *timeline.Buffer {
	return timeline.NewBuffer(c, s.VM, s.Zone, s.TimelineCapacity)
}

func newMetrics(lc fx.Lifecycle, s settings.Settings) (tally.Scope, tallyprom.Reporter) {
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: prometheus.NewRegistry()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "cyclamenstream",
		Tags:           map[string]string{"zone": s.Zone},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
		// The names of tally's own cardinality metrics have dots, which Prometheus does not accept.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
	}, metricsInterval)
	lc.Append(fx.StopHook(closer.Close))
	return scope, reporter
}

func newPlatformClient(lc fx.Lifecycle, s settings.Settings) (*platformgrpc.Client, platform.Store, platform.Inventory, error) {
	client, err := platformgrpc.New(s.Platform)
	if err != nil {
		return nil, nil, nil, err
	}
	lc.Append(fx.StopHook(client.Close))
	return client, client, client, nil
}

func newPeerClient(lc fx.Lifecycle, scope tally.Scope) *peerrpc.Client {
	client := peerrpc.NewClient(scope)
	lc.Append(fx.StopHook(client.Close))
	return client
}

func newRelay(store platform.Store, inventory platform.Inventory, peers *peerrpc.Client, events event.Recorder,
	scope tally.Scope) (*relay.Relay, config.Source) {
	r := relay.New(store, inventory, peers, events, scope)
	return r, r
}

func newMember(self platform.VM, peers *peerrpc.Client, documents *relay.Relay, events event.Recorder,
	c *clock.Hybrid, scope tally.Scope) (*member.Node, cluster.Membership, cluster.Ownership) {
	n := member.New(self, peers, documents, events, c, scope)
	return n, n, n
}

func newEditor(store platform.Store, documents *relay.Relay, members *member.Node, events event.Recorder) *configstore.Editor {
	return configstore.NewEditor(store, documents, members.HasMajority, members.VMKnown, events)
}

func newLeafset(members cluster.Membership, owners cluster.Ownership, source config.Source, events event.Recorder,
	scope tally.Scope) (*leafset.Set, leaf.Pool) {
	var dialer backend.Dialer = backendgrpc.NewDialer(backendgrpc.WithScope(scope))
	set := leafset.New(leafset.Deps{Dialer: dialer, Membership: members, Ownership: owners, Config: source,
		Recorder: events, Scope: scope})
	return set, set
}

func newQuarantine(source config.Source, events event.Recorder) *quarantine.List {
	return quarantine.New(source, events)
}

func newIntents(lc fx.Lifecycle, store platform.Store, events event.Recorder, scope tally.Scope) *intent.Manager {
	m := intent.New(store, events, scope)
	lc.Append(fx.StopHook(m.Close))
	return m
}

func newFanout(self platform.VM, pool leaf.Pool, owners cluster.Ownership, guard *quarantine.List,
	intents *intent.Manager, events event.Recorder, scope tally.Scope) *fanout.Executor {
	return fanout.New(fanout.Deps{
		Pool: pool, Owners: owners, Guard: guard, Intents: intents, Recorder: events, Node: self.ID,
		Hedges:  budget.New(0, maxBudget),
		Retries: budget.New(initialRetryBudget, maxBudget),
		Metrics: scope,
	})
}

func newFrontend(s settings.Settings, source config.Source, members cluster.Membership, owners cluster.Ownership,
	runner *fanout.Executor, peers *peerrpc.Client, list *quarantine.List) *frontend.Frontend {
	return frontend.New(frontend.Deps{Config: source, Members: members, Owners: owners, Runner: runner,
		Forwarder: peers, Quarantine: list, LocateTTL: s.LocateTTL.Duration})
}

func newAdmin(editor *configstore.Editor, source config.Source, members *member.Node, list *quarantine.List,
	events *timeline.Buffer, peers *peerrpc.Client) operator.Admin {
	return &admin{editor: editor, source: source, members: members, quarantine: list, events: events, peers: peers}
}
