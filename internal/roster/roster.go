// Package roster keeps this node's entry in the registry and tells callers which nodes to use.
package roster

import (
	"context"
	"errors"
	"sync"
	"time"

	"cyclamenstream/api/registry"
	"cyclamenstream/internal/decision"
)

// Config holds the times of the roster.
type Config struct {
	// LeaseTTL is how long this node's entry outlives its last renewal; it is renewed each RenewInterval.
	LeaseTTL, RenewInterval time.Duration
	// ResolveTTL is how long callers may keep an answer.
	ResolveTTL time.Duration
}

const (
	// callTimeout bounds a call to the registry.
	callTimeout = time.Second
	// startPoll is how often a starting node looks whether it can serve.
	startPoll = 20 * time.Millisecond
	// renewRetry is the pause after a failed call; it doubles up to the renewal interval.
	renewRetry = 500 * time.Millisecond
	// publishSettle is how long a new entry may take to show up in this node's view.
	publishSettle = 3 * time.Second
)

// Roster is this node's membership. It implements the directory's port.
type Roster struct {
	registry registry.Registry
	config   Config
	self     registry.Member
	serving  func() bool
	log      *decision.Log

	mu        sync.Mutex
	members   []registry.Member
	lease     uint64
	published time.Time
	// missing says that the registry's list lacks this node's entry.
	missing  bool
	stopping bool
}

// New returns the roster of a node; serving reports whether it can answer requests.
func New(r registry.Registry, c Config, self registry.Member, serving func() bool, log *decision.Log) *Roster {
	return &Roster{registry: r, config: c, self: self, serving: serving, log: log}
}

// Run keeps the entry until ctx ends. The entry is written as soon as this node can serve.
func (r *Roster) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	retry := renewRetry
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		pause := r.config.RenewInterval
		switch {
		case r.isStopping():
		case !r.serving():
			pause = startPoll
		default:
			err := r.keep(ctx)
			if err == nil {
				retry = renewRetry
				break
			}
			if ctx.Err() == nil {
				r.log.Warn("membership", "outcome", "not renewed", "error", err.Error())
			}
			pause, retry = min(retry, pause), 2*min(retry, pause)
		}
		timer.Reset(pause)
	}
}

// keep renews the lease, or writes the entry under a new one.
func (r *Roster) keep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.mu.Lock()
	lease, missing := r.lease, r.missing
	r.mu.Unlock()
	if lease != 0 {
		err := r.registry.Renew(ctx, lease)
		if err == nil && !missing {
			return nil
		}
		if err != nil && !errors.Is(err, registry.ErrNoLease) {
			return err
		}
		r.log.Info("membership", "outcome", "entry lost", "lease", lease, "lease_ended", err != nil)
	}
	return r.publish(ctx)
}

func (r *Roster) publish(ctx context.Context) error {
	lease, err := r.registry.Grant(ctx, r.config.LeaseTTL)
	if err != nil {
		return err
	}
	if err := r.registry.Publish(ctx, lease, r.self); err != nil {
		return err
	}
	r.mu.Lock()
	r.lease, r.published, r.missing = lease, time.Now(), false
	r.mu.Unlock()
	r.log.Info("membership", "outcome", "published", "lease", lease)
	return nil
}

// Update takes the registry's list of nodes.
func (r *Roster) Update(members []registry.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = members
	if r.lease == 0 || time.Since(r.published) < publishSettle {
		return
	}
	r.missing = true
	for _, m := range members {
		if m.ID == r.self.ID && m.Boot == r.self.Boot {
			r.missing = false
		}
	}
}

// Stop takes this node out of the directory.
func (r *Roster) Stop(ctx context.Context) error {
	r.mu.Lock()
	lease := r.lease
	r.stopping, r.lease = true, 0
	r.mu.Unlock()
	if lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.registry.Revoke(ctx, lease); err != nil && !errors.Is(err, registry.ErrNoLease) {
		return err
	}
	return nil
}

func (r *Roster) isStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// Ready reports whether callers may be sent to this node.
func (r *Roster) Ready() bool { return r.serving() && !r.isStopping() }
