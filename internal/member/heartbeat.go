package member

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
	"cyclamenstream/gen/peerpb"
	"cyclamenstream/internal/relay"
)

// sendHeartbeats sends a heartbeat to every other member. The returned channel receives the VM identifier of each
// member that replies and is closed when all calls have ended.
func (n *Node) sendHeartbeats(ctx context.Context) <-chan string {
	request, sent, members := n.buildPing()
	listed := n.view.Load().fleetRevision > 0
	answered := make(chan string, len(members))
	done := make(chan struct{}, len(members))
	for _, vm := range members {
		n.work.Go(func() {
			defer func() { done <- struct{}{} }()
			ctx, cancel := context.WithTimeout(ctx, pingTimeout)
			defer cancel()
			n.pings.Inc(1)
			reply, err := n.transport.Ping(ctx, vm, request)
			if err != nil || reply.Vm != vm.ID {
				n.pingErrors.Inc(1)
				return
			}
			n.handleReply(vm, sent, request.MemberSet, reply)
			answered <- vm.ID
		})
	}
	n.work.Go(func() {
		for range members {
			<-done
		}
		if listed {
			n.relay.MarkPeersAsked()
		}
		close(answered)
	})
	return answered
}

// buildPing builds the next heartbeat. Its send time is taken before the first byte is sent.
func (n *Node) buildPing() (request *peerpb.PingRequest, sent instant, members []platform.VM) {
	n.heartbeatMu.Lock()
	defer n.heartbeatMu.Unlock()
	sent = n.now()
	fresh := n.CheckFresh() == nil
	services := n.servicesToClaim(sent, fresh)
	memberHash := n.leases.acknowledgeOwn(sent, services, fresh)
	n.sequence++
	stamp := n.clock.Stamp()
	request = &peerpb.PingRequest{
		Vm: n.self.ID, BootId: n.bootID, Sequence: n.sequence, Stopping: n.shuttingDown.Load(), MemberSet: memberHash,
		Documents: n.relay.Versions(), Quarantine: n.exportQuarantine(),
		StampWallMs: stamp.WallMillis, StampCounter: stamp.Counter, Fresh: fresh, Ready: n.ready(sent, fresh),
	}
	for _, service := range services {
		request.Claims = append(request.Claims, &peerpb.Claim{Service: service})
	}
	for service, successor := range n.leases.releases(sent) {
		request.Claims = append(request.Claims, &peerpb.Claim{Service: service, ReleaseTo: successor})
	}
	return request, sent, n.heartbeatTargets(sent)
}

// heartbeatTargets returns the other members, and those of replaced sets whose acknowledgement an owner still needs.
func (n *Node) heartbeatTargets(now instant) (vms []platform.VM) {
	v := n.view.Load()
	past := n.leases.pastMembers(now)
	for id, vm := range v.nodes {
		if id != n.self.ID && (past[id] || v.isMember(id)) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// ready reports whether this node may be given services. Without a majority it could not acquire them.
func (n *Node) ready(now instant, fresh bool) bool {
	return fresh && n.hasMajority.Load() && !n.shuttingDown.Load() && n.leases.mayAcquire(now)
}

// handleReply processes the reply to a heartbeat.
func (n *Node) handleReply(from platform.VM, sent instant, memberHash uint64, reply *peerpb.PingReply) {
	n.clock.Observe(event.Stamp{WallMillis: reply.StampWallMs, Counter: reply.StampCounter})
	n.importQuarantine(reply.Quarantine)
	n.relay.HandleVersions(from, n.epoch.Add(sent), reply.Documents)
	now := n.now()
	n.leases.handleReply(now, from.ID, sent, reply.MemberSet == memberHash, reply.Fresh, reply.Acknowledged)
	n.updateFromReply(from, sent, now, reply)
	n.refreshView()
	n.updateExemptions()
	n.syncOwned(now)
}

func (n *Node) updateFromReply(from platform.VM, sent, now instant, reply *peerpb.PingReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peer(from.ID)
	if sent < p.lastHeard {
		return
	}
	p.bootID, p.lastHeard, p.lastHeardWall, p.fresh = reply.BootId, sent, time.Now(), reply.Fresh
	p.holders = map[string]string{}
	for _, h := range reply.Holders {
		p.holders[h.Service] = h.Vm
	}
	p.acknowledged = map[string]bool{}
	for _, service := range reply.Acknowledged {
		p.acknowledged[service] = true
	}
	for _, d := range reply.Documents {
		if i := documentIndex(d.Key); i >= 0 {
			p.versions[i] = d.Version
			p.confirmed[i] = sent - time.Duration(d.ConfirmedAgeMs)*time.Millisecond
			if d.ConfirmedAgeMs < 0 {
				p.confirmed[i] = now - 2*FreshLimit
			}
		}
	}
	n.updateFlags(p, now, reply.Stopping, reply.Ready)
	if !p.up {
		p.up = true
		n.recorder.Record(event.Event{Kind: event.MemberUp, VM: from.ID})
		n.signalMemberChange()
	}
}

// updateFlags updates a peer's flags and the time since when it is alive and ready. The caller holds mu.
func (n *Node) updateFlags(p *peer, now instant, stopping, ready bool) {
	if ready && (!p.ready || !p.up) {
		p.readySince = now
	}
	if stopping != p.stopping {
		n.signalMemberChange()
	}
	p.stopping, p.ready = stopping, ready
}

func documentIndex(key string) int {
	return slices.Index([]string{config.Key, relay.FleetKey}, key)
}

// HandlePing answers a peer's heartbeat.
func (n *Node) HandlePing(_ context.Context, request *peerpb.PingRequest) (*peerpb.PingReply, error) {
	n.clock.Observe(event.Stamp{WallMillis: request.StampWallMs, Counter: request.StampCounter})
	n.importQuarantine(request.Quarantine)
	if from, known := n.view.Load().nodes[request.Vm]; known {
		n.relay.HandleVersions(from, time.Time{}, request.Documents)
	}
	p := ping{from: incarnation{request.Vm, request.BootId}, sequence: request.Sequence, memberHash: request.MemberSet,
		releases: map[string]string{}}
	for _, c := range request.Claims {
		if c.ReleaseTo != "" {
			p.releases[c.Service] = c.ReleaseTo
		} else {
			p.claims = append(p.claims, c.Service)
		}
	}
	now := n.now()
	fresh := n.CheckFresh() == nil
	acknowledged := n.leases.handlePing(now, p, fresh)
	n.updateFromPing(request, now)
	if len(p.releases) > 0 {
		n.updateOwnerHints(now)
	}
	reply := n.pingReply(now, fresh, acknowledged)
	reply.Holders = n.holdersFor(request, acknowledged, now)
	return reply, nil
}

// holdersFor returns the holders that the sender of a ping cannot learn from the owners' own pings. These are all
// holders while the sender is not ready or not a member, else the holders of the services whose claims this node
// refuses. Sending all holders in each reply would double the traffic.
func (n *Node) holdersFor(request *peerpb.PingRequest, acknowledged []string, now instant) (holders []*peerpb.Holder) {
	all := !request.Ready || !n.view.Load().isMember(request.Vm)
	refused := map[string]bool{}
	for _, c := range request.Claims {
		refused[c.Service] = !slices.Contains(acknowledged, c.Service)
	}
	for service, vm := range n.leases.holders(now) {
		if all || refused[service] {
			holders = append(holders, &peerpb.Holder{Service: service, Vm: vm})
		}
	}
	return holders
}

func (n *Node) updateFromPing(request *peerpb.PingRequest, now instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[request.Vm]; p != nil && p.bootID == request.BootId {
		n.updateFlags(p, now, request.Stopping, request.Ready)
	}
}

func (n *Node) pingReply(now instant, fresh bool, acknowledged []string) *peerpb.PingReply {
	stamp := n.clock.Stamp()
	return &peerpb.PingReply{
		Vm: n.self.ID, BootId: n.bootID, MemberSet: n.leases.memberHash(), Acknowledged: acknowledged,
		Documents: n.relay.Versions(), Quarantine: n.exportQuarantine(),
		StampWallMs: stamp.WallMillis, StampCounter: stamp.Counter,
		Stopping: n.shuttingDown.Load(), Fresh: fresh, Ready: n.ready(now, fresh),
	}
}

// HandleGetDocument serves a document to a peer.
func (n *Node) HandleGetDocument(_ context.Context, request *peerpb.GetDocumentRequest) (*peerpb.GetDocumentReply, error) {
	return n.relay.HandleGetDocument(request), nil
}

func (n *Node) exportQuarantine() []*peerpb.QuarantineEntry {
	if q := n.quarantine.Load(); q != nil {
		return (*q).Export()
	}
	return nil
}

func (n *Node) importQuarantine(entries []*peerpb.QuarantineEntry) {
	if q := n.quarantine.Load(); q != nil && len(entries) > 0 {
		(*q).Import(entries)
	}
}

// refreshView rebuilds the view if there are newer documents and updates its confirmation times. It reads the
// confirmation times first, so that the view is at least as new as what they confirm.
func (n *Node) refreshView() {
	n.viewMu.Lock()
	defer n.viewMu.Unlock()
	configConfirmed, fleetConfirmed := n.relay.Confirmed()
	doc, fleet := n.relay.Current(), n.relay.Fleet()
	now, old := n.now(), n.view.Load()
	if doc != nil && doc.Version > old.configVersion || fleet != nil && fleet.Revision > old.fleetRevision {
		next := newView(doc, fleet, old, now)
		if fleet != nil {
			n.leases.setMembers(now, next.set, n.CheckFresh() == nil)
		}
		n.view.Store(next)
		n.mu.Lock()
		n.signalMemberChange()
		n.mu.Unlock()
	}
	n.viewConfirmed.Store(&[2]instant{configConfirmed.Sub(n.epoch), fleetConfirmed.Sub(n.epoch)})
}

// updatePeers marks the members that are no longer heard from as down, updates readySince and decides whether this node
// watches the store and the list of VMs.
func (n *Node) updatePeers(now instant) {
	v := n.view.Load()
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, p := range n.peers {
		if p.up && !n.alive(id, now) {
			p.up, p.ready = false, false
			n.recorder.Record(event.Event{Kind: event.MemberDown, VM: id})
			n.signalMemberChange()
		}
		if _, listed := v.nodes[id]; !listed && !p.up {
			delete(n.peers, id)
		}
	}
	if !n.ready(now, n.CheckFresh() == nil) {
		n.readySince = 0
	} else if n.readySince == 0 {
		n.readySince = now
	}
	n.relay.SetWatching(n.isWatcher(v, now))
}

// isWatcher reports whether this node is one of the watcherCount live members that rank first. A node that is not a
// member yet watches as well.
func (n *Node) isWatcher(v *view, now instant) bool {
	if !v.isMember(n.self.ID) {
		return true
	}
	own, higher := rank(relay.FleetKey, n.self.ID), 0
	for _, vm := range v.members {
		if vm.ID != n.self.ID && n.alive(vm.ID, now) && rank(relay.FleetKey, vm.ID) > own {
			higher++
		}
	}
	return higher < watcherCount
}

// updateExemptions computes the exemption of each document.
func (n *Node) updateExemptions() {
	v := n.view.Load()
	own := [2]uint64{v.configVersion, v.fleetRevision}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	majorityHeard := v.set.majorityTime(n.lastHeardTimes(v, now), max(1, now-majorityWindow))
	n.hasMajority.Store(majorityHeard > 0)
	for i := range n.exemptions {
		e := &exemption{until: majorityHeard + majorityWindow}
		if majorityHeard == 0 {
			e.until = 0
		}
		for _, vm := range v.members {
			p := n.peers[vm.ID]
			if p == nil || vm.ID == n.self.ID || now-p.lastHeard > majorityWindow {
				continue
			}
			e.from = max(e.from, p.confirmed[i]+FreshLimit)
			if p.versions[i] > own[i] {
				e.until = 0 // An accepted change has not reached this node yet.
			}
		}
		n.exemptions[i].Store(e)
	}
}

func (n *Node) recordFresh() {
	fresh := n.CheckFresh() == nil
	if n.recordedFresh.Swap(fresh) == fresh {
		return
	}
	kind := event.NodeStale
	if fresh {
		kind = event.NodeFresh
	}
	n.recorder.Record(event.Event{Kind: kind, VM: n.self.ID})
}

// peer returns the entry of a VM and creates it if there is none. The caller holds mu.
func (n *Node) peer(vm string) *peer {
	p := n.peers[vm]
	if p == nil {
		p = &peer{lastHeard: -LeaseTime}
		n.peers[vm] = p
	}
	return p
}

// alive reports whether the VM was heard from within the lease time. The caller holds mu.
func (n *Node) alive(vm string, now instant) bool {
	if vm == n.self.ID {
		return true
	}
	p := n.peers[vm]
	return p != nil && p.bootID != "" && now-p.lastHeard < LeaseTime
}

func (n *Node) stopping(vm string) bool {
	if vm == n.self.ID {
		return n.shuttingDown.Load()
	}
	p := n.peers[vm]
	return p != nil && p.stopping
}

// signalMemberChange wakes those who wait for a change of members or leaves. The caller holds mu.
func (n *Node) signalMemberChange() {
	close(n.membersChanged)
	n.membersChanged = make(chan struct{})
}

// eligibleOwners returns the members in service that may own services. They are alive, ready and not stopping, and
// other members have been ready since the given instant or longer. The caller holds mu.
func (n *Node) eligibleOwners(v *view, now, since instant) []platform.VM {
	var vms []platform.VM
	for _, vm := range v.members {
		if vm.State != platform.StateLive {
			continue
		}
		if vm.ID == n.self.ID {
			if n.ready(now, n.recordedFresh.Load()) {
				vms = append(vms, vm)
			}
			continue
		}
		p := n.peers[vm.ID]
		if n.alive(vm.ID, now) && p.ready && !p.stopping && p.readySince <= since {
			vms = append(vms, vm)
		}
	}
	return vms
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, cmp.Compare)
	return keys
}
