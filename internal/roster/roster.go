// Package roster maintains this node's entry in the registry and selects the nodes that callers use.
package roster

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/guard"
)

// Config holds the timing of the roster.
type Config struct {
	// LeaseTTL is how long this node's entry outlives its last renewal. The lease is renewed every RenewInterval.
	LeaseTTL, RenewInterval time.Duration
	// ResolveTTL is how long callers may keep an answer.
	ResolveTTL time.Duration
	// Guard restarts the registrar after an unexpected error.
	Guard guard.Guard
}

const (
	// callTimeout bounds a call to the registry.
	callTimeout = time.Second
	// startPollInterval is the time between the checks whether a starting node can serve.
	startPollInterval = 20 * time.Millisecond
	// renewRetryDelay is the delay after the first failed call. It doubles up to the renewal interval.
	renewRetryDelay = 500 * time.Millisecond
	// publishGrace is how long a new entry may take to appear in this node's view.
	publishGrace = 3 * time.Second
)

// Roster maintains this node's membership. It answers the callers' requests for addresses through Resolve.
type Roster struct {
	registry registry.Registry
	// registrations is nil if this node neither registers with others nor they with it.
	registrations cluster.Registrations
	config        Config
	self          registry.Member
	serving       func() bool
	log           *decision.Log

	// changed receives a signal when the entry has to be written again.
	changed chan struct{}

	mu      sync.Mutex
	members []registry.Member
	// leafConnections is as in placement.
	leafConnections int
	// overloaded is set while the processor of this node is overloaded. self.Overloaded is what the entry says.
	overloaded bool
	lease      uint64
	// renewed is when the latest call began that has granted or renewed the lease.
	renewed   time.Time
	published time.Time
	// revision is the revision of this node's entry under the lease.
	revision uint64
	// registration is this node's registration with another one.
	registration registration
	// missing is set if the registry's list of nodes lacks this node's entry. outdated is set if the entry differs from self.
	missing  bool
	outdated bool
	stopping bool
}

// New returns the roster of a node. serving reports whether the node can serve requests.
func New(r registry.Registry, registrations cluster.Registrations, c Config, self registry.Member, serving func() bool, log *decision.Log) *Roster {
	return &Roster{registry: r, registrations: registrations, config: c, self: self, serving: serving, log: log, changed: make(chan struct{}, 1),
		registration: registration{suspects: map[string]time.Time{}}}
}

// Run maintains the entry, and those of the nodes that register with this one, until ctx ends. It writes the entry as soon as
// this node can serve.
func (r *Roster) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	retryDelay := renewRetryDelay
	var registered <-chan cluster.Registered
	if r.registrations != nil {
		registered = r.registrations.Registered()
		var running sync.WaitGroup
		defer running.Wait()
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel() // also after a panic
		g := newRegistrar(r)
		running.Go(func() { r.config.Guard.Loop(ctx, "registrar", g.run) })
	}
	for {
		select {
		case <-timer.C:
		case <-r.changed:
		case answer := <-registered:
			r.handleRegistered(answer)
			continue
		case <-ctx.Done():
			return
		}
		delay := r.config.RenewInterval
		switch {
		case r.isStopping():
		case !r.serving():
			delay = startPollInterval
		default:
			registering, leased := r.register()
			if registering {
				delay = registrationInterval
			}
			if registering && !leased {
				break
			}
			err := r.renewOrPublish(ctx)
			if err == nil {
				retryDelay = renewRetryDelay
				break
			}
			if ctx.Err() == nil {
				r.log.Warn("membership", "outcome", "not renewed", "error", err.Error())
			}
			delay, retryDelay = min(retryDelay, delay), 2*min(retryDelay, delay)
		}
		timer.Reset(delay)
	}
}

// renewOrPublish renews the lease. If there is no lease or no entry, it writes the entry under a new lease. It does
// nothing once this node is stopping.
func (r *Roster) renewOrPublish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.mu.Lock()
	lease, missing, stopping := r.lease, r.missing, r.stopping
	outdated := r.updateSelf()
	self := r.self
	r.mu.Unlock()
	if stopping {
		return nil
	}
	if lease != 0 {
		began := time.Now()
		err := r.registry.Renew(ctx, lease)
		if err == nil {
			r.recordRenewal(lease, began)
		}
		if err == nil && !missing && outdated {
			err = r.publishAgain(ctx, lease, self)
		}
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

// publish writes the entry under a new lease. If this node begins to stop meanwhile, it ends the lease again.
func (r *Roster) publish(ctx context.Context) error {
	began := time.Now()
	lease, err := r.registry.Grant(ctx, r.config.LeaseTTL)
	if err != nil {
		return err
	}
	r.mu.Lock()
	stopping, self := r.stopping, r.self
	r.mu.Unlock()
	var revision uint64
	if !stopping {
		revision, err = r.registry.Publish(ctx, lease, self)
	}
	if !r.adopt(lease, revision, began, err) {
		return errors.Join(err, r.revoke(context.WithoutCancel(ctx), lease))
	}
	if err != nil {
		return err
	}
	r.log.Info("membership", "outcome", "published", "lease", lease)
	return nil
}

// publishAgain writes the changed entry under the lease that it has.
func (r *Roster) publishAgain(ctx context.Context, lease uint64, self registry.Member) error {
	revision, err := r.registry.Publish(ctx, lease, self)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outdated = err != nil; err == nil {
		r.revision = revision
	}
	return err
}

func (r *Roster) recordRenewal(lease uint64, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == lease {
		r.renewed = began
	}
}

// adopt records the lease under which the entry was written, unless publishErr is set. began is when the lease was requested.
// It returns false if this node is stopping and the lease must be ended.
func (r *Roster) adopt(lease, revision uint64, began time.Time, publishErr error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return false
	}
	if publishErr == nil {
		r.lease, r.revision, r.renewed, r.published, r.missing, r.outdated = lease, revision, began, time.Now(), false, false
	}
	return true
}

// SetOverloaded sets whether the processor of this node is overloaded.
func (r *Roster) SetOverloaded(overloaded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overloaded = overloaded
	if r.lease != 0 {
		r.signalChange()
	}
}

func (r *Roster) signalChange() {
	select {
	case r.changed <- struct{}{}:
	default: // the signal before has not been handled yet
	}
}

// updateSelf updates what this node says about itself, and reports whether the entry says something else. The other nodes
// need to know of an overload only while callers are sent to this node.
func (r *Roster) updateSelf() bool {
	if overloaded := r.overloaded && slices.Contains(r.advertised(), r.self.ID); overloaded != r.self.Overloaded {
		r.self.Overloaded, r.outdated = overloaded, true
	}
	return r.outdated
}

// Update sets the list of nodes that the registry holds, and notes whether this node's entry is missing from it.
// leafConnections is the number of connections that each leaf accepts from all nodes together; 0 means no limit.
func (r *Roster) Update(members []registry.Member, leafConnections int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members, r.leafConnections = members, leafConnections
	if r.lease == 0 || time.Since(r.published) < publishGrace {
		return
	}
	r.missing = true
	for _, m := range members {
		if m.ID == r.self.ID && m.Boot == r.self.Boot {
			r.missing = false
		}
	}
}

// Stop removes this node's entry from the registry and its address from answers to callers. The lease is left to end by
// itself, since the entries of nodes that register with this one exist under it until these have found another registrar.
func (r *Roster) Stop(ctx context.Context) error {
	r.mu.Lock()
	lease, revision := r.lease, r.revision
	r.stopping, r.lease = true, 0
	r.mu.Unlock()
	r.deregister()
	if lease == 0 {
		return nil
	}
	if r.registrations != nil {
		removeCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := r.registry.Remove(removeCtx, r.self.ID, revision); err == nil {
			return nil
		}
	}
	return r.revoke(ctx, lease)
}

func (r *Roster) revoke(ctx context.Context, lease uint64) error {
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

// Ready reports whether callers may be directed to this node.
func (r *Roster) Ready() bool { return r.serving() && !r.isStopping() }
