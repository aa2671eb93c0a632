// Package prepare keeps a connection open to each leaf that this node may send to, so that neither the first request nor a
// hedge to another region waits for one.
package prepare

import (
	"context"
	"time"

	"cyclamenstream/api/exchange"
	"cyclamenstream/internal/direct"
)

const (
	// interval is the time between two looks at all connections.
	interval = 2 * time.Second
	// maxTargets bounds the leaves that are prepared, so that a node's descriptors suffice.
	maxTargets = 1000
)

// Preconnector prepares connections.
type Preconnector struct {
	pool   *direct.Pool
	sender exchange.Sender
	// wanted reports whether callers are sent to this node.
	wanted func() bool
	news   chan struct{}
}

// New returns a preparer.
func New(pool *direct.Pool, sender exchange.Sender, wanted func() bool) *Preconnector {
	return &Preconnector{pool: pool, sender: sender, wanted: wanted, news: make(chan struct{}, 1)}
}

// Changed tells that leaves have come or gone. It never blocks.
func (p *Preconnector) Changed() {
	select {
	case p.news <- struct{}{}:
	default:
	}
}

// Run prepares connections after each change and in between until ctx ends.
func (p *Preconnector) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-p.news:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if p.wanted() {
			p.prepare()
		}
	}
}

func (p *Preconnector) prepare() {
	targets := p.pool.Targets()
	for _, t := range targets[:min(len(targets), maxTargets)] {
		p.sender.Preconnect(t.Leaf, t.Connections)
	}
}
