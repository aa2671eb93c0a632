package member

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of the lease protocol.
const (
	// LeaseTime is how long an acknowledgement binds the peer that gave it, from the receipt of the claim.
	LeaseTime = 2 * time.Second
	// leaseMargin shortens a lease on the claimant's side, for clocks that run at different rates.
	leaseMargin = 200 * time.Millisecond
	// FreshLimit is the age up to which a confirmation of the documents counts.
	FreshLimit = 2 * time.Second
	// settleTime is the time for which a replaced member set stays in force: after FreshLimit every fresh peer knows the
	// new set, after LeaseTime every acknowledgement given under the old one has expired. A node that does not know the
	// sets before its own, after its start or a time without news, acknowledges no new claimant and acquires nothing for
	// that long.
	settleTime = FreshLimit + LeaseTime + leaseMargin
)

// instant is a reading of the node's monotonic clock, as the time since the process started.
type instant = time.Duration

// identity is one run of a node.
type identity struct{ vm, boot string }

// matches reports whether other is this run. A successor named by its predecessor has no boot identifier yet.
func (i identity) matches(other identity) bool {
	return i.vm == other.vm && (i.boot == "" || i.boot == other.boot)
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

// reached returns the latest time t such that a majority has a time of at least t, 0 if there is none.
func (s memberSet) reached(times map[string]instant, floor instant) instant {
	known := make([]instant, 0, len(s.vms))
	for _, vm := range s.vms {
		if t, ok := times[vm]; ok && t >= floor {
			known = append(known, t)
		}
	}
	if len(s.vms) == 0 || len(known) < s.majority() {
		return 0
	}
	slices.Sort(known)
	return known[len(known)-s.majority()]
}

// pastSet is a replaced member set. It stays in force for settleTime: an owner needs its majority as well.
type pastSet struct {
	memberSet
	until instant
}

// lease is what a node knows of one service's lease.
type lease struct {
	// holder is the node whose claim this node has acknowledged until holderUntil. from is the predecessor that named
	// the holder, if one did.
	holder, from identity
	holderUntil  instant

	// promised and agreed hold, for each peer, when the newest claim was sent that the peer acknowledged; agreed only
	// those for which the peer was fresh and had the same member set. Claims sent before notBefore do not count.
	promised, agreed map[string]instant
	notBefore        instant
	// inherited says that the predecessor handed the service over to this node, until inheritedUntil.
	inheritedUntil instant
	// releaseTo names the successor in heartbeats until releaseUntil.
	releaseTo    string
	releaseUntil instant

	// term grows with each acquisition by this node.
	term uint64
	// ownedUntil is the instant up to which this node owns the service. It is read without the lock.
	ownedUntil atomic.Int64
}

// ledger is the state machine of all leases on one node. It does no I/O and reads no clock. Its methods are safe for
// concurrent use; owns takes no lock.
//
// Two nodes never own a service at the same time as long as documents that count as fresh are at most FreshLimit
// behind: an owner has acknowledgements, sent within the lease time, of a majority of its member set and of each set
// that it left within settleTime. If two owners share one of these sets, their majorities share a peer, which
// acknowledges one holder at a time. If not, one of the two has a set that was replaced at least settleTime minus the
// lease time ago, and no fresh peer acknowledges it any more.
//
// This also assumes that a VM that leaves the platform's list has stopped. If the list drops the majority of the members
// while these run, cannot read the platform and are cut off from the rest, they keep their leases by the store-down rule
// while the rest elects owners among itself.
type ledger struct {
	self identity

	mu  sync.Mutex
	set memberSet
	// unsettled is the last time that the member set was changed by a node that was not fresh, or first set.
	unsettled instant
	hasSet    bool
	past      []pastSet
	seen      map[identity]uint64 // highest sequence of the pings received

	leases sync.Map // service -> *lease
}

func newLedger(self identity) *ledger {
	return &ledger{self: self, seen: map[identity]uint64{}}
}

func (g *ledger) lease(service string) *lease {
	if l, ok := g.leases.Load(service); ok {
		return l.(*lease)
	}
	l, _ := g.leases.LoadOrStore(service, &lease{promised: map[string]instant{}, agreed: map[string]instant{}})
	return l.(*lease)
}

// owns reports whether this node owns the service at the given instant.
func (g *ledger) owns(service string, now instant) bool {
	l, ok := g.leases.Load(service)
	return ok && now < instant(l.(*lease).ownedUntil.Load())
}

// setMembers takes in a member set. fresh says whether the node was fresh just before it learned the set; if not, the
// sets that it has missed in between are not known and it gives up what it owns.
func (g *ledger) setMembers(now instant, set memberSet, fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hasSet && set.hash == g.set.hash {
		return
	}
	if g.hasSet {
		g.past = append(g.past, pastSet{g.set, now + settleTime})
	}
	if !fresh || !g.hasSet {
		g.unsettled = now
		g.eachLease(func(_ string, l *lease) { l.ownedUntil.Store(0) })
	}
	g.set, g.hasSet = set, true
	g.eachLease(func(_ string, l *lease) { g.recompute(now, l) })
}

func (g *ledger) eachLease(visit func(service string, l *lease)) {
	g.leases.Range(func(service, l any) bool {
		visit(service.(string), l.(*lease))
		return true
	})
}

// mayClaim reports whether this node acknowledges new claimants since at least delay.
func (g *ledger) mayClaim(now, delay instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settled(now - delay)
}

// settled reports whether the node knows every member set that may be in force.
func (g *ledger) settled(now instant) bool { return g.hasSet && now >= g.unsettled+settleTime }

// claim begins a heartbeat at now, its time of sending: the node acknowledges its own claims. The releases to be told
// must be read after it.
func (g *ledger) claim(now instant, services []string, fresh bool) (hash uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, service := range services {
		l := g.lease(service)
		l.releaseUntil = 0 // A release that is still being told would undo this claim.
		if g.promise(now, l, g.self, true, fresh) {
			g.credit(now, l, g.self.vm, now, fresh)
		}
	}
	return g.set.hash
}

// promise acknowledges the claimant's claim or refuses it.
func (g *ledger) promise(now instant, l *lease, claimant identity, sameSet, fresh bool) bool {
	if now < l.holderUntil {
		if !l.holder.matches(claimant) {
			return false
		}
	} else if !fresh || !sameSet || !g.settled(now) {
		return false
	} else {
		l.from = identity{}
	}
	l.holder, l.holderUntil = claimant, max(l.holderUntil, now+LeaseTime)
	return true
}

// credit notes an acknowledgement of a claim that this node sent at sent.
func (g *ledger) credit(now instant, l *lease, peer string, sent instant, agreed bool) {
	if sent < l.notBefore {
		return
	}
	l.promised[peer] = max(l.promised[peer], sent)
	if agreed {
		l.agreed[peer] = max(l.agreed[peer], sent)
	}
	g.recompute(now, l)
}

// recompute sets the instant up to which this node owns the service.
func (g *ledger) recompute(now instant, l *lease) {
	g.past = slices.DeleteFunc(g.past, func(p pastSet) bool { return now >= p.until })
	floor := l.notBefore
	owned := now < instant(l.ownedUntil.Load())
	inherits := now < l.inheritedUntil && g.settled(now)
	if !owned && !inherits {
		floor = max(floor, g.unsettled+settleTime)
	}
	reached := g.set.reached(l.agreed, floor)
	for _, p := range g.past {
		reached = min(reached, p.reached(l.promised, floor))
	}
	until := instant(0)
	if reached > 0 {
		until = reached + LeaseTime - leaseMargin
	}
	if !owned && until > now {
		l.term++
	}
	l.ownedUntil.Store(int64(until))
}

// ping is the part of a heartbeat that the state machine needs.
type ping struct {
	from     identity
	sequence uint64
	hash     uint64
	claims   []string
	releases map[string]string // service -> successor
}

// receive takes in a peer's heartbeat and returns the services whose claims it acknowledges. A heartbeat that is not
// newer than the last one of that run changes nothing.
func (g *ledger) receive(now instant, p ping, fresh bool) (acknowledged []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.from.vm == g.self.vm || p.sequence <= g.seen[p.from] {
		return nil
	}
	g.seen[p.from] = p.sequence
	for service, successor := range p.releases {
		g.transfer(now, g.lease(service), p.from, successor)
	}
	sameSet := g.hasSet && p.hash == g.set.hash
	for _, service := range p.claims {
		if g.promise(now, g.lease(service), p.from, sameSet, fresh) {
			acknowledged = append(acknowledged, service)
		}
	}
	return acknowledged
}

// transfer passes the acknowledgement of a holder on to the successor that it names.
func (g *ledger) transfer(now instant, l *lease, from identity, successor string) {
	if now < l.holderUntil && l.holder.matches(from) && l.holder.vm != successor {
		l.holder, l.from, l.holderUntil = identity{vm: successor}, from, now+LeaseTime
	}
}

// answered takes in the reply to a heartbeat that was sent at sent with the given hash.
func (g *ledger) answered(now instant, peer string, sent instant, sameSet, peerFresh bool, acknowledged []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, service := range acknowledged {
		g.credit(now, g.lease(service), peer, sent, sameSet && peerFresh)
	}
}

// release gives a service up in favour of the successor. Acknowledgements under way no longer count.
func (g *ledger) release(now instant, service, successor string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lease(service)
	l.ownedUntil.Store(0)
	clear(l.promised)
	clear(l.agreed)
	l.notBefore, l.inheritedUntil = now+1, 0
	l.releaseTo, l.releaseUntil = successor, now+LeaseTime
	g.transfer(now, l, g.self, successor)
}

// inherit notes that the predecessor has handed the service over. It reports false unless this node itself has seen
// the predecessor release it: a late message must not be used.
func (g *ledger) inherit(now instant, service string, from identity) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lease(service)
	if now >= l.holderUntil || l.holder.vm != g.self.vm || l.from != from {
		return false
	}
	l.inheritedUntil = now + LeaseTime
	return true
}

// releases returns the successors to name in the next heartbeat.
func (g *ledger) releases(now instant) map[string]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	named := map[string]string{}
	g.eachLease(func(service string, l *lease) {
		if now < l.releaseUntil {
			named[service] = l.releaseTo
		}
	})
	return named
}

// holders returns, by service, the VM whose claim this node has acknowledged.
func (g *ledger) holders(now instant) map[string]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := map[string]string{}
	g.eachLease(func(service string, l *lease) {
		if now < l.holderUntil {
			held[service] = l.holder.vm
		}
	})
	return held
}

// tenure is the ownership of a service by this node.
type tenure struct {
	term      uint64
	inherited bool
}

// owned returns the services that this node owns.
func (g *ledger) owned(now instant) map[string]tenure {
	g.mu.Lock()
	defer g.mu.Unlock()
	services := map[string]tenure{}
	g.eachLease(func(service string, l *lease) {
		if now < instant(l.ownedUntil.Load()) {
			services[service] = tenure{l.term, now < l.inheritedUntil}
		}
	})
	return services
}

// inherits reports whether the service was handed over to this node and is not acquired or expired yet.
func (g *ledger) inherits(service string, now instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now < g.lease(service).inheritedUntil
}

// steady reports whether this node may acquire services and be given some.
func (g *ledger) steady(now instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settled(now)
}

// pastMembers returns the VMs of the replaced sets that are still in force.
func (g *ledger) pastMembers(now instant) map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	vms := map[string]bool{}
	for _, p := range g.past {
		for _, vm := range p.vms {
			if now < p.until {
				vms[vm] = true
			}
		}
	}
	return vms
}

// memberHash returns the hash of the member set in force.
func (g *ledger) memberHash() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.hash
}
