// Package leafset maintains the sessions to the leaves of the services that this node owns and grants their slots. It
// implements leaf.Pool and cluster.HandoverSource.
package leafset

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/cluster"
	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/leaf"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/slots"
)

const (
	// crashBuffer bounds the number of crash reports that wait for a reader.
	crashBuffer = 256
	// maxDials bounds the number of concurrent dials, so that a node that takes over many services does not spend its
	// time on handshakes.
	maxDials = 32
	// reconcileInterval bounds the delay until a change with a missed notification takes effect, and the delay of the
	// gauges.
	reconcileInterval = time.Second
)

// Deps holds the dependencies of a Set.
type Deps struct {
	Dialer     backend.Dialer
	Membership cluster.Membership
	Ownership  cluster.Ownership
	Config     config.Source
	Recorder   event.Recorder
	Scope      tally.Scope
}

// Set grants the slots of the owned services' leaves. It is safe for concurrent use.
type Set struct {
	deps      Deps
	metrics   counters
	dialLimit chan struct{}
	wakeUp    chan struct{}
	crashMu   sync.Mutex // makes dropping the oldest report and adding a new one atomic
	crashes   chan leaf.Crash

	mu       sync.RWMutex
	services map[string]*service
	stopped  bool

	admission, drain       context.Context // drain bounds the wait for running calls after admission has ended
	endAdmission, endDrain context.CancelFunc
	workers                sync.WaitGroup
}

type counters struct {
	sends, answers, refused, lost, mismatched, checkFailed, crashes, crashesDropped tally.Counter
}

var (
	_ leaf.Pool              = (*Set)(nil)
	_ cluster.HandoverSource = (*Set)(nil)
)

// New returns a Set that does nothing before Start.
func New(deps Deps) *Set {
	scope := deps.Scope.SubScope("leafset")
	s := &Set{
		deps: deps,
		metrics: counters{
			sends:          scope.Counter("sends"),
			answers:        scope.Counter("answers"),
			refused:        scope.Counter("refused"),
			lost:           scope.Counter("calls_lost"),
			mismatched:     scope.Counter("answers_mismatched"),
			checkFailed:    scope.Counter("checks_failed"),
			crashes:        scope.Counter("crashes"),
			crashesDropped: scope.Counter("crashes_dropped"),
		},
		dialLimit: make(chan struct{}, maxDials),
		wakeUp:    make(chan struct{}, 1),
		crashes:   make(chan leaf.Crash, crashBuffer),
		services:  map[string]*service{},
	}
	s.admission, s.endAdmission = context.WithCancel(context.Background())
	s.drain, s.endDrain = context.WithCancel(context.Background())
	return s
}

// Start begins to maintain the sessions of owned services. It returns at once.
func (s *Set) Start(context.Context) error {
	s.workers.Go(s.run)
	return nil
}

// Stop ends admission, waits for the running calls to end and closes the sessions. If ctx ends first, Stop closes the
// sessions at once and returns ctx's error.
func (s *Set) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	services := make([]*service, 0, len(s.services))
	for _, svc := range s.services {
		services = append(services, svc)
	}
	s.mu.Unlock()
	s.endAdmission()
	for _, svc := range services {
		svc.close()
	}
	done := make(chan struct{})
	go func() { s.workers.Wait(); close(done) }()
	defer s.endDrain()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.endDrain()
		<-done
		return ctx.Err()
	}
}

func (s *Set) run() {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		membersChanged, configChanged := s.deps.Membership.Changed(), s.deps.Config.Changed()
		owned, ownershipChanged := s.deps.Ownership.Owned()
		s.reconcile(owned)
		select {
		case <-s.admission.Done():
			return
		case <-membersChanged:
		case <-configChanged:
		case <-ownershipChanged:
		case <-s.wakeUp:
		case <-ticker.C:
		}
	}
}

func limitsOf(s config.Service) slots.Limits {
	return slots.Limits{Slots: s.Slots, ColdSlots: s.ColdSlots, ColdTime: s.EffectiveColdTime()}
}

// reconcile opens and closes services and their sessions according to ownership, configuration and the list of leaves.
func (s *Set) reconcile(owned []cluster.OwnedService) {
	document := s.deps.Config.Current()
	wanted := map[string]bool{}
	for _, o := range owned {
		if document == nil {
			break
		}
		if cfg, ok := document.Services[o.Service]; ok {
			wanted[o.Service] = true
			if svc := s.ensureService(o.Service); svc != nil {
				svc.update(o, limitsOf(cfg), s.deps.Membership.Leaves(o.Service))
			}
		}
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for name, svc := range s.services {
		if !wanted[name] {
			svc.closeUnowned()
		}
		svc.updateGauges()
	}
}

// ensureService returns the state of a service and creates it if needed. The state is never removed, because calls of
// an earlier period of ownership may still run. ensureService returns nil after Stop.
func (s *Set) ensureService(name string) *service {
	zone := s.deps.Membership.Self().Zone // called without the lock, like all other components
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	svc := s.services[name]
	if svc == nil {
		svc = newService(s, name, zone)
		s.services[name] = svc
	}
	return svc
}

func (s *Set) find(name string) *service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[name]
}

func (s *Set) wake() {
	select {
	case s.wakeUp <- struct{}{}:
	default:
	}
}

// Snapshots returns the known snapshots of an owned service, newest first. The result must not be modified.
func (s *Set) Snapshots(name string) []leaf.Snapshot {
	if svc := s.find(name); svc != nil {
		return svc.view.Load().snapshots
	}
	return nil
}

// Crashes returns the channel that reports lost leaves once they are connected again.
func (s *Set) Crashes() <-chan leaf.Crash { return s.crashes }

func (s *Set) reportCrash(crash leaf.Crash) {
	if !crash.SameBoot {
		s.metrics.crashes.Inc(1)
	} else if len(crash.Running) == 0 {
		return
	}
	s.crashMu.Lock()
	defer s.crashMu.Unlock()
	for {
		select {
		case s.crashes <- crash:
			return
		default:
		}
		select {
		case <-s.crashes:
			s.metrics.crashesDropped.Inc(1)
		default:
		}
	}
}

// Release stops new sends to the service's leaves and returns the state of its slots. The service gets no work until
// this node takes ownership again.
func (s *Set) Release(name string) cluster.Handover {
	svc := s.find(name)
	if svc == nil {
		return cluster.Handover{Service: name}
	}
	return svc.close()
}

type acquireResult struct {
	grant *slots.Grant
	err   error
}

// Acquire waits for a slot on a leaf that holds the shard at the snapshot. Its errors have verdict "not run". The
// code is CodeNoOwner, CodeSnapshotGone if no leaf holds the snapshot, CodeNoSnapshot if no connected leaf holds the
// shard, CodeOverloaded, or CodeDeadline. It is also CodeDeadline if ctx ends.
func (s *Set) Acquire(ctx context.Context, request leaf.SlotRequest) (leaf.Slot, error) {
	svc := s.find(request.Service)
	if svc == nil {
		return nil, verdict.Refusef(verdict.CodeNoOwner, "this node does not own service %q", request.Service)
	}
	if err := s.deps.Ownership.CheckOwned(request.Service); err != nil {
		return nil, err
	}
	ready := make(chan acquireResult, 1)
	grant, waiter, err := svc.slots.Acquire(slots.Request{
		Replicas:  func() []leaf.Replica { return svc.view.Load().replicas(request.Snapshot, request.Shard) },
		Exclude:   request.Exclude,
		Priority:  request.Priority,
		Deadline:  request.Deadline,
		Immediate: request.Immediate,
		Alone:     request.Alone,
	}, func(g *slots.Grant, err error) { ready <- acquireResult{g, err} })
	if waiter != nil {
		grant, err = svc.wait(ctx, waiter, ready)
	}
	if err != nil {
		return nil, svc.acquireError(request, err)
	}
	return &slot{service: svc, grant: grant, conn: grant.Session().(*conn)}, nil
}

func (svc *service) wait(ctx context.Context, w *slots.Waiter, ready <-chan acquireResult) (*slots.Grant, error) {
	select {
	case r := <-ready:
		return r.grant, r.err
	case <-ctx.Done():
	}
	if !svc.slots.Cancel(w) {
		if r := <-ready; r.grant != nil {
			r.grant.Finish(slots.NotSent, 0, "")
		}
	}
	return nil, ctx.Err()
}

func (svc *service) acquireError(request leaf.SlotRequest, err error) error {
	code := verdict.CodeOverloaded
	switch {
	case errors.Is(err, slots.ErrClosed):
		code = verdict.CodeNoOwner
	case errors.Is(err, slots.ErrNoReplica):
		code = verdict.CodeNoSnapshot
		if !svc.view.Load().has(request.Snapshot) {
			code = verdict.CodeSnapshotGone
		}
	case errors.Is(err, slots.ErrDeadline), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		code = verdict.CodeDeadline
	}
	return verdict.Refusef(code, "service %q, snapshot %q, shard %d: %v", request.Service, request.Snapshot, request.Shard, err)
}
