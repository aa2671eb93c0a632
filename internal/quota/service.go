package quota

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/cluster"
	"cyclamenstream/internal/decision"
)

const (
	// activeInterval is the time between two ticks while requests wait or grants may expire, idleInterval otherwise.
	activeInterval = 10 * time.Millisecond
	idleInterval   = 500 * time.Millisecond
	// logInterval is the shortest time between two log lines about one organisation.
	logInterval = 5 * time.Second
)

// Config holds the identity of this node and its settings.
type Config struct {
	// Self is the name of this node's VM, and Boot the Unix time of its start in milliseconds.
	Self, Zone, Region string
	Boot               int64
	Bounds             Bounds
	// ViewAge returns how long ago this node's view of the registry was known to be the newest.
	ViewAge func() time.Duration
	Now     func() time.Time
}

// Service admits the requests of this node, and grants those of others for the organisations for which it is an allocator. It is safe for
// concurrent use.
type Service struct {
	transport cluster.Quotas
	meters    meters
	log       *decision.Log
	wake      chan struct{}

	mu    sync.Mutex
	clock clock
	node  *node
	logs  map[string]*refusalLog
}

// New returns a service.
func New(c Config, transport cluster.Quotas, log *decision.Log, scope tally.Scope) *Service {
	m := newMeters(scope)
	return &Service{transport: transport, meters: m, log: log, wake: make(chan struct{}, 1), clock: newClock(c.Now), node: newNode(c, transport, m),
		logs: map[string]*refusalLog{}}
}

// Update adopts a view of the nodes and organisations.
func (s *Service) Update(v View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.update(v, s.clock.now())
	for organisation := range s.logs {
		if s.node.accounts[organisation] == nil {
			delete(s.logs, organisation)
		}
	}
}

// Admit decides on a request of a limited organisation. It waits for the decision for about the given time at most, or
// until ctx ends.
func (s *Service) Admit(ctx context.Context, organisation string, wait time.Duration) Decision {
	decided := make(chan Decision, 1)
	d, done := s.admit(organisation, wait, func(d Decision) { decided <- d })
	if !done {
		d = s.await(ctx, decided)
	}
	s.record(organisation, d)
	return d
}

func (s *Service) admit(organisation string, wait time.Duration, decide func(Decision)) (Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, done := s.node.admit(organisation, wait, s.clock.now(), decide)
	s.signal()
	return d, done
}

// await returns the decision. The wait has a deadline of its own, so a caller that leaves only makes it end sooner.
func (s *Service) await(ctx context.Context, decided chan Decision) Decision {
	select {
	case d := <-decided:
		return d
	case <-ctx.Done():
	}
	go func() {
		if d := <-decided; d.Ticket != nil {
			s.Return(d.Ticket)
		}
	}()
	return Decision{Outcome: Unanswered, RetryAfter: unansweredDelay}
}

// Renew is called before the first send of a request. The request stays admitted by its ticket unless it has waited too long to
// be sent. It is then admitted again as by Admit, and the ticket given back.
func (s *Service) Renew(ctx context.Context, t *Ticket, wait time.Duration) Decision {
	decided := make(chan Decision, 1)
	d, done := s.renew(t, wait, func(d Decision) { decided <- d })
	if !done {
		d = s.await(ctx, decided)
	}
	return d
}

func (s *Service) renew(t *Ticket, wait time.Duration, decide func(Decision)) (Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.clock.now()
	if at.elapsed-t.admittedAt <= maxSendDelay {
		return Decision{Ticket: t}, true
	}
	s.node.giveBack(t, at)
	d, done := s.node.admit(t.account.organisation, wait, at, decide)
	s.signal()
	return d, done
}

// Return gives back the ticket of a request that has not run and never will.
func (s *Service) Return(t *Ticket) {
	s.meters.returned.Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.giveBack(t, s.clock.now())
	s.signal()
}

// signal makes Run look at the accounts soon.
func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run handles messages and waits until ctx ends.
func (s *Service) Run(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	active := false
	for {
		select {
		case r := <-s.transport.QuotaReports():
			s.handle(func(at instant) { s.node.handleReport(r, at) })
		case g := <-s.transport.QuotaGrants():
			s.handle(func(at instant) { s.node.handleGrant(g, at) })
		case <-s.wake:
			if !active {
				active = true
				timer.Reset(activeInterval)
			}
		case <-timer.C:
			s.handle(func(at instant) { active = s.node.tick(at) })
			interval := idleInterval
			if active {
				interval = activeInterval
			}
			timer.Reset(interval)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) handle(step func(instant)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	step(s.clock.now())
}
