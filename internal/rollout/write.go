package rollout

import (
	"context"
	"time"

	"cyclamenstream/api/registry"
)

const (
	// writeTimeout bounds a write, and readTimeout the read after one without an answer. The registry answers in milliseconds.
	// A write that completes a rollout may have stopped the old leaves, so the wait for its answer is short.
	writeTimeout = 400 * time.Millisecond
	readTimeout  = time.Second
	// rankDelay is how long each node leaves to the one before it to write a status and to tell of it. maxRankDelay bounds
	// the sum.
	rankDelay    = 400 * time.Millisecond
	maxRankDelay = 3200 * time.Millisecond
	// retryDelay, plus the delay of the rank, is the time between two attempts to write, so that not all nodes write at once
	// when a store comes back.
	retryDelay = 500 * time.Millisecond
)

// writer is what a node has done to write a rollout's status.
type writer struct {
	retryAt time.Time
	// removed is the revision of the status that someone else has removed. Other nodes may still tell of it.
	removed uint64
}

// dueStatus returns the status that is to be written, with the revision of the one that it replaces.
func (r *active) dueStatus() registry.RolloutStatus {
	s := r.next()
	if s.Revision == r.removed {
		s.Revision = 0
	}
	return s
}

// writeStatuses writes the statuses that are due until ctx ends.
func (c *Controller) writeStatuses(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, d := range c.dueWrites() {
			c.write(ctx, d)
		}
	}
}

// dueWrite is a status that is to be written.
type dueWrite struct {
	request registry.RolloutRequest
	epoch   uint64
	status  registry.RolloutStatus
}

// dueWrites returns the statuses that this node is to write now.
func (c *Controller) dueWrites() (due []dueWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.params.Now()
	if now.Before(c.listenUntil) || elapsed(c.lastTick, now) > maxPause {
		return nil // what this node wants may be out of date
	}
	for _, r := range c.rollouts {
		if !r.recorded() && elapsed(r.decided, now) >= c.writeDelay(r) && !now.Before(r.retryAt) {
			due = append(due, dueWrite{r.request, r.epoch, r.dueStatus()})
		}
	}
	return due
}

// writeDelay returns how long this node leaves the write of a status to others.
func (c *Controller) writeDelay(r *active) time.Duration {
	if r.late { // others know more
		return maxRankDelay
	}
	return min(time.Duration(c.rank)*rankDelay, maxRankDelay)
}

// write writes a status. If that fails, or if it is not known whether it has taken effect, it reads what the registry has.
func (c *Controller) write(ctx context.Context, d dueWrite) {
	writeCtx, cancelWrite := context.WithTimeout(ctx, writeTimeout)
	defer cancelWrite()
	revision, err := c.params.Registry.WriteRollout(writeCtx, d.request, d.status)
	c.logWrite(d, revision, err)
	if err == nil {
		d.status.Revision = revision
		c.recordEntry(d, registry.Rollout{Service: d.request.Service, Request: d.request, Status: d.status}, "written by this node")
		return
	}
	c.counters.failedWrites.Inc(1)
	readCtx, cancelRead := context.WithTimeout(ctx, readTimeout)
	defer cancelRead()
	entry, err := c.params.Registry.ReadRollout(readCtx, d.request.Service)
	if err != nil {
		entry = registry.Rollout{}
	}
	c.recordEntry(d, entry, "read after a failed write")
}

// recordEntry adopts what the registry has after an attempt to write, if that is known. An entry without a request is not.
func (c *Controller) recordEntry(d dueWrite, entry registry.Rollout, cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rollouts[d.request.Service]
	if r == nil || r.request != d.request || r.epoch != d.epoch {
		return // another rollout has begun meanwhile
	}
	now, before := c.params.Now(), r.state
	if entry.Request == r.request {
		r.removed = 0
		if entry.Status.Revision == 0 {
			r.removed = r.status.Revision
		}
		r.adopt(entry.Status, now)
	}
	if !r.recorded() {
		r.retryAt = now.Add(retryDelay + c.writeDelay(r))
	}
	r.announce()
	c.noteState(r, before, cause)
	c.publish() // the old versions may be others
}

func (c *Controller) logWrite(d dueWrite, revision uint64, err error) {
	attributes := []any{"service", d.request.Service, "request_revision", d.request.Revision, "target", d.request.Target,
		"state", d.status.State.String(), "before", d.status.Revision}
	if err != nil {
		c.params.Log.Warn("rollout_write", append(attributes, "outcome", "failed", "error", err.Error())...)
		return
	}
	c.params.Log.Info("rollout_write", append(attributes, "outcome", "written", "revision", revision)...)
}
