package direct

import (
	"slices"
	"time"

	"cyclamenstream/api/registry"
)

// Ticket is the permission to send one request to one leaf.
type Ticket struct {
	service  *service
	state    *leafState
	leaf     registry.Leaf
	started  time.Time
	expected time.Duration
	base     time.Duration
	// wait is the part of expected for requests in front and a pause of the leaf.
	wait  time.Duration
	route string
	// Connections is the number of connections that this node may hold to the leaf.
	Connections int
}

// Leaf returns the chosen leaf.
func (t *Ticket) Leaf() registry.Leaf { return t.leaf }

// ExpectedLatency returns the latency that the choice was based on.
func (t *Ticket) ExpectedLatency() time.Duration { return t.expected }

// BaseLatency returns the leaf's latency without queueing.
func (t *Ticket) BaseLatency() time.Duration { return t.base }

// Done releases the ticket and records the outcome of its request.
func (t *Ticket) Done(o Outcome) {
	now := t.service.pool.config.Now()
	t.service.mu.Lock()
	defer t.service.mu.Unlock()
	if i := slices.Index(t.state.running, t); i >= 0 {
		t.state.running = slices.Delete(t.state.running, i, i+1)
	}
	took := now.Sub(t.started)
	if o.Kind == Answered {
		t.state.rtt.record(took)
	}
	usual := t.state.baseLatency(now, t.service.processingTime())
	if t.state.expectation.stated() {
		usual += t.wait
	}
	t.state.record(o, took, usual, now)
	if t.state.expectation.stated() {
		t.service.work.update(t.service.leaves)
	}
	if o.Kind == Answered && len(t.state.latencies) == sampleCount {
		t.service.recordProcessing(t.state)
	}
	t.recordVersion(o, took)
	t.service.wake()
}
