// Package prepare keeps connections open to the leaves to which this node may send, so that neither the first request
// nor a hedged request to another region waits for a connection.
package prepare

import (
	"context"
	"time"

	"cyclamenstream/api/exchange"
	"cyclamenstream/internal/direct"
)

const (
	// checkInterval is the time between two checks of all connections.
	checkInterval = 2 * time.Second
	// maxTargets bounds the number of leaves with preopened connections, so that a node does not run out of file
	// descriptors.
	maxTargets = 1000
	// A node that opens many connections at once, such as after its start, opens batchSize every batchInterval, so that
	// requests get their share of the processor meanwhile.
	batchSize     = 25
	batchInterval = 10 * time.Millisecond
)

// Preconnector opens connections to leaves ahead of requests.
type Preconnector struct {
	pool   *direct.Pool
	sender exchange.Sender
	// receivesCallers reports whether callers are directed to this node.
	receivesCallers func() bool
	changed         chan struct{}
}

// New returns a preconnector. It opens connections only while receivesCallers returns true.
func New(pool *direct.Pool, sender exchange.Sender, receivesCallers func() bool) *Preconnector {
	return &Preconnector{pool: pool, sender: sender, receivesCallers: receivesCallers, changed: make(chan struct{}, 1)}
}

// Changed signals that the set of leaves has changed. It never blocks.
func (p *Preconnector) Changed() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Run opens connections after each change and at regular intervals until ctx ends.
func (p *Preconnector) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		// A node without callers keeps no connections: many such nodes would use up those that the leaves accept.
		receivesCallers := p.receivesCallers()
		p.sender.CloseIdle(!receivesCallers)
		if receivesCallers {
			p.preconnect(ctx)
		}
	}
}

func (p *Preconnector) preconnect(ctx context.Context) {
	targets := p.pool.Targets()
	opened := 0
	for _, t := range targets[:min(len(targets), maxTargets)] {
		if !p.sender.Preconnect(t.Leaf, t.Connections) {
			continue
		}
		if opened++; opened%batchSize != 0 {
			continue
		}
		select {
		case <-time.After(batchInterval):
		case <-ctx.Done():
			return
		}
	}
}
