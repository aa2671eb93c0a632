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
	"cyclamenstream/api/route"
	"cyclamenstream/internal/admission"
	"cyclamenstream/internal/crashes"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/direct"
	"cyclamenstream/internal/fanout/budget"
	"cyclamenstream/internal/follow"
	"cyclamenstream/internal/gather"
	"cyclamenstream/internal/guard"
	"cyclamenstream/internal/notice"
	"cyclamenstream/internal/prepare"
	"cyclamenstream/internal/quota"
	"cyclamenstream/internal/rollout"
	"cyclamenstream/internal/roster"
	"cyclamenstream/internal/routing"
	"cyclamenstream/internal/utilization"
	"cyclamenstream/platform"
)

const (
	// startTimeout bounds the opening of the listeners. stopMargin is added to the shutdown grace for the rest of the
	// stop.
	startTimeout = 10 * time.Second
	stopMargin   = time.Second
	// metricsInterval is how often the counters are passed to the metrics reporter.
	metricsInterval = 2 * time.Second

	// A dead node stays in the directory for at most leaseTTL plus the interval between two reads.
	leaseTTL      = 4 * time.Second
	renewInterval = 1500 * time.Millisecond
	// resolveTTL is short so that callers learn of changed nodes quickly. Some callers keep an answer three times as
	// long.
	resolveTTL = time.Second

	// readsPerBound is the number of reads of the registry in the time within which a change must be in force.
	readsPerBound = 3
	// reregisterTime is a little longer than entries take to be registered again after an outage of the registry.
	reregisterTime = 2500 * time.Millisecond
	// restoreTime is longer than the entries of leaves that have left stay in a registry that was restored from a copy.
	restoreTime = 5 * time.Second

	// silentEntryTime is longer than the registry lists a leaf that is silent. A leaf that was away is taken to be cold until its
	// entry changes or is gone, also on a node that learns of it late.
	silentEntryTime = 5 * time.Second

	// retryFactor is the part of the retry budget that is used. The rest covers nodes that start or stop, which may
	// compute their share differently.
	retryFactor = 0.8
	// advertisedSlackFraction is the part of the budget's slack for the nodes that are advertised to callers.
	advertisedSlackFraction = 0.75
	// initialTokens allows a few retries for a service before its requests have earned any budget.
	initialTokens = 3

	retryAfterNoConfig = time.Second
	retryAfterBusy     = 150 * time.Millisecond
	// sampleEvery is the number of requests of which one is traced even if it is not notable.
	sampleEvery = 500
)

// components provides the parts of an entry node.
var components = fx.Provide(newLog, newMetrics, guard.New, newStore, newPeers, newViews, newKnownPeers, newRollouts, newPool, newSender, newBudget,
	newDetector, newMeter, newAdmission, newActiveRouting, newViewAge, newQuota, newDispatcher, newRoster, newMemoryBudget, newLifecycle)

// New returns the application of one entry node. path is the file that the settings were read from, or empty if there
// is none.
func New(s Settings, path string) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.ShutdownGrace.Duration+stopMargin),
		fx.Supply(s, settingsPath(path)),
		components,
		fx.Invoke(func(lc fx.Lifecycle, l *lifecycle) { lc.Append(fx.Hook{OnStart: l.start, OnStop: l.stop}) }),
	)
}

func newLog(s Settings) *decision.Log {
	l := decision.New(os.Stdout, s.VM, s.Zone)
	// net/http reports unsolicited responses to the standard logger.
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

func newStore(s Settings, scope tally.Scope) (*platform.Store, registry.Registry) {
	store := platform.NewStore(s.Registry, scope)
	return store, store
}

func newSender(s Settings, scope tally.Scope) (*platform.LeafClient, exchange.Sender) {
	client := platform.NewLeafClient(scope, s.leafConnections())
	return client, client
}

// readInterval is the time between two reads of the registry by the node that reads on behalf of all.
func (s Settings) readInterval() time.Duration {
	return min(s.DrainWithin.Duration, s.ConfigWithin.Duration) / readsPerBound
}

// newRollouts returns nil if the settings state no bound of the time to roll back. Rollouts are then ignored.
func newRollouts(s Settings, store *platform.Store, guard guard.Guard, peers *notice.UDPTransport, known *knownPeers, log *decision.Log, scope tally.Scope) *rollout.Controller {
	if s.RollbackWithin.Duration == 0 {
		return nil
	}
	return rollout.New(rollout.Params{
		Config: rollout.Config{Share: s.ExposureShare, Slack: s.ExposureSlack, RollbackWithin: s.RollbackWithin.Duration},
		Self:   s.VM, Boot: time.Now().UnixMilli(), Registry: store, Peers: peers, Addresses: known.addresses, Log: log, Now: time.Now, Scope: scope, Guard: guard,
	})
}

func newPool(s Settings, client *platform.LeafClient, rollouts *rollout.Controller, log *decision.Log, scope tally.Scope) *direct.Pool {
	return direct.New(direct.Config{Self: s.VM, Zone: s.Zone, Region: s.Region, RegionByZone: s.Zones,
		ColdShare: s.ColdShare, ColdSlack: s.ColdSlack, EntryDelay: silentEntryTime + 2*s.readInterval(), Now: time.Now, Connected: client.Connected,
		Log: log.Logger, Scope: scope, Rollouts: rollouts})
}

// newBudget returns the budget of retries and hedges. The nodes divide the slack, so that its limit holds over all
// nodes.
func newBudget(s Settings) *budget.Budget { return budget.New(initialTokens, s.RetrySlack*retryFactor) }

// activeRouting is the routing configuration in force on this node.
type activeRouting struct {
	index atomic.Pointer[routing.Index]
	// configured is closed with the first configuration.
	configured chan struct{}
}

func newActiveRouting() *activeRouting { return &activeRouting{configured: make(chan struct{})} }

// set puts a configuration into force. It must not be called concurrently.
func (a *activeRouting) set(x *routing.Index) {
	if a.index.Swap(x) == nil {
		close(a.configured)
	}
}

// known reports whether a configuration is in force.
func (a *activeRouting) known() bool { return a.index.Load() != nil }

// knownPeers holds the addresses of the other nodes.
type knownPeers struct{ atomic.Pointer[[]string] }

func (k *knownPeers) addresses() []string {
	if list := k.Load(); list != nil {
		return *list
	}
	return nil
}

// viewAge tells how old this node's view of the registry is. The follower that knows it is created after those who ask.
type viewAge struct {
	atomic.Pointer[follow.Follower]
}

func newViewAge() *viewAge { return &viewAge{} }

func (v *viewAge) age() time.Duration { return v.Load().Age() }

func newKnownPeers() *knownPeers { return &knownPeers{} }

func newDetector(s Settings, store *platform.Store, guard guard.Guard, peers *notice.UDPTransport, known *knownPeers, log *decision.Log, scope tally.Scope) *crashes.Detector {
	return crashes.New(crashes.Config{Self: s.VM, Registry: store, Peers: peers, Addresses: known.addresses, Log: log, Now: time.Now, Scope: scope, Guard: guard})
}

// newQuota returns the quota service, or nil if quotas are not enforced.
func newQuota(s Settings, peers *notice.UDPTransport, age *viewAge, log *decision.Log, scope tally.Scope) *quota.Service {
	if s.QuotaWindow.Duration == 0 {
		return nil
	}
	return quota.New(quota.Config{Self: s.VM, Zone: s.Zone, Region: s.Region, Boot: time.Now().UnixMilli(),
		Bounds:  quota.Bounds{Window: s.QuotaWindow.Duration, Overage: s.QuotaOverage, Slack: s.QuotaSlack},
		ViewAge: age.age, Now: time.Now}, peers, log, scope)
}

func newMeter() *utilization.Meter { return &utilization.Meter{} }

func newAdmission(meter *utilization.Meter, log *decision.Log) *admission.Controller {
	return admission.New(admission.Config{Now: time.Now, Delay: meter.Delay, Changed: func(s admission.Shortage) {
		log.Info("room", "resource", s.Resource, "short", s.Short, "pressure", s.Pressure, "per_second", s.PerSecond, "waiting", s.Waiting)
	}})
}

func newDispatcher(s Settings, pool *direct.Pool, sender exchange.Sender, active *activeRouting, retryBudget *budget.Budget, detector *crashes.Detector,
	admission *admission.Controller, age *viewAge, quotas *quota.Service, log *decision.Log, scope tally.Scope) *gather.Dispatcher {
	revokeWithin := s.RevokeWithin.Duration
	if !s.RevokeFailClosed {
		revokeWithin = 0
	}
	return gather.New(gather.Deps{
		Config: gather.Config{AnswerMargin: s.AnswerMargin.Duration, OpenMargin: s.OpenMargin.Duration, RetryShare: s.RetryShare * retryFactor,
			RetryAfterNoConfig: retryAfterNoConfig, RetryAfterBusy: retryAfterBusy, SampleEvery: sampleEvery, RevokeWithin: revokeWithin},
		Pool: pool, Sender: sender, Index: active.index.Load, Configured: active.configured, ViewAge: age.age, RetryBudget: retryBudget, Quota: quotas,
		Crashes: detector, Admission: admission, Log: log, Scope: scope,
	})
}

func newPeers(s Settings, log *decision.Log, scope tally.Scope) (*notice.UDPTransport, error) {
	return notice.Listen(s.PeerListen, log, scope)
}

func newViews(scope tally.Scope) cluster.Views { return notice.NewViews(scope) }

// nodeRetrySlack returns this node's share of the configured slack. The nodes that are advertised to callers divide
// most of it. The rest is for the others, which still get some requests.
func nodeRetrySlack(s Settings, advertised []string, nodes int) float64 {
	slack := s.RetrySlack * retryFactor
	others := nodes - len(advertised)
	if others <= 0 {
		return slack / float64(max(1, len(advertised)))
	}
	if slices.Contains(advertised, s.VM) {
		return slack * advertisedSlackFraction / float64(len(advertised))
	}
	return slack * (1 - advertisedSlackFraction) / float64(others)
}

// peerAddresses returns the addresses on which the nodes other than self listen for their peers.
func peerAddresses(members []registry.Member, self string) *[]string {
	var list []string
	for _, m := range members {
		if m.ID != self && m.PeerAddress != "" {
			list = append(list, m.PeerAddress)
		}
	}
	return &list
}

// rosterParams holds what newRoster needs.
type rosterParams struct {
	fx.In

	Settings    Settings
	Registry    registry.Registry
	Peers       *notice.UDPTransport
	Views       cluster.Views
	Active      *activeRouting
	Pool        *direct.Pool
	Sender      exchange.Sender
	RetryBudget *budget.Budget
	Detector    *crashes.Detector
	Rollouts    *rollout.Controller
	Known       *knownPeers
	Age         *viewAge
	Quota       *quota.Service
	Log         *decision.Log
	Scope       tally.Scope
	Admission   *admission.Controller
	Guard       guard.Guard
}

// newRoster returns this node's membership, the follower of the registry, and the preconnector. They are created
// together because they need each other.
func newRoster(p rosterParams) (*roster.Roster, *follow.Follower, *prepare.Preconnector) {
	s := p.Settings
	self := registry.Member{ID: s.VM, Zone: s.Zone, Region: s.Region, CallerAddress: s.CallerListen, PeerAddress: s.PeerListen,
		Boot: time.Now().UnixMilli(), Capacity: s.capacity()}
	var nodes *roster.Roster
	preconnector := prepare.New(p.Pool, p.Sender, func() bool { return nodes.Ready() && slices.Contains(nodes.Advertised(), s.VM) })
	follower := follow.New(p.Registry, p.Peers, p.Views, follow.Config{Self: s.VM, Address: s.PeerListen, Capacity: self.Capacity,
		OutageGrace: reregisterTime, RestoreGrace: restoreTime, Interval: s.readInterval(), Guard: p.Guard,
	}, p.Log, p.Scope, func(state registry.State) {
		nodes.Update(state.Members, leafConnections(state.Table))
		p.apply(state, nodes.Advertised())
		preconnector.Changed()
	})
	p.Age.Store(follower)
	nodes = roster.New(p.Registry, p.Peers, roster.Config{LeaseTTL: leaseTTL, RenewInterval: renewInterval,
		ResolveTTL: min(resolveTTL, s.ResolveTTLMax.Duration), Guard: p.Guard}, self, p.Active.known, p.Log)
	return nodes, follower, preconnector
}

// capacity is the processor time that this node may use, in cores.
func (s Settings) capacity() float64 { return s.ProcessorShare * s.ProcessorSpeed }

// leafConnections returns the smallest number of connections that a leaf of any service accepts from all nodes together, or
// 0 if no service states a limit.
func leafConnections(t *route.Table) int {
	smallest := 0
	if t == nil {
		return smallest
	}
	for _, s := range t.Services {
		if s.MaxConnections > 0 && (smallest == 0 || s.MaxConnections < smallest) {
			smallest = s.MaxConnections
		}
	}
	return smallest
}

// sharers returns the number of nodes that callers are sent to, or 0 if this node is not among them.
func sharers(self string, advertised []string) int {
	if !slices.Contains(advertised, self) {
		return 0
	}
	return len(advertised)
}

// apply puts a new state of the registry into force. advertised holds the names of the nodes that callers are sent to.
func (p rosterParams) apply(state registry.State, advertised []string) {
	p.Known.Store(peerAddresses(state.Members, p.Settings.VM))
	p.Detector.SetQuarantines(state.Quarantines, state.Epoch)
	p.Rollouts.Update(rollout.View{State: state, Advertised: advertised, Rank: follow.Rank(state.Members, registry.Member{ID: p.Settings.VM, Capacity: p.Settings.capacity()})})
	p.Admission.SetNodes(sharers(p.Settings.VM, advertised))
	p.RetryBudget.SetMax(nodeRetrySlack(p.Settings, advertised, len(state.Members)))
	if state.Table == nil {
		return
	}
	gone := p.Pool.Update(direct.View{Leaves: state.Leaves, Services: state.Table.Services, EvacuatedZones: state.Evacuated,
		Advertised: advertised, Nodes: len(state.Members)})
	if p.Quota != nil {
		p.Quota.Update(quota.View{Members: state.Members, Advertised: advertised, Organisations: state.Table.Organisations})
	}
	if old := p.Active.index.Load(); old == nil || old.Table() != state.Table {
		p.Active.set(routing.NewIndex(state.Table))
	}
	for _, l := range gone {
		p.Sender.Forget(l)
		p.Detector.LeafDown(l)
	}
}
