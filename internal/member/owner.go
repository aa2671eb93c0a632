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

// pendingClaim is the state of a claim on a service that this node does not own yet.
type pendingClaim struct {
	since      instant
	pauseUntil instant
}

// claimLimit is how long a claimant goes on while some peers refuse it. It then pauses, so that claimants that split
// the peers between them do not block each other for ever.
const claimLimit = 2 * LeaseTime

// servicesToClaim returns the services that this node claims: those it owns, those handed over to it, and those for
// which it is the preferred member.
func (n *Node) servicesToClaim(now instant, fresh bool) []string {
	if !fresh {
		return nil
	}
	v := n.view.Load()
	owned, holders := n.leases.owned(now), n.leases.holders(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	candidates := n.eligibleOwners(v, now, now)
	mayAcquire := n.readySince > 0 && now-n.readySince >= claimDelay && n.leases.settledFor(now, claimDelay)
	var services []string
	for _, service := range v.services {
		if n.handingOver[service] {
			continue
		}
		_, owns := owned[service]
		preferred, found := highestRanked(service, candidates)
		switch {
		case owns || n.leases.hasHandover(service, now):
			delete(n.pendingClaims, service)
			services = append(services, service)
		case mayAcquire && found && preferred.ID == n.self.ID && !n.ownedElsewhere(v, holders, service, now) && n.mayKeepClaiming(service, now):
			services = append(services, service)
		}
	}
	return services
}

// ownedElsewhere reports whether this node has acknowledged another holder, or a majority of the members name another
// holder that is alive. If this node claimed such a service, peers that have just started, this node among them, would
// acknowledge the claim. They would then refuse the owner and the successor to which it hands the service over. The
// caller holds mu.
func (n *Node) ownedElsewhere(v *view, holders map[string]string, service string, now instant) bool {
	if vm, known := holders[service]; known && vm != n.self.ID {
		return true
	}
	vm, votes := n.namedByPeers(service, now)
	return vm != n.self.ID && votes >= v.set.majority() && n.alive(vm, now)
}

// mayKeepClaiming reports whether this node goes on claiming a service that it does not own yet. The caller holds mu.
func (n *Node) mayKeepClaiming(service string, now instant) bool {
	c := n.pendingClaims[service]
	if c == nil {
		c = &pendingClaim{since: now}
		n.pendingClaims[service] = c
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

// contended reports whether most live peers that name a holder name another node. The caller holds mu.
func (n *Node) contended(service string, now instant) bool {
	vm, _ := n.namedByPeers(service, now)
	return vm != "" && vm != n.self.ID
}

// syncOwned compares the leases with the services that were last reported as owned, and reports the changes.
func (n *Node) syncOwned(now instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	owned := n.leases.owned(now)
	changed := false
	for service, o := range n.owned {
		if current, ok := owned[service]; !ok || current.term != o.term {
			delete(n.owned, service)
			changed = true
			n.leasesLost.Inc(1)
			n.recorder.Record(event.Event{Kind: event.LeaseLost, VM: n.self.ID, Service: service})
		}
	}
	for service, current := range owned {
		if _, known := n.owned[service]; known {
			continue
		}
		o := ownedService{cluster.OwnedService{Service: service, UsableFrom: time.Now().Add(n.view.Load().drainOf(service, now))}, current.term}
		detail := "without a handover"
		if h := n.receivedHandovers[service]; h != nil && current.handedOver {
			o.Handover, o.UsableFrom, detail = h, time.Now(), "with a handover"
		}
		delete(n.receivedHandovers, service)
		n.owned[service] = o
		changed = true
		n.recorder.Record(event.Event{Kind: event.LeaseTaken, VM: n.self.ID, Service: service, Detail: detail})
	}
	if changed {
		close(n.ownedChanged)
		n.ownedChanged = make(chan struct{})
	}
}

// updateOwnerHints updates the presumed owner of each service. It is the node whose claim this node has acknowledged,
// or else the one that most peers name as holder.
func (n *Node) updateOwnerHints(now instant) {
	v := n.view.Load()
	holders := n.leases.holders(now)
	hints := make(map[string]platform.VM, len(v.services))
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, service := range v.services {
		owner := holders[service]
		if owner == "" {
			owner, _ = n.namedByPeers(service, now)
		}
		if vm, known := v.nodes[owner]; known && owner != n.self.ID {
			hints[service] = vm
		}
	}
	n.ownerHints.Store(&hints)
}

// namedByPeers returns the VM that most live peers name as holder, and how many name it. The caller holds mu.
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
	owned := n.leases.owned(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	vm, member := v.nodes[n.self.ID]
	leaving := n.shuttingDown.Load() || !member || !v.isMember(n.self.ID) || vm.State != platform.StateLive
	since := now - rebalanceDelay
	if leaving {
		since = now
	}
	candidates := n.eligibleOwners(v, now, since)
	for _, service := range sortedKeys(owned) {
		to, found := highestRanked(service, n.successors(service, candidates))
		if !found || to.ID == n.self.ID || n.handingOver[service] {
			continue
		}
		n.handingOver[service] = true
		n.work.Go(func() { n.handOver(ctx, service, to) })
	}
}

// successors returns the candidates that the service may be handed over to: this node, and those that have acknowledged
// its claim. A candidate that has just started may not have acknowledged it. Such a candidate would refuse the handover
// and acquire the service without the state of its slots. The caller holds mu.
func (n *Node) successors(service string, candidates []platform.VM) []platform.VM {
	return slices.DeleteFunc(slices.Clone(candidates), func(vm platform.VM) bool {
		return vm.ID != n.self.ID && !n.peers[vm.ID].acknowledged[service]
	})
}

// handOver hands a service over. It stops the use of the slots, gets the peers to acknowledge the successor and sends
// the state of the slots to it. Each heartbeat repeats the release until the successor has accepted.
func (n *Node) handOver(ctx context.Context, service string, to platform.VM) {
	state := cluster.Handover{Service: service}
	if source := n.handoverSource.Load(); source != nil {
		state = (*source).Release(service)
	}
	n.heartbeatMu.Lock()
	n.leases.release(n.now(), service, to.ID)
	n.heartbeatMu.Unlock()
	n.recorder.Record(event.Event{Kind: event.LeaseHandedOver, VM: to.ID, Service: service})
	n.syncOwned(n.now())
	n.updateOwnerHints(n.now())
	ctx, cancel := context.WithTimeout(ctx, LeaseTime)
	defer cancel()
	accepted := false
	for !accepted && ctx.Err() == nil {
		n.awaitMajority(ctx, n.sendHeartbeats(ctx), to.ID)
		accepted = n.sendHandover(ctx, to, state)
	}
	n.handovers.Inc(1)
	if !accepted {
		n.handoverErrors.Inc(1)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handingOver, service)
}

// awaitMajority waits until the successor and a majority have replied to a heartbeat, or a heartbeat interval has
// passed.
func (n *Node) awaitMajority(ctx context.Context, answered <-chan string, successor string) {
	timer := time.NewTimer(HeartbeatInterval)
	defer timer.Stop()
	reached, successorReached := 1, false
	for !successorReached || reached < n.view.Load().set.majority() {
		select {
		case vm, ok := <-answered:
			if !ok {
				return
			}
			reached++
			successorReached = successorReached || vm == successor
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
	request := &peerpb.HandoverRequest{Service: state.Service, FromVm: n.self.ID, FromBootId: n.bootID}
	for _, l := range state.Leaves {
		leaf := &peerpb.LeafState{Vm: l.VM, BootId: l.BootID, Limit: uint32(l.Limit)}
		for _, busy := range l.BusyFor {
			leaf.BusyForMs = append(leaf.BusyForMs, int64((busy+time.Millisecond-1)/time.Millisecond))
		}
		request.Leaves = append(request.Leaves, leaf)
	}
	reply, err := n.transport.Handover(ctx, to, request)
	if err != nil || !reply.Accepted {
		sleep(ctx, handoverPollInterval)
		return false
	}
	return true
}

// HandleHandover accepts the state of a service's slots from its predecessor and claims the service at once.
func (n *Node) HandleHandover(_ context.Context, request *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	from := incarnation{request.FromVm, request.FromBootId}
	if n.shuttingDown.Load() {
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
	accepted := n.leases.acceptHandover(n.now(), request.Service, from)
	if accepted {
		n.receivedHandovers[request.Service] = state
	}
	n.mu.Unlock()
	if accepted {
		n.triggerHeartbeat()
	}
	return &peerpb.HandoverReply{Accepted: accepted}, nil
}

// Timing of a shutdown.
const (
	// successorWait is how long a stopping node waits for the others to be ready. A node that started shortly before is
	// ready after settleTime, and its first heartbeats may be late.
	successorWait = settleTime + LeaseTime
	// noPeerWait is how long a stopping node waits while it hears from no other member that stays. The heartbeats of one
	// that has just started may not have arrived yet.
	noPeerWait = time.Second
)

// Shutdown marks the node as stopping and hands its services over. It returns once this node owns nothing and a
// majority of the members is ready without it, so that leases are still acknowledged when it has stopped. It waits at
// most successorWait for that majority. Heartbeats go on until the context of Start ends.
func (n *Node) Shutdown(ctx context.Context) error {
	n.shuttingDown.Store(true)
	n.recorder.Record(event.Event{Kind: event.NodeStopping, VM: n.self.ID})
	for began := n.now(); ; {
		n.triggerHeartbeat()
		left, waited := n.servicesLeft(), n.now()-began
		ready, staying := n.remainingMembers()
		switch {
		case left == 0 && (ready >= n.view.Load().set.majority() || waited > successorWait):
			return nil
		case staying == 0 && waited > noPeerWait:
			if left == 0 {
				return nil
			}
			return errs.New("%d services have no member to be handed over to", left)
		}
		if !sleep(ctx, handoverPollInterval) {
			return errs.New("%d services were not handed over in time; %d of %d other members are ready", left, ready, staying)
		}
	}
}

// servicesLeft returns the number of services that this node still owns or is handing over.
func (n *Node) servicesLeft() int {
	owned := n.leases.owned(n.now())
	n.mu.Lock()
	defer n.mu.Unlock()
	for service := range n.handingOver {
		delete(owned, service)
	}
	return len(owned) + len(n.handingOver)
}

// remainingMembers returns how many other members are alive and not stopping, as staying, and how many of these may be
// given services, as ready.
func (n *Node) remainingMembers() (ready, staying int) {
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
	holders := n.leases.holders(now)
	fresh := n.CheckFresh() == nil
	status := operator.Status{Node: n.self.ID, Zone: n.self.Zone, Fresh: fresh, StoreUp: n.relay.StoreUp(),
		ConfigVersion: v.configVersion, FleetRevision: v.fleetRevision}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range sortedKeys(v.nodes) {
		s := operator.NodeStatus{VM: id, Zone: v.nodes[id].Zone, Alive: n.alive(id, now), Stopping: n.stopping(id)}
		if id == n.self.ID {
			s.Fresh, s.ConfigVersion, s.FleetRevision, s.HeardAt = fresh, v.configVersion, v.fleetRevision, time.Now()
			s.Owned = sortedKeys(n.owned)
		} else {
			if p := n.peers[id]; p != nil {
				s.Fresh, s.ConfigVersion, s.FleetRevision, s.HeardAt = p.fresh, p.versions[0], p.versions[1], p.lastHeardWall
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

// sleep waits for d and returns true, or returns false if ctx ends before.
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
