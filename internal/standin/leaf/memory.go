package leaf

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cyclamenstream/api/backend"
)

// Network is a backend.Dialer for leaves in the same process. It is safe for concurrent use.
type Network struct {
	mu     sync.Mutex
	leaves map[string]*Leaf
	conns  map[string]int
}

// NewNetwork returns an empty network.
func NewNetwork() *Network { return &Network{leaves: map[string]*Leaf{}, conns: map[string]int{}} }

// Add makes a leaf reachable at address.
func (n *Network) Add(address string, l *Leaf) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaves[address] = l
}

// Dial implements backend.Dialer.
func (n *Network) Dial(ctx context.Context, address string) (backend.Session, error) {
	n.mu.Lock()
	l := n.leaves[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("no leaf at %s", address)
	}
	if err := sleep(ctx, time.Duration(l.Config().ConnectionCost)); err != nil {
		return nil, err
	}
	if _, err := l.Status(); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if limit := l.Config().Connections; limit > 0 && n.conns[address] >= limit {
		return nil, fmt.Errorf("leaf %s accepts at most %d connections", address, limit)
	}
	n.conns[address]++
	s := &memorySession{leaf: l, crashed: l.crashSignal(), done: make(chan struct{}), release: func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[address]--
	}}
	go s.closeOnCrash()
	return s, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Leaf) crashSignal() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashed
}

type memorySession struct {
	leaf    *Leaf
	crashed <-chan struct{}
	done    chan struct{}
	once    sync.Once
	release func()
}

func (s *memorySession) closeOnCrash() {
	select {
	case <-s.crashed:
		_ = s.Close()
	case <-s.done:
	}
}

// Done implements backend.Session.
func (s *memorySession) Done() <-chan struct{} { return s.done }

// Close implements backend.Session.
func (s *memorySession) Close() error {
	s.once.Do(func() {
		close(s.done)
		s.release()
	})
	return nil
}

// Status implements backend.Session.
func (s *memorySession) Status(ctx context.Context) (backend.Status, error) {
	if ctx.Err() != nil {
		return backend.Status{}, ctx.Err()
	}
	if s.lost() {
		return backend.Status{}, backend.ErrSessionLost
	}
	return s.leaf.Status()
}

func (s *memorySession) lost() bool {
	select {
	case <-s.done:
		return true
	case <-s.crashed:
		return true
	default:
		return false
	}
}

type runResult struct {
	answer Answer
	err    error
}

// Do implements backend.Session.
func (s *memorySession) Do(ctx context.Context, call backend.Call) (backend.Reply, error) {
	timeout := call.Timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	switch {
	case call.Timeout <= 0:
		return backend.Reply{}, fmt.Errorf("timeout %v is not positive", call.Timeout)
	case ctx.Err() != nil:
		return backend.Reply{}, ctx.Err()
	case timeout <= 0:
		return backend.Reply{}, context.DeadlineExceeded
	case s.lost():
		return backend.Reply{}, backend.ErrSessionLost
	}
	call.Attempt.Begin()
	answered := make(chan runResult, 1)
	go func() {
		a, err := s.leaf.Run(Request{ID: call.ID, Service: call.Service, Snapshot: call.Snapshot, Shard: call.Shard,
			Payload: call.Payload, Timeout: timeout})
		answered <- runResult{a, err}
	}()
	end := time.NewTimer(timeout + backend.EndGrace)
	defer end.Stop()
	defer context.AfterFunc(ctx, func() { _ = s.leaf.Cancel(context.Background(), call.ID) })()
	select {
	case r := <-answered:
		if r.err != nil {
			return backend.Reply{}, fmt.Errorf("%w: %w", backend.ErrSessionLost, r.err)
		}
		return s.replyTo(call, r.answer)
	case <-s.done:
	case <-end.C:
	}
	return backend.Reply{}, backend.ErrSessionLost
}

func (s *memorySession) replyTo(call backend.Call, a Answer) (backend.Reply, error) {
	if a.ID != call.ID || (a.Err == nil && (a.Snapshot != call.Snapshot || a.Shard != call.Shard)) {
		_ = s.leaf.Cancel(context.Background(), call.ID)
		return backend.Reply{}, backend.ErrMismatch
	}
	reply := backend.Reply{ID: a.ID, Snapshot: a.Snapshot, Shard: a.Shard, BootID: a.BootID}
	switch wireOutcome(a.Err) {
	case wireOutcome(nil):
		call.Attempt.Answered()
		reply.Data, reply.Covered = a.Data, a.Covered
	case wireOutcome(backend.ErrRefused), wireOutcome(backend.ErrSnapshotGone):
		call.Attempt.Refused()
	}
	return reply, a.Err
}
