package member

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of the lease protocol.
const (
	// LeaseTime is how long an acknowledgement binds the peer that gave it, counted from the receipt of the claim.
	LeaseTime = 2 * time.Second
	// leaseMargin shortens a lease on the claimant's side, because the clocks of the nodes may run at different rates.
	leaseMargin = 200 * time.Millisecond
	// FreshLimit is the maximum age of a valid confirmation of a document.
	FreshLimit = 2 * time.Second
	// settleTime is how long a replaced member set stays in force. After FreshLimit every fresh peer knows the new set.
	// LeaseTime later every acknowledgement given under the old set has expired. A node does not know the sets before
	// its own if it has just started or was not fresh when it learned the set. For settleTime it then acknowledges no
	// new claimant and acquires nothing.
	settleTime = FreshLimit + LeaseTime + leaseMargin
)

// instant is a reading of the node's monotonic clock, as the time since the process started.
type instant = time.Duration

// incarnation is one run of a node's process.
type incarnation struct{ vm, bootID string }

// matches reports whether other is this incarnation. A successor that was named by its predecessor has no boot
// identifier yet and matches any incarnation of its VM.
func (i incarnation) matches(other incarnation) bool {
	return i.vm == other.vm && (i.bootID == "" || i.bootID == other.bootID)
}

// memberSet is a set of nodes that decides by majority.
type memberSet struct {
	vms  []string // sorted
	hash uint64
}

func newMemberSet(vms []string) memberSet {
	vms = slices.Clone(vms)
	slices.Sort(vms)
	h := xxhash.New()
	for _, vm := range vms {
		_, _ = h.WriteString(vm)
		_, _ = h.Write([]byte{0})
	}
	return memberSet{vms: vms, hash: h.Sum64()}
}

func (s memberSet) majority() int { return len(s.vms)/2 + 1 }

// majorityTime returns the latest time t such that a majority of the set has a time of at least t. Times before
// earliest do not count. It returns 0 if fewer members than a majority have a time that counts.
func (s memberSet) majorityTime(times map[string]instant, earliest instant) instant {
	known := make([]instant, 0, len(s.vms))
	for _, vm := range s.vms {
		if t, ok := times[vm]; ok && t >= earliest {
			known = append(known, t)
		}
	}
	if len(s.vms) == 0 || len(known) < s.majority() {
		return 0
	}
	slices.Sort(known)
	return known[len(known)-s.majority()]
}

// pastSet is a replaced member set. It stays in force for settleTime, in which an owner needs its majority as well.
type pastSet struct {
	memberSet
	until instant
}

// lease is what a node knows about the lease of one service.
type lease struct {
	// holder is the node whose claim this node has acknowledged until holderUntil. predecessor is the owner that named
	// the holder as its successor, if one did.
	holder, predecessor incarnation
	holderUntil         instant

	// acks and currentAcks hold, for each peer, the send time of the newest claim that the peer acknowledged.
	// currentAcks counts only acknowledgements by peers that were fresh and had the same member set. Claims sent before
	// notBefore do not count.
	acks, currentAcks map[string]instant
	notBefore         instant
	// handoverUntil is the instant up to which a handover from the predecessor to this node is valid.
	handoverUntil instant
	// releaseTo is the successor that heartbeats name until releaseUntil.
	releaseTo    string
	releaseUntil instant

	// term increases with each acquisition by this node.
	term uint64
	// ownedUntil is the instant up to which this node owns the service. It is read without the lock.
	ownedUntil atomic.Int64
}

// leaseTable is the state machine of all leases on one node. It does no I/O and reads no clock. Its methods are safe
// for concurrent use, and owns takes no lock.
//
// Two nodes never own a service at the same time as long as documents that count as fresh are at most FreshLimit
// behind. An owner has acknowledgements, sent within the lease time, from a majority of its member set and of each set
// that it left within settleTime. If two owners share one of these sets, their majorities share a peer, which
// acknowledges one holder at a time. Otherwise the set of one of the two was replaced at least settleTime minus the
// lease time ago, and no fresh peer acknowledges claims under that set any more.
//
// This also assumes that a VM that leaves the platform's list has stopped. Suppose that the list drops the majority of
// the members while these still run, cannot read the platform and are cut off from the other nodes. They then keep
// their leases by their exemptions, while the other nodes elect owners among themselves.
type leaseTable struct {
	self incarnation

	mu  sync.Mutex
	set memberSet
	// unsettledSince is when this node last learned a member set without knowing the sets before it. This is its first
	// set, or one that it learned while it was not fresh.
	unsettledSince instant
	hasSet         bool
	past           []pastSet
	lastSequence   map[incarnation]uint64 // highest sequence number received from each incarnation

	byService sync.Map // service -> *lease
}

func newLeaseTable(self incarnation) *leaseTable {
	return &leaseTable{self: self, lastSequence: map[incarnation]uint64{}}
}

func (t *leaseTable) lease(service string) *lease {
	if l, ok := t.byService.Load(service); ok {
		return l.(*lease)
	}
	l, _ := t.byService.LoadOrStore(service, &lease{acks: map[string]instant{}, currentAcks: map[string]instant{}})
	return l.(*lease)
}

// owns reports whether this node owns the service at the given instant.
func (t *leaseTable) owns(service string, now instant) bool {
	l, ok := t.byService.Load(service)
	return ok && now < instant(l.(*lease).ownedUntil.Load())
}

// setMembers sets the member set. fresh reports whether the node was fresh just before it learned the set. If it was
// not, it may have missed sets in between, and it gives up the services that it owns.
func (t *leaseTable) setMembers(now instant, set memberSet, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasSet && set.hash == t.set.hash {
		return
	}
	if t.hasSet {
		t.past = append(t.past, pastSet{t.set, now + settleTime})
	}
	if !fresh || !t.hasSet {
		t.unsettledSince = now
		t.eachLease(func(_ string, l *lease) { l.ownedUntil.Store(0) })
	}
	t.set, t.hasSet = set, true
	t.eachLease(func(_ string, l *lease) { t.updateOwnedUntil(now, l) })
}

func (t *leaseTable) eachLease(visit func(service string, l *lease)) {
	t.byService.Range(func(service, l any) bool {
		visit(service.(string), l.(*lease))
		return true
	})
}

// settledFor reports whether this node has been settled for at least the given delay.
func (t *leaseTable) settledFor(now, delay instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settled(now - delay)
}

// settled reports whether the node knows every member set that may be in force. The caller holds mu.
func (t *leaseTable) settled(now instant) bool { return t.hasSet && now >= t.unsettledSince+settleTime }

// acknowledgeOwn acknowledges the node's own claims in the heartbeat that it sends at now, and returns the hash of the
// member set. The releases for the same heartbeat must be read after this call, because a claim cancels the release of
// its service.
func (t *leaseTable) acknowledgeOwn(now instant, services []string, fresh bool) (memberHash uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, service := range services {
		l := t.lease(service)
		l.releaseUntil = 0 // Heartbeats that still name a successor would undo this claim.
		if t.acknowledge(now, l, t.self, true, fresh) {
			t.recordAck(now, l, t.self.vm, now, fresh)
		}
	}
	return t.set.hash
}

// acknowledge records the claimant as holder and returns true, or refuses the claim.
func (t *leaseTable) acknowledge(now instant, l *lease, claimant incarnation, sameSet, fresh bool) bool {
	if now < l.holderUntil {
		if !l.holder.matches(claimant) {
			return false
		}
	} else if !fresh || !sameSet || !t.settled(now) {
		return false
	} else {
		l.predecessor = incarnation{}
	}
	l.holder, l.holderUntil = claimant, max(l.holderUntil, now+LeaseTime)
	return true
}

// recordAck records a peer's acknowledgement of a claim that this node sent at sent. current reports whether the peer
// was fresh and had the same member set.
func (t *leaseTable) recordAck(now instant, l *lease, peer string, sent instant, current bool) {
	if sent < l.notBefore {
		return
	}
	l.acks[peer] = max(l.acks[peer], sent)
	if current {
		l.currentAcks[peer] = max(l.currentAcks[peer], sent)
	}
	t.updateOwnedUntil(now, l)
}

// updateOwnedUntil sets the instant up to which this node owns the service.
func (t *leaseTable) updateOwnedUntil(now instant, l *lease) {
	t.past = slices.DeleteFunc(t.past, func(p pastSet) bool { return now >= p.until })
	earliest := l.notBefore
	owned := now < instant(l.ownedUntil.Load())
	handedOver := now < l.handoverUntil && t.settled(now)
	if !owned && !handedOver {
		earliest = max(earliest, t.unsettledSince+settleTime)
	}
	ackedTime := t.set.majorityTime(l.currentAcks, earliest)
	for _, p := range t.past {
		ackedTime = min(ackedTime, p.majorityTime(l.acks, earliest))
	}
	until := instant(0)
	if ackedTime > 0 {
		until = ackedTime + LeaseTime - leaseMargin
	}
	if !owned && until > now {
		l.term++
	}
	l.ownedUntil.Store(int64(until))
}

// ping is the part of a heartbeat that the state machine needs.
type ping struct {
	from       incarnation
	sequence   uint64
	memberHash uint64
	claims     []string
	releases   map[string]string // service -> successor
}

// handlePing processes a peer's heartbeat and returns the services whose claims it acknowledges. A heartbeat that is
// not newer than the last one of its incarnation changes nothing.
func (t *leaseTable) handlePing(now instant, p ping, fresh bool) (acknowledged []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.from.vm == t.self.vm || p.sequence <= t.lastSequence[p.from] {
		return nil
	}
	t.lastSequence[p.from] = p.sequence
	for service, successor := range p.releases {
		t.transfer(now, t.lease(service), p.from, successor)
	}
	sameSet := t.hasSet && p.memberHash == t.set.hash
	for _, service := range p.claims {
		if t.acknowledge(now, t.lease(service), p.from, sameSet, fresh) {
			acknowledged = append(acknowledged, service)
		}
	}
	return acknowledged
}

// transfer moves the acknowledgement from a holder to the successor that it names.
func (t *leaseTable) transfer(now instant, l *lease, from incarnation, successor string) {
	if now < l.holderUntil && l.holder.matches(from) && l.holder.vm != successor {
		l.holder, l.predecessor, l.holderUntil = incarnation{vm: successor}, from, now+LeaseTime
	}
}

// handleReply records the acknowledgements in the reply to a heartbeat that was sent at sent.
func (t *leaseTable) handleReply(now instant, peer string, sent instant, sameSet, peerFresh bool, acknowledged []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, service := range acknowledged {
		t.recordAck(now, t.lease(service), peer, sent, sameSet && peerFresh)
	}
}

// release gives a service up in favour of the successor. Acknowledgements that are still in flight no longer count.
func (t *leaseTable) release(now instant, service, successor string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lease(service)
	l.ownedUntil.Store(0)
	clear(l.acks)
	clear(l.currentAcks)
	l.notBefore, l.handoverUntil = now+1, 0
	l.releaseTo, l.releaseUntil = successor, now+LeaseTime
	t.transfer(now, l, t.self, successor)
}

// acceptHandover records that the predecessor has handed the service over. It returns false unless this node itself has
// seen the predecessor release the service, because a late handover must not be used.
func (t *leaseTable) acceptHandover(now instant, service string, from incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lease(service)
	if now >= l.holderUntil || l.holder.vm != t.self.vm || l.predecessor != from {
		return false
	}
	l.handoverUntil = now + LeaseTime
	return true
}

// releases returns, by service, the successors to name in the next heartbeat.
func (t *leaseTable) releases(now instant) map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	successors := map[string]string{}
	t.eachLease(func(service string, l *lease) {
		if now < l.releaseUntil {
			successors[service] = l.releaseTo
		}
	})
	return successors
}

// holders returns, by service, the VM whose claim this node has acknowledged.
func (t *leaseTable) holders(now instant) map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	holders := map[string]string{}
	t.eachLease(func(service string, l *lease) {
		if now < l.holderUntil {
			holders[service] = l.holder.vm
		}
	})
	return holders
}

// ownership describes how this node owns a service.
type ownership struct {
	term       uint64
	handedOver bool
}

// owned returns the services that this node owns.
func (t *leaseTable) owned(now instant) map[string]ownership {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := map[string]ownership{}
	t.eachLease(func(service string, l *lease) {
		if now < instant(l.ownedUntil.Load()) {
			services[service] = ownership{l.term, now < l.handoverUntil}
		}
	})
	return services
}

// hasHandover reports whether a handover of the service to this node is still valid.
func (t *leaseTable) hasHandover(service string, now instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.lease(service).handoverUntil
}

// mayAcquire reports whether this node may acquire services, also by handover.
func (t *leaseTable) mayAcquire(now instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settled(now)
}

// pastMembers returns the VMs of the replaced sets that are still in force.
func (t *leaseTable) pastMembers(now instant) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	vms := map[string]bool{}
	for _, p := range t.past {
		for _, vm := range p.vms {
			if now < p.until {
				vms[vm] = true
			}
		}
	}
	return vms
}

// memberHash returns the hash of the current member set.
func (t *leaseTable) memberHash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.set.hash
}
