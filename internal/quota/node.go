package quota

import (
	"maps"
	"slices"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
)

// instant is a time on both clocks of a node since its start. elapsed counts the time for which the node was suspended,
// steady might not.
type instant struct{ elapsed, steady time.Duration }

// sender sends messages to other nodes.
type sender interface {
	SendQuotaReport(address string, r cluster.QuotaReport)
	SendQuotaGrant(address string, g cluster.QuotaGrant)
}

// node decides on the requests of one node, and grants requests of others as an allocator. It has neither clock nor network of its
// own, and is not safe for concurrent use.
type node struct {
	config Config
	out    sender
	meters meters

	allocator *allocator
	accounts  map[string]*account
	// active holds the accounts that have to be looked at with time.
	active map[string]*account
	peers  map[string]*peer
	view   View
	// electors holds the candidates for allocators, this node included.
	electors []registry.Member
	// boots is the number of boots that sessions have used up.
	boots    int64
	nextPing time.Duration
	// overdraftFrom is the time before which this node admits no request by overdraft: one window after its start, or 0 if the
	// candidates for allocators have all just started.
	overdraftFrom time.Duration
	// oldAllocatorUntil is the time until which a node that has ceased to be a candidate may still act as an allocator, if it was one
	// when this node started.
	oldAllocatorUntil time.Duration
}

func newNode(c Config, out sender, m meters) *node {
	return &node{config: c, out: out, meters: m, allocator: newAllocator(c.Bounds), accounts: map[string]*account{}, active: map[string]*account{}, peers: map[string]*peer{}}
}

// newBoot returns a number that is larger than those of earlier sessions and of earlier boots of this node.
func (n *node) newBoot() int64 {
	n.boots++
	return n.config.Boot*int64(time.Millisecond/time.Microsecond) + n.boots
}

// admit decides on a request of an organisation. If the request must wait, it returns false, and decide is called within the
// wait. An organisation whose quota was removed after the request had read the configuration has no account, and no limit.
func (n *node) admit(organisation string, wait time.Duration, at instant, decide func(Decision)) (Decision, bool) {
	a := n.accounts[organisation]
	if a == nil {
		return Decision{}, true
	}
	n.active[organisation] = a
	if len(a.waiting) == 0 {
		if t := a.admit(at.elapsed); t != nil {
			n.flush(a, at)
			return Decision{Ticket: t}, true
		}
	}
	if until, denied := a.deniedUntil(at.elapsed); wait <= 0 || denied && (len(a.waiting) > 0 || until > at.elapsed+wait) {
		return a.refusal(at.elapsed, n.config.Bounds.Window), true
	}
	a.waiting = append(a.waiting, &waiter{deadline: at.elapsed + wait, decide: decide})
	n.flush(a, at)
	return Decision{}, false
}

// giveBack returns the ticket of a request that has not run.
func (n *node) giveBack(t *Ticket, at instant) {
	if a := t.account; n.accounts[a.organisation] == a {
		a.giveBack(t, at.elapsed)
		n.active[a.organisation] = a
	}
}

// handleReport answers another node's report.
func (n *node) handleReport(r cluster.QuotaReport, at instant) {
	if r.Organisation == "" {
		if contains(n.electors, r.Node) {
			n.out.SendQuotaGrant(r.From, cluster.QuotaGrant{Allocator: n.config.Self, Boot: r.Boot, Stamp: r.Stamp})
		}
		return
	}
	if g, ok := n.answer(r, at); ok {
		n.out.SendQuotaGrant(r.From, g)
	}
}

// answer grants requests as an allocator. It reports false if this node must not answer.
func (n *node) answer(r cluster.QuotaReport, at instant) (cluster.QuotaGrant, bool) {
	if !n.entitled(at) {
		return cluster.QuotaGrant{}, false
	}
	g, ok := n.allocator.answer(r, at.steady)
	g.Allocator = n.config.Self
	if ok && g.Wait > 0 {
		n.meters.denials.Inc(1)
	}
	return g, ok
}

// handleGrant adopts an allocator's answer.
func (n *node) handleGrant(g cluster.QuotaGrant, at instant) {
	p := n.peers[g.Allocator]
	if p == nil || g.Stamp > at.elapsed {
		return
	}
	if g.Organisation == "" {
		if g.Boot == n.config.Boot && at.elapsed-g.Stamp <= quorumTime {
			p.confirmedAt = max(p.confirmedAt, g.Stamp)
		}
		return
	}
	a := n.accounts[g.Organisation]
	if a == nil {
		return
	}
	g.Wait = min(g.Wait, n.config.Bounds.Window) // no allocator states more, so that it is asked again
	for _, l := range a.sessions {
		if l.allocator == p && l.boot == g.Boot {
			p.heard(g.Stamp, at.elapsed)
			a.grant(l, g, at.elapsed)
			n.active[g.Organisation] = a
			a.settle(at.elapsed, n.config.Bounds.Window)
			n.flush(a, at)
		}
	}
}

// tick does what is due with time. It reports whether it must be called again soon.
func (n *node) tick(at instant) bool {
	n.ping(at)
	for _, organisation := range slices.Sorted(maps.Keys(n.active)) {
		a := n.active[organisation]
		n.flush(a, at)
		if a.idle(at.elapsed) {
			delete(n.active, organisation)
		}
	}
	return len(n.active) > 0
}

// idle reports whether nothing is due until the next request.
func (a *account) idle(now time.Duration) bool {
	if len(a.waiting) > 0 || a.need(now) > 0 {
		return false
	}
	for _, l := range a.sessions {
		if len(l.stock) > 0 || l.pending || l.returned > l.reported {
			return false
		}
	}
	return true
}
