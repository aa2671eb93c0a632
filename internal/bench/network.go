package bench

import (
	"context"
	"sync"
	"time"

	"cyclamenstream/api/backend"
	"cyclamenstream/internal/standin/leaf"
)

// oneWay returns the one-way latency between two zones.
func (e *Experiment) oneWay(a, b string) time.Duration {
	if a == b {
		return 0
	}
	region := map[string]string{}
	for _, z := range e.Zones {
		region[z.Name] = z.Region
	}
	if region[a] == region[b] {
		return time.Duration(e.Links.BetweenZones)
	}
	return time.Duration(e.Links.BetweenRegions)
}

// pause waits for d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// server is a stand-in leaf that limits how many calls it executes at once. Further calls wait inside it. It counts the
// calls that have reached it.
type server struct {
	*leaf.Leaf
	id, zone, service string
	slots, coldSlots  int
	executing         chan struct{} // holds one element for each executing call

	mu       sync.Mutex
	inFlight int
	counts   serverCounts
}

// serverCounts counts calls as the leaf sees them: in total, the highest number at once, and those above its limit.
type serverCounts struct {
	calls, highestCold, highestWarm, overLimit int
}

// arrive counts a call that has reached the leaf.
func (s *server) arrive() {
	cold := s.Cold()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.counts.calls++
	highest, limit := &s.counts.highestWarm, s.slots
	if cold {
		highest, limit = &s.counts.highestCold, s.coldSlots
	}
	*highest = max(*highest, s.inFlight)
	if s.inFlight > limit {
		s.counts.overLimit++
	}
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// link is a backend.Dialer that connects a zone to the leaves.
type link struct {
	cluster *cluster
	zone    string
}

// Dial implements backend.Dialer.
func (l link) Dial(ctx context.Context, address string) (backend.Session, error) {
	target := l.cluster.servers[address]
	oneWay := l.cluster.experiment.oneWay(l.zone, target.zone)
	if !pause(ctx, 2*oneWay) {
		return nil, ctx.Err()
	}
	session, err := l.cluster.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &linkSession{Session: session, server: target, oneWay: oneWay}, nil
}

// linkSession delays the messages of a session by the latency of the link, including cancellations.
type linkSession struct {
	backend.Session
	server *server
	oneWay time.Duration
}

// Status implements backend.Session.
func (s *linkSession) Status(ctx context.Context) (backend.Status, error) {
	if !pause(ctx, s.oneWay) {
		return backend.Status{}, ctx.Err()
	}
	status, err := s.Session.Status(ctx)
	if err == nil && !pause(ctx, s.oneWay) {
		err = ctx.Err()
	}
	return status, err
}

// Do implements backend.Session. If the session is lost while a message is in flight, the call or its reply is lost.
func (s *linkSession) Do(ctx context.Context, call backend.Call) (backend.Reply, error) {
	if err := ctx.Err(); err != nil {
		return backend.Reply{}, err
	}
	call.Attempt.Begin()
	remote, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(s.oneWay, stop) })()
	if !s.waitOneWay() {
		return backend.Reply{}, backend.ErrSessionLost
	}
	reply, err := s.run(remote, call)
	if !s.waitOneWay() {
		return backend.Reply{}, backend.ErrSessionLost
	}
	return reply, err
}

// run executes the call on the leaf.
func (s *linkSession) run(ctx context.Context, call backend.Call) (backend.Reply, error) {
	s.server.arrive()
	defer s.server.end()
	timer := time.NewTimer(call.Timeout)
	defer timer.Stop()
	select {
	case s.server.executing <- struct{}{}:
		defer func() { <-s.server.executing }()
	case <-ctx.Done():
		return backend.Reply{}, backend.ErrStopped
	case <-timer.C:
		return backend.Reply{}, backend.ErrStopped
	case <-s.Done():
		return backend.Reply{}, backend.ErrSessionLost
	}
	if ctx.Err() != nil {
		return backend.Reply{}, backend.ErrStopped
	}
	return s.Session.Do(ctx, call)
}

// waitOneWay waits for the latency of one message and reports whether the session still exists.
func (s *linkSession) waitOneWay() bool {
	if s.oneWay > 0 {
		timer := time.NewTimer(s.oneWay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-s.Done():
			return false
		}
	}
	select {
	case <-s.Done():
		return false
	default:
		return true
	}
}
