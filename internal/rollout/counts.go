package rollout

import (
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
)

const (
	// Counts that have changed are sent every sendInterval, others every idleInterval, so that the other nodes know that this
	// one is in touch.
	sendInterval = 400 * time.Millisecond
	idleInterval = time.Second
	// A change of the state is sent announceTimes times, since datagrams may be lost.
	announceTimes = 3
	// lingerTime is how long counts are sent after the registry has the final state. Until then nodes may not know it.
	lingerTime = 5 * time.Second
)

// outbox is what a node has sent about a rollout.
type outbox struct {
	sentAt      time.Time
	sentAnswers int
	// announcements is the number of times that a change of the state is still to be sent at once.
	announcements int
	// recordedAt is when this node learned that the registry has the final state.
	recordedAt time.Time
}

func (o *outbox) announce() { o.announcements = announceTimes }

// due reports whether counts are due. answers is the number of answers counted so far.
func (o *outbox) due(answers int, now time.Time) bool {
	since := elapsed(o.sentAt, now)
	return o.announcements > 0 || since >= idleInterval || since >= sendInterval && answers != o.sentAnswers
}

// send queues this node's counts of a rollout for the other nodes if they are due.
func (c *Controller) send(r *active, now time.Time) {
	if r.state.Final() && r.recorded() {
		if r.recordedAt.IsZero() {
			r.recordedAt = now
		}
		if elapsed(r.recordedAt, now) > lingerTime {
			return
		}
	}
	counts, answers := r.totals.ownCounts(), 0
	for _, count := range counts {
		for _, n := range count.Latencies {
			answers += int(n)
		}
	}
	if !r.due(answers, now) {
		return
	}
	r.sentAt, r.sentAnswers, r.announcements = now, answers, max(0, r.announcements-1)
	m := cluster.RolloutCounts{Sender: c.params.Self, Boot: c.params.Boot, Service: r.request.Service, Epoch: r.epoch, Request: r.request.Revision,
		Age: elapsed(r.began, now), Judgement: r.state, Counts: counts}
	if r.status.Of(r.request) {
		m.State, m.Status = r.status.State, r.status.Revision
	}
	c.outgoing = append(c.outgoing, m)
}

// flush sends the queued counts without the lock, for which requests wait.
func (c *Controller) flush() {
	c.mu.Lock()
	outgoing := c.outgoing
	c.outgoing = nil
	c.mu.Unlock()
	for _, m := range outgoing {
		c.params.Peers.SendRolloutCounts(c.params.Addresses(), m)
	}
}

// handleCounts adopts the counts of another node. A node that judges a version bad is believed, since a version that is not
// known to be good must not get requests.
func (c *Controller) handleCounts(m cluster.RolloutCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rollouts[m.Service]
	if r == nil || m.Sender == c.params.Self || m.Epoch != r.epoch || m.Request != r.request.Revision {
		return
	}
	now, before := c.params.Now(), r.state
	r.heard[m.Sender] = now
	if began := now.Add(-m.Age); began.Before(r.began) {
		r.began = began
	}
	r.totals.addReport(m, now)
	if m.Status > r.status.Revision {
		r.adopt(registry.RolloutStatus{Service: m.Service, Target: r.request.Target, State: m.State, Old: r.old, Revision: m.Status}, now)
	}
	if m.Judgement == registry.RolloutRolledBack && !r.state.Final() {
		r.setState(registry.RolloutRolledBack, now)
	}
	c.noteState(r, before, "told by "+m.Sender)
}
