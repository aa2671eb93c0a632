package member

import (
	"context"
	"slices"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/event"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/platform"
	"cyclamenstream/gen/peerpb"

	"github.com/zeebo/errs"
)

// claimState follows a claim that has not been acquired yet.
type claimState struct {
	since      instant
	pauseUntil instant
}

// claimLimit is how long a claimant that is refused by some peers goes on before it pauses, so that claimants that
// split the peers between them do not block each other for ever.
const claimLimit = 2 * LeaseTime

// claimable returns the services that this node claims: those it owns, those handed over to it, and those for which it
// is the preferred member.
func (n *Node) claimable(now instant, fresh bool) []string {
	if !fresh {
		return nil
	}
	v := n.view.Load()
	owned, held := n.ledger.owned(now), n.ledger.holders(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	candidates := n.eligible(v, now, now)
	settled := n.readySince > 0 && now-n.readySince >= claimDelay && n.ledger.mayClaim(now, claimDelay)
	var services []string
	for _, service := range v.services {
		if n.moving[service] {
			continue
		}
		_, owns := owned[service]
		preferred, found := best(service, candidates)
		switch {
		case owns || n.ledger.inherits(service, now):
			delete(n.claims, service)
			services = append(services, service)
		case settled && found && preferred.ID == n.self.ID && !n.ownedElsewhere(v, held, service, now) && n.mayGoOnClaiming(service, now):
			services = append(services, service)
		}
	}
	return services
}

// ownedElsewhere reports whether this node has acknowledged another holder, or a majority of the members name one that
// is alive. A claim would bind peers that have just started, this node among them, against the owner and against its
// planned move. The caller holds mu.
func (n *Node) ownedElsewhere(v *view, held map[string]string, service string, now instant) bool {
	if vm, known := held[service]; known && vm != n.self.ID {
		return true
	}
	vm, votes := n.namedByPeers(service, now)
	return vm != n.self.ID && votes >= v.set.majority() && n.alive(vm, now)
}

// mayGoOnClaiming reports whether a claim on a service that is not owned goes on. The caller holds mu.
func (n *Node) mayGoOnClaiming(service string, now instant) bool {
	c := n.claims[service]
	if c == nil {
		c = &claimState{since: now}
		n.claims[service] = c
	}
	if now < c.pauseUntil {
		return false
	}
	if now-c.since > claimLimit && n.contended(service, now) {
		c.since, c.pauseUntil = now, now+LeaseTime+time.Duration(rank(service, n.self.ID)%8)*HeartbeatInterval
		return false
	}
	return true
}

// contended reports whether live peers name another holder. The caller holds mu.
func (n *Node) contended(service string, now instant) bool {
	vm, _ := n.namedByPeers(service, now)
	return vm != "" && vm != n.self.ID
}

// syncOwned compares the leases with what was last reported as owned.
func (n *Node) syncOwned(now instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := n.ledger.owned(now)
	changed := false
	for service, o := range n.owned {
		if t, ok := held[service]; !ok || t.term != o.term {
			delete(n.owned, service)
			changed = true
			n.leasesLost.Inc(1)
			n.events.Record(event.Event{Kind: event.LeaseLost, VM: n.self.ID, Service: service})
		}
	}
	for service, t := range held {
		if _, known := n.owned[service]; known {
			continue
		}
		o := ownedService{cluster.OwnedService{Service: service, UsableFrom: time.Now().Add(n.view.Load().drainOf(service, now))}, t.term}
		detail := "without a handover"
		if h := n.inherited[service]; h != nil && t.inherited {
			o.Handover, o.UsableFrom, detail = h, time.Now(), "with a handover"
		}
		delete(n.inherited, service)
		n.owned[service] = o
		changed = true
		n.events.Record(event.Event{Kind: event.LeaseTaken, VM: n.self.ID, Service: service, Detail: detail})
	}
	if changed {
		close(n.ownedChange)
		n.ownedChange = make(chan struct{})
	}
}

// updateHints notes the owner of each service: the node whose claim this node has acknowledged, else the one that most
// peers name.
func (n *Node) updateHints(now instant) {
	v := n.view.Load()
	held := n.ledger.holders(now)
	hints := make(map[string]platform.VM, len(v.services))
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, service := range v.services {
		owner := held[service]
		if owner == "" {
			owner, _ = n.namedByPeers(service, now)
		}
		if vm, known := v.nodes[owner]; known && owner != n.self.ID {
			hints[service] = vm
		}
	}
	n.hints.Store(&hints)
}

// namedByPeers returns the VM that most live peers name as holder and the number of them. The caller holds mu.
func (n *Node) namedByPeers(service string, now instant) (vm string, votes int) {
	named, most := map[string]int{}, ""
	for id, p := range n.peers {
		if vm := p.holders[service]; vm != "" && n.alive(id, now) {
			named[vm]++
			if named[vm] > named[most] || (named[vm] == named[most] && vm < most) {
				most = vm
			}
		}
	}
	return most, named[most]
}

// rebalance starts to hand over the services that another member should own.
func (n *Node) rebalance(ctx context.Context, now instant) {
	v := n.view.Load()
	owned := n.ledger.owned(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	vm, member := v.nodes[n.self.ID]
	leaving := n.stop.Load() || !member || !v.isMember(n.self.ID) || vm.State != platform.StateLive
	since := now - rebalanceAfter
	if leaving {
		since = now
	}
	candidates := n.eligible(v, now, since)
	for _, service := range sortedServices(owned) {
		to, found := best(service, n.successors(service, candidates))
		if !found || to.ID == n.self.ID || n.moving[service] {
			continue
		}
		n.moving[service] = true
		n.work.Go(func() { n.move(ctx, service, to) })
	}
}

// successors returns the candidates that may be handed the service: this node, and those that have acknowledged its
// claim. One that has just started may not have; it would refuse the handover and acquire the service without the state
// of its slots. The caller holds mu.
func (n *Node) successors(service string, candidates []platform.VM) []platform.VM {
	return slices.DeleteFunc(slices.Clone(candidates), func(vm platform.VM) bool {
		return vm.ID != n.self.ID && !n.peers[vm.ID].acknowledged[service]
	})
}

// move hands a service over: it stops the use of the slots, has the peers acknowledge the successor and passes the
// state of the slots on. Until the successor has accepted, the release goes out with each heartbeat.
func (n *Node) move(ctx context.Context, service string, to platform.VM) {
	state := cluster.Handover{Service: service}
	if source := n.handover.Load(); source != nil {
		state = (*source).Release(service)
	}
	n.roundMu.Lock()
	n.ledger.release(n.now(), service, to.ID)
	n.roundMu.Unlock()
	n.events.Record(event.Event{Kind: event.LeaseHandedOver, VM: to.ID, Service: service})
	n.syncOwned(n.now())
	n.updateHints(n.now())
	ctx, cancel := context.WithTimeout(ctx, LeaseTime)
	defer cancel()
	accepted := false
	for !accepted && ctx.Err() == nil {
		n.awaitMajority(ctx, n.round(ctx), to.ID)
		accepted = n.sendHandover(ctx, to, state)
	}
	n.handovers.Inc(1)
	if !accepted {
		n.handoverErrors.Inc(1)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.moving, service)
}

// awaitMajority waits until the successor and a majority have answered a round, or a heartbeat interval has passed.
func (n *Node) awaitMajority(ctx context.Context, answered <-chan string, successor string) {
	timer := time.NewTimer(HeartbeatInterval)
	defer timer.Stop()
	count, met := 1, false
	for !met || count < n.view.Load().set.majority() {
		select {
		case vm, open := <-answered:
			if !open {
				return
			}
			count++
			met = met || vm == successor
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) sendHandover(ctx context.Context, to platform.VM, state cluster.Handover) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	request := &peerpb.HandoverRequest{Service: state.Service, FromVm: n.self.ID, FromBootId: n.boot}
	for _, l := range state.Leaves {
		leaf := &peerpb.LeafState{Vm: l.VM, BootId: l.BootID, Limit: uint32(l.Limit)}
		for _, busy := range l.BusyFor {
			leaf.BusyForMs = append(leaf.BusyForMs, int64((busy+time.Millisecond-1)/time.Millisecond))
		}
		request.Leaves = append(request.Leaves, leaf)
	}
	reply, err := n.transport.Handover(ctx, to, request)
	if err != nil || !reply.Accepted {
		sleep(ctx, shutdownStep)
		return false
	}
	return true
}

// HandleHandover takes in the state of a service's slots and claims the service at once.
func (n *Node) HandleHandover(_ context.Context, request *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	from := identity{request.FromVm, request.FromBootId}
	if n.stop.Load() {
		return &peerpb.HandoverReply{}, nil
	}
	state := &cluster.Handover{Service: request.Service}
	for _, l := range request.Leaves {
		leaf := cluster.LeafHandover{VM: l.Vm, BootID: l.BootId, Limit: int(l.Limit)}
		for _, ms := range l.BusyForMs {
			leaf.BusyFor = append(leaf.BusyFor, time.Duration(ms)*time.Millisecond)
		}
		state.Leaves = append(state.Leaves, leaf)
	}
	n.mu.Lock()
	accepted := n.ledger.inherit(n.now(), request.Service, from)
	if accepted {
		n.inherited[request.Service] = state
	}
	n.mu.Unlock()
	if accepted {
		n.kickRound()
	}
	return &peerpb.HandoverReply{Accepted: accepted}, nil
}

// Times of a shutdown.
const (
	// successorWait is how long a stopping node waits for the others to be ready: a node that was started shortly before
	// is ready after settleTime, and its first heartbeats may be late.
	successorWait = settleTime + LeaseTime
	// noPeerWait is how long it waits while no other member stays: one that was just started may not be heard yet.
	noPeerWait = time.Second
)

// Shutdown marks the node as stopping and hands its services over. It returns once this node owns nothing and is not
// needed any more: a majority of the members is ready without it, so that leases go on being acknowledged when it is
// gone. Heartbeats go on until the context of Start ends.
func (n *Node) Shutdown(ctx context.Context) error {
	n.stop.Store(true)
	n.events.Record(event.Event{Kind: event.NodeStopping, VM: n.self.ID})
	for began := n.now(); ; {
		n.kickRound()
		left, waited := n.unfinished(), n.now()-began
		ready, staying := n.remaining()
		switch {
		case left == 0 && (ready >= n.view.Load().set.majority() || waited > successorWait):
			return nil
		case staying == 0 && waited > noPeerWait:
			if left == 0 {
				return nil
			}
			return errs.New("%d services have no member to be handed over to", left)
		}
		if !sleep(ctx, shutdownStep) {
			return errs.New("%d services were not handed over in time; %d of %d other members are ready", left, ready, staying)
		}
	}
}

// unfinished returns the number of services still owned or on the move.
func (n *Node) unfinished() int {
	owned := n.ledger.owned(n.now())
	n.mu.Lock()
	defer n.mu.Unlock()
	for service := range n.moving {
		delete(owned, service)
	}
	return len(owned) + len(n.moving)
}

// remaining returns how many other members are alive and do not stop, and how many of these may be given services.
func (n *Node) remaining() (ready, staying int) {
	v, now := n.view.Load(), n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, vm := range v.members {
		if vm.ID == n.self.ID || !n.alive(vm.ID, now) || n.stopping(vm.ID) || vm.State != platform.StateLive {
			continue
		}
		staying++
		if n.peers[vm.ID].ready {
			ready++
		}
	}
	return ready, staying
}

// Status returns this node's view of the tier.
func (n *Node) Status() operator.Status {
	v, now := n.view.Load(), n.now()
	holders := n.ledger.holders(now)
	fresh := n.CheckFresh() == nil
	status := operator.Status{Node: n.self.ID, Zone: n.self.Zone, Fresh: fresh, StoreUp: n.relay.StoreUp(),
		ConfigVersion: v.configVersion, FleetRevision: v.fleetRevision}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range sortedServices(v.nodes) {
		s := operator.NodeStatus{VM: id, Zone: v.nodes[id].Zone, Alive: n.alive(id, now), Stopping: n.stopping(id)}
		if id == n.self.ID {
			s.Fresh, s.ConfigVersion, s.FleetRevision, s.HeardAt = fresh, v.configVersion, v.fleetRevision, time.Now()
			s.Owned = sortedServices(n.owned)
		} else {
			if p := n.peers[id]; p != nil {
				s.Fresh, s.ConfigVersion, s.FleetRevision, s.HeardAt = p.fresh, p.versions[0], p.versions[1], p.heardWall
			}
			for service, vm := range holders {
				if vm == id {
					s.Owned = append(s.Owned, service)
				}
			}
		}
		status.Nodes = append(status.Nodes, s)
	}
	return status
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
