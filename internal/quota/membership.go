package quota

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"cyclamenstream/api/registry"
)

const (
	// takeoverDelay is how long a node that becomes an allocator in place of another one grants nothing. The other one learns of it
	// within that time, or its view is too old by then.
	takeoverDelay = 2 * time.Second
	// Nodes that were started within startSpread of each other have nothing to take over from each other during that time.
	startSpread = 15 * time.Second
)

// update adopts a view.
func (n *node) update(v View, at instant) {
	if reflect.DeepEqual(v, n.view) {
		return
	}
	first, takesOver := len(n.view.Members) == 0, n.takesOver(v, at)
	known := maps.Clone(n.accounts)
	n.view, n.electors = v, v.candidates()
	n.updatePeers()
	if first && takesOver {
		n.overdraftFrom = n.config.Bounds.Window
	}
	if !takesOver {
		n.allocator.beginFilling(at.steady)
	}
	limits := v.limits()
	for organisation, a := range n.accounts {
		if _, ok := limits[organisation]; !ok {
			n.forget(a)
		}
	}
	for _, organisation := range slices.Sorted(maps.Keys(limits)) {
		n.place(organisation, limits[organisation], takesOver && (first || known[organisation] != nil), at)
	}
}

// takesOver reports whether another node may have been an allocator before this one becomes it. That is not so while the
// candidates have all just started. The registry may still list earlier boots of them at first.
func (n *node) takesOver(v View, at instant) bool {
	old := func(m registry.Member) bool {
		return m.ID != n.config.Self && m.Boot < n.config.Boot-startSpread.Milliseconds()
	}
	for _, m := range n.electors {
		if old(m) && !v.lists(m.ID, m.Boot+1) {
			n.oldAllocatorUntil = at.elapsed + takeoverDelay
		}
	}
	return at.elapsed > startSpread || at.elapsed < n.oldAllocatorUntil || slices.ContainsFunc(v.candidates(), old)
}

// lists reports whether the view has the node with the given boot or a later one.
func (v View) lists(name string, boot int64) bool {
	return slices.ContainsFunc(v.Members, func(m registry.Member) bool { return m.ID == name && m.Boot >= boot })
}

func (n *node) updatePeers() {
	peers := map[string]*peer{}
	for _, m := range n.view.Members {
		p := n.peers[m.ID]
		if p == nil {
			p = &peer{name: m.ID, confirmedAt: -quorumTime}
		}
		p.address = m.PeerAddress
		peers[m.ID] = p
	}
	n.peers = peers
}

// place finds the allocators of an organisation. takeover is set if this node may be an allocator in place of another one.
func (n *node) place(organisation string, limit Limit, takeover bool, at instant) {
	a := n.accounts[organisation]
	if a == nil {
		a = &account{organisation: organisation, overdraftFrom: n.overdraftFrom}
		n.accounts[organisation] = a
	}
	sorted := ranked(organisation, n.electors)
	a.limit, a.overdraft = limit, contains(sorted[:min(len(sorted), n.config.Bounds.overdrafts())], n.config.Self)
	chosen := sorted[:min(len(sorted), allocators)]
	if contains(chosen, n.config.Self) {
		since := at.steady
		if takeover {
			since += takeoverDelay
		}
		n.allocator.hold(organisation, limit, since, at.steady)
	} else {
		n.allocator.drop(organisation)
	}
	n.config.byDistance(chosen)
	var order []*peer
	for _, m := range chosen {
		order = append(order, n.peers[m.ID])
	}
	a.setSessions(order, n.newBoot)
}

func contains(nodes []registry.Member, name string) bool {
	return slices.ContainsFunc(nodes, func(m registry.Member) bool { return m.ID == name })
}

// forget removes an organisation that has no quota any more. Nothing limits the requests that wait. If the organisation was
// removed as a whole, the check of their keys refuses them.
func (n *node) forget(a *account) {
	for len(a.waiting) > 0 {
		a.decide(0, Decision{})
	}
	delete(n.accounts, a.organisation)
	delete(n.active, a.organisation)
	n.allocator.drop(a.organisation)
}
