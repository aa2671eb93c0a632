package rollout

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/guard"
)

const (
	tickInterval = 100 * time.Millisecond
	// judgeInterval is the time between two judgements of a version.
	judgeInterval = 300 * time.Millisecond
	// maxPause is how long the loop may be paused. Counts that queued up meanwhile say nothing about the present, and for
	// settleTime the node only listens.
	maxPause   = 700 * time.Millisecond
	settleTime = time.Second
)

// Params holds the identity of this node and what a Controller depends on.
type Params struct {
	Config
	// Self is the name of this node's VM, Boot the start of its process.
	Self     string
	Boot     int64
	Registry registry.Rollouts
	Peers    cluster.Rollouts
	// Addresses returns the addresses at which the other nodes receive counts.
	Addresses func() []string
	Log       *decision.Log
	Now       func() time.Time
	// Scope receives the metrics.
	Scope tally.Scope
	// Guard keeps an unexpected error while statuses are written from ending the process.
	Guard guard.Guard
}

// View is what the controller needs of the registry's state.
type View struct {
	registry.State
	// Advertised holds the names of the nodes that callers are sent to, which divide the slack.
	Advertised []string
	// Rank is the number of nodes that write statuses before this node does.
	Rank int
}

// Controller runs the rollouts of all services on this node. It is safe for concurrent use. A nil controller ignores
// rollouts.
type Controller struct {
	params   Params
	counters counters
	// policies holds the policies of the services with a rollout. It is replaced and never changed.
	policies atomic.Pointer[map[string]*Policy]

	mu       sync.Mutex
	rollouts map[string]*active
	// versions holds the versions of each service that the latest state lists. It is nil before the first state with leaves.
	versions map[string][]string
	// others is the number of other nodes.
	others, rank int
	// lastTick is when the loop last ran. No new version gets requests before listenUntil.
	lastTick, listenUntil time.Time
	// outgoing holds counts that Run is to send.
	outgoing []cluster.RolloutCounts
}

// active is a rollout with what this node has sent and written about it.
type active struct {
	*Rollout
	outbox
	writer
	judgedAt time.Time
	// late is set if this node has started during the rollout, and so lacks counts of before.
	late bool
}

// New returns a controller without rollouts.
func New(p Params) *Controller {
	c := &Controller{params: p, counters: newCounters(p.Scope), rollouts: map[string]*active{}}
	c.policies.Store(&map[string]*Policy{})
	return c
}

// Run exchanges counts with the other nodes, judges versions and writes statuses until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	if c == nil {
		return
	}
	var writing sync.WaitGroup
	defer writing.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // also after a panic
	writing.Go(func() { c.params.Guard.Loop(ctx, "rollout status", c.writeStatuses) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		c.checkPause()
		select {
		case counts := <-c.params.Peers.RolloutCounts():
			if !c.checkPause() {
				c.handleCounts(counts)
			}
		case <-ticker.C:
			c.tick()
		case <-ctx.Done():
			return
		}
		c.flush()
	}
}

// checkPause reports whether the loop was paused, and drops the counts that have queued up.
func (c *Controller) checkPause() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.params.Now()
	last := c.lastTick
	c.lastTick = now
	if last.IsZero() || elapsed(last, now) < maxPause {
		return false
	}
	c.listenUntil = now.Add(settleTime)
	for _, r := range c.rollouts {
		r.reconsider(now)
	}
	for {
		select {
		case <-c.params.Peers.RolloutCounts():
		default:
			return true
		}
	}
}

// Policy returns the policy of a service, or nil if all its versions are allowed.
func (c *Controller) Policy(service string) *Policy {
	if c == nil {
		return nil
	}
	return (*c.policies.Load())[service]
}

// Admit reports whether a request may be sent to the version that is tried, and counts it. sole is set if no leaf of another
// version is usable.
func (c *Controller) Admit(service string, sole bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.params.Now()
	r := c.rollouts[service]
	if r == nil || now.Before(c.listenUntil) || elapsed(c.lastTick, now) > maxPause || !r.admit(c.others, sole, now) {
		return false
	}
	c.counters.sends.Inc(1)
	return true
}

// Done records the end of a request to a leaf of a service with a rollout.
func (c *Controller) Done(service string, a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.rollouts[service]; r != nil && !r.state.Final() {
		r.record(a, c.params.Now())
	}
}

// Update adopts a new state of the registry.
func (c *Controller) Update(v View) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.params.Now()
	c.rank, c.others = v.Rank, 0
	for _, m := range v.Members {
		if m.ID != c.params.Self {
			c.others++
		}
	}
	versions := listVersions(v.Leaves)
	requested := map[string]bool{}
	for _, entry := range v.Rollouts() {
		if entry.Request.Revision > 0 {
			requested[entry.Service] = true
			c.updateRollout(entry, v, versions[entry.Service], now)
		}
	}
	for service, r := range c.rollouts {
		if !requested[service] && v.Epoch <= r.epoch {
			c.logState(r, "the registry does not list the request any more")
			delete(c.rollouts, service)
		}
		// A registry that was restored from a copy lacks recent requests until operators write them again.
	}
	if len(versions) > 0 {
		c.versions = versions
	}
	for service, r := range c.rollouts {
		before := r.state
		r.completeOld(versions[service])
		r.setListed(slices.ContainsFunc(v.Leaves, func(l registry.Leaf) bool {
			return l.Service == service && l.Version == r.request.Target && !l.Draining
		}), now)
		c.noteState(r, before, "leaves of the target version are listed")
	}
	c.publish()
}

// updateRollout adopts what the registry says about one service. listed holds the versions of its leaves.
func (c *Controller) updateRollout(entry registry.Rollout, v View, listed []string, now time.Time) {
	r := c.rollouts[entry.Service]
	switch {
	case r != nil && r.request.Revision == entry.Request.Revision && r.epoch == v.Epoch:
		before := r.state
		r.adopt(entry.Status, now)
		c.noteState(r, before, "the registry says so")
	case r != nil && v.Epoch > r.epoch && r.request.Target == entry.Request.Target && r.request.Duration == entry.Request.Duration:
		r.continueAs(entry.Request, v.Epoch, entry.Status, now)
	default:
		c.rollouts[entry.Service] = c.start(entry, v, listed, now)
	}
}

// start returns the state of a rollout that this node has not known.
func (c *Controller) start(entry registry.Rollout, v View, listed []string, now time.Time) *active {
	// A node that starts during a rollout might already have used its part of the slack.
	slack, late := 0.0, c.versions == nil
	if !late {
		slack = slackPart(c.params.Slack, entry.Service, c.params.Self, v.Advertised)
	}
	old := c.servingVersions(entry, v.Epoch, listed, now)
	r := &active{Rollout: newRollout(c.params.Config, entry.Request, v.Epoch, entry.Status, old, slack, now), late: late}
	c.rollouts[entry.Service] = r
	c.logState(r, "the registry lists the request")
	return r
}

// servingVersions returns the versions that got a service's traffic before a rollout, which newRollout replaces by those of
// the rollout's status. After an earlier rollout these do not include what that one has not completed. Its end may become
// known only together with the next request.
func (c *Controller) servingVersions(entry registry.Rollout, epoch uint64, listed []string, now time.Time) []string {
	if earlier := c.rollouts[entry.Service]; earlier != nil {
		if earlier.epoch == epoch {
			earlier.adopt(entry.Status, now)
		}
		return earlier.serving()
	}
	if before := c.versions[entry.Service]; len(before) > 0 { // the target may be listed by now
		return before
	}
	return versionsBefore(entry.Request, entry.Status, listed)
}

// listVersions returns the versions of each service's leaves.
func listVersions(leaves []registry.Leaf) map[string][]string {
	versions := map[string][]string{}
	for _, l := range leaves {
		if !slices.Contains(versions[l.Service], l.Version) {
			versions[l.Service] = append(versions[l.Service], l.Version)
		}
	}
	return versions
}

// publish puts the policies of all rollouts into force.
func (c *Controller) publish() {
	policies, running := make(map[string]*Policy, len(c.rollouts)), 0
	for service, r := range c.rollouts {
		policies[service] = &Policy{state: r.state, target: r.request.Target, old: r.old}
		if r.state == registry.RolloutRunning {
			running++
		}
	}
	c.policies.Store(&policies)
	c.counters.running.Update(float64(running))
}

// tick judges all versions and sends what is due.
func (c *Controller) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.params.Now()
	for _, r := range c.rollouts {
		if now.Before(c.listenUntil) {
			continue
		}
		if elapsed(r.judgedAt, now) >= judgeInterval {
			r.judgedAt = now
			c.judge(r, now)
		}
		c.send(r, now)
	}
}

func (c *Controller) judge(r *active, now time.Time) {
	before := r.state
	if evidence, bad := r.judge(c.others, now); bad {
		c.logJudgement(r, evidence)
		c.noteState(r, before, "judged bad by this node")
	}
}

// noteState puts a changed state of a rollout into force, logs it and tells the other nodes.
func (c *Controller) noteState(r *active, before registry.RolloutState, cause string) {
	if r.state == before {
		return
	}
	switch r.state {
	case registry.RolloutCompleted:
		c.counters.completed.Inc(1)
	case registry.RolloutRolledBack:
		c.counters.rolledBack.Inc(1)
	}
	r.announce()
	c.publish()
	c.logState(r, cause)
	c.send(r, c.params.Now())
}

func (c *Controller) logState(r *active, cause string) {
	c.params.Log.Info("rollout", "service", r.request.Service, "request_revision", r.request.Revision, "target", r.request.Target,
		"old", r.old, "state", r.state.String(), "cause", cause)
}

func (c *Controller) logJudgement(r *active, e Evidence) {
	c.params.Log.Warn("rollout_judged", "service", r.request.Service, "request_revision", r.request.Revision, "target", r.request.Target,
		"fault", e.Fault, "route", e.Route, "answers", e.Answers, "bad", e.Bad, "old_answers", e.OldAnswers, "old_bad", e.OldBad,
		"expected", e.Expected, "chance", e.Chance)
}
