package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const simService = "lookup"

// simNode is one node of the simulated tier. Its clock runs at its own rate.
type simNode struct {
	id       string
	rate     float64
	leases   *leaseTable
	bootAt   time.Duration
	boot     int
	sequence uint64
	setIndex int // of the member set that the node holds, -1 for none
	// confirmed is the instant, on the node's clock, at which the newest read that confirmed setIndex began.
	confirmed    instant
	pausedUntil  time.Duration
	wantsService bool
}

// sim simulates nodes, a platform and a network with faults under one clock.
type sim struct {
	rng          *rand.Rand
	now          time.Duration
	nodes        []*simNode
	sets         []memberSet
	platformDown bool // the platform answers no node
	queue        []simMessage
	loss         float64
	delay        time.Duration
	partitioned  map[string]bool // nodes on one side of a partition
	noPlatform   map[string]bool // nodes that cannot read the platform
	counts       map[string]int
	owner        string
}

type simMessage struct {
	at       time.Duration
	from, to string
	boot     int // boot of the receiver that the message is for; 0 for any
	deliver  func(n *simNode)
}

func newSim(seed uint64, nodes int, loss float64, delay time.Duration) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 0)), loss: loss, delay: delay, partitioned: map[string]bool{},
		noPlatform: map[string]bool{}, counts: map[string]int{}}
	var all []string
	for i := range nodes {
		n := &simNode{id: fmt.Sprint("n", i), rate: 0.99 + 0.02*s.rng.Float64()}
		s.nodes = append(s.nodes, n)
		all = append(all, n.id)
		s.restart(n)
	}
	s.sets = []memberSet{newMemberSet(all)}
	return s
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

func (s *sim) clock(n *simNode) instant { return instant(float64(s.now-n.bootAt) * n.rate) }

func (s *sim) restart(n *simNode) {
	n.boot++
	n.leases = newLeaseTable(incarnation{n.id, fmt.Sprint(n.boot)})
	n.bootAt, n.sequence, n.setIndex, n.pausedUntil, n.wantsService = s.now-time.Second, 0, -1, 0, false
	n.confirmed = -time.Hour
}

// fresh models the freshness check. A node is exempt while the platform is down for all nodes and no node holds a newer
// set.
func (s *sim) fresh(n *simNode) bool {
	if n.setIndex < 0 {
		return false
	}
	if s.clock(n)-n.confirmed <= FreshLimit {
		return true
	}
	for _, other := range s.nodes {
		if other.setIndex > n.setIndex {
			return false
		}
	}
	return s.platformDown
}

func (s *sim) send(from, to string, boot int, deliver func(*simNode)) {
	for range 1 + s.rng.IntN(2)*s.rng.IntN(2) { // sometimes twice
		if s.chance(s.loss) {
			continue
		}
		delay := time.Duration(s.rng.Int64N(int64(s.delay)))
		if s.chance(0.02) {
			delay += time.Duration(s.rng.Int64N(int64(5 * time.Second)))
		}
		s.queue = append(s.queue, simMessage{s.now + delay, from, to, boot, deliver})
	}
}

func (s *sim) node(id string) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// deliver delivers the messages that are due. A paused node gets them when it resumes.
func (s *sim) deliver() {
	queue := s.queue
	s.queue = nil
	for _, m := range queue {
		n := s.node(m.to)
		switch {
		case m.at > s.now || n.pausedUntil > s.now:
			s.queue = append(s.queue, m)
		case s.partitioned[m.from] != s.partitioned[m.to] || (m.boot != 0 && m.boot != n.boot):
		default:
			m.deliver(n)
		}
	}
}

// readPlatform reads the newest set from the platform. The answer arrives later.
func (s *sim) readPlatform(n *simNode) {
	if s.platformDown || s.noPlatform[n.id] {
		return
	}
	began, newest := s.clock(n), len(s.sets)-1
	s.send(n.id, n.id, n.boot, func(n *simNode) {
		fresh := s.fresh(n)
		if newest > n.setIndex {
			n.leases.setMembers(s.clock(n), s.sets[newest], fresh)
			n.setIndex = newest
		}
		if newest == n.setIndex {
			n.confirmed = max(n.confirmed, began)
		}
	})
}

func (s *sim) heartbeat(n *simNode) {
	now := s.clock(n)
	fresh := s.fresh(n)
	var claims []string
	if fresh && (n.wantsService || n.leases.owns(simService, now) || n.leases.hasHandover(simService, now)) {
		claims = []string{simService}
	}
	memberHash := n.leases.acknowledgeOwn(now, claims, fresh)
	releases := n.leases.releases(now)
	n.sequence++
	p := ping{from: n.leases.self, sequence: n.sequence, memberHash: memberHash, claims: claims, releases: releases}
	boot := n.boot
	for _, peer := range s.nodes {
		if peer == n {
			continue
		}
		s.send(n.id, peer.id, 0, func(peer *simNode) {
			peerFresh := s.fresh(peer)
			acknowledged := peer.leases.handlePing(s.clock(peer), p, peerFresh)
			sameSet := peer.leases.memberHash() == memberHash
			s.send(peer.id, n.id, boot, func(n *simNode) {
				n.leases.handleReply(s.clock(n), peer.id, now, sameSet, peerFresh, acknowledged)
			})
		})
	}
}

// handOver releases the service to another node and sends it the state of the slots.
func (s *sim) handOver(n *simNode) {
	to := s.nodes[s.rng.IntN(len(s.nodes))]
	if to == n || !n.leases.owns(simService, s.clock(n)) {
		return
	}
	n.leases.release(s.clock(n), simService, to.id)
	n.wantsService = false
	s.heartbeat(n)
	from := n.leases.self
	s.send(n.id, to.id, 0, func(to *simNode) {
		if to.leases.acceptHandover(s.clock(to), simService, from) {
			s.counts["handovers"]++
			s.heartbeat(to)
		}
	})
}

// step advances the clock by a random time, delivers messages and lets random events happen.
func (s *sim) step() {
	s.now += time.Duration(s.rng.Int64N(int64(120 * time.Millisecond)))
	s.deliver()
	for _, n := range s.nodes {
		if n.pausedUntil > s.now {
			continue
		}
		if s.chance(0.5) {
			s.readPlatform(n)
		}
		if s.chance(0.5) {
			s.heartbeat(n)
		}
		switch {
		case s.chance(0.004):
			s.restart(n)
			s.counts["restarts"]++
		case s.chance(0.004):
			n.pausedUntil = s.now + time.Duration(s.rng.Int64N(int64(6*time.Second)))
		case s.chance(0.02):
			n.wantsService = !n.wantsService
		case s.chance(0.05):
			s.handOver(n)
		}
	}
	s.injectFaults()
}

func (s *sim) injectFaults() {
	switch {
	case s.chance(0.01):
		s.partitioned = map[string]bool{}
		for _, n := range s.nodes {
			s.partitioned[n.id] = s.chance(0.4)
		}
	case s.chance(0.02):
		clear(s.partitioned)
	case s.chance(0.004):
		s.platformDown = !s.platformDown
	case s.chance(0.01):
		s.noPlatform = map[string]bool{s.nodes[s.rng.IntN(len(s.nodes))].id: true}
	case s.chance(0.02):
		clear(s.noPlatform)
	case !s.platformDown && s.chance(0.015):
		var members []string
		for _, n := range s.nodes {
			if s.chance(0.5) {
				members = append(members, n.id)
			}
		}
		if len(members) > 0 {
			s.sets = append(s.sets, newMemberSet(members))
			s.counts["sets"]++
		}
	}
}

// owners returns the nodes that pass the ownership check now.
func (s *sim) owners() (owners []string) {
	for _, n := range s.nodes {
		if n.leases.owns(simService, s.clock(n)) {
			owners = append(owners, fmt.Sprint(n.id, "/", n.boot))
		}
	}
	if len(owners) == 1 && owners[0] != s.owner {
		s.owner = owners[0]
		s.counts["owners"]++
	}
	return owners
}

// Guards against a lease that counts acknowledgements that must not count, or that lasts longer than it may.
func TestAcknowledgementRules(t *testing.T) {
	const sent = settleTime + time.Second
	self, members := incarnation{"n1", "b"}, newMemberSet([]string{"n1", "n2", "n3"})
	claimAcknowledged := func(table *leaseTable, sent instant, sameSet, fresh bool) {
		table.acknowledgeOwn(sent, []string{simService}, true)
		for _, peer := range []string{"n2", "n3"} {
			table.handleReply(sent+100*time.Millisecond, peer, sent, sameSet, fresh, []string{simService})
		}
	}
	const lease = 1800 * time.Millisecond                                     // the lease time less the margin
	grown := newMemberSet([]string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}) // a majority is 4
	other := newMemberSet([]string{"n1", "n4", "n5"})
	tests := []struct {
		name string
		act  func(table *leaseTable)
		want instant // end of the lease, 0 for none
	}{
		{"majority", func(table *leaseTable) { claimAcknowledged(table, sent, true, true) }, sent + lease},
		{"own only", func(table *leaseTable) { table.acknowledgeOwn(sent, []string{simService}, true) }, 0},
		{"peer is not fresh", func(table *leaseTable) { claimAcknowledged(table, sent, true, false) }, 0},
		{"peer has another set", func(table *leaseTable) { claimAcknowledged(table, sent, false, true) }, 0},
		{"sent before the set has settled", func(table *leaseTable) { claimAcknowledged(table, settleTime-1, true, true) }, 0},
		{"sent before a release", func(table *leaseTable) {
			table.acknowledgeOwn(sent, []string{simService}, true)
			table.release(sent, simService, "n3")
			table.handleReply(sent+1, "n2", sent, true, true, []string{simService})
			table.handleReply(sent+1, "n3", sent, true, true, []string{simService})
		}, 0},
		{"set grows, new majority is missing", func(table *leaseTable) {
			claimAcknowledged(table, sent, true, true)
			table.setMembers(sent+time.Second, grown, true)
		}, 0},
		{"set changes, old majority is missing", func(table *leaseTable) {
			claimAcknowledged(table, sent, true, true)
			table.handleReply(sent+1, "n4", sent, true, true, []string{simService})
			table.setMembers(sent+1, other, true)
			table.acknowledgeOwn(sent+time.Second, []string{simService}, true)
			table.handleReply(sent+time.Second, "n4", sent+time.Second, true, true, []string{simService})
		}, sent + lease},
		{"set changes while not fresh", func(table *leaseTable) {
			claimAcknowledged(table, sent, true, true)
			table.setMembers(sent+time.Second, newMemberSet([]string{"n1", "n2"}), false)
		}, 0},
		{"set shrinks", func(table *leaseTable) {
			claimAcknowledged(table, sent, true, true)
			table.setMembers(sent+time.Second, newMemberSet([]string{"n1", "n2"}), true)
		}, sent + lease},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newLeaseTable(self)
			table.setMembers(0, members, true)
			test.act(table)
			ownedUntil := instant(table.lease(simService).ownedUntil.Load())
			qt.Assert(t, ownedUntil, qt.Equals, test.want)
			qt.Assert(t, table.owns(simService, test.want), qt.IsFalse)
			qt.Assert(t, table.owns(simService, max(0, test.want-1)), qt.Equals, test.want > 0)
		})
	}
}

// Guards against a peer that acknowledges two claimants, or one that it must not acknowledge yet.
func TestPeerRules(t *testing.T) {
	const now = settleTime + time.Second
	members := newMemberSet([]string{"n1", "n2", "n3"})
	claims := func(vm, boot string, sequence uint64) ping {
		return ping{from: incarnation{vm, boot}, sequence: sequence, memberHash: members.hash, claims: []string{simService}}
	}
	release := func(sequence uint64) ping {
		return ping{from: incarnation{"n2", "a"}, sequence: sequence, releases: map[string]string{simService: "n3"}}
	}
	otherSet := claims("n3", "a", 1)
	otherSet.memberHash++
	tests := []struct {
		name   string
		at     instant
		before []ping // received at now
		p      ping
		fresh  bool
		want   bool
	}{
		{"first claim", now, nil, claims("n3", "a", 1), true, true},
		{"just started", settleTime - 1, nil, claims("n3", "a", 1), true, false},
		{"not fresh", now, nil, claims("n3", "a", 1), false, false},
		{"other set", now, nil, otherSet, true, false},
		{"held", now + LeaseTime - 1, []ping{claims("n2", "a", 1)}, claims("n3", "a", 1), true, false},
		{"expired", now + LeaseTime, []ping{claims("n2", "a", 1)}, claims("n3", "a", 1), true, true},
		{"another run of the holder", now, []ping{claims("n2", "a", 1)}, claims("n2", "b", 1), true, false},
		{"holder renews while not fresh", now, []ping{claims("n2", "a", 1)}, claims("n2", "a", 2), false, true},
		{"repeated", now, []ping{claims("n2", "a", 1)}, claims("n2", "a", 1), true, false},
		{"released to the claimant", now, []ping{claims("n2", "a", 1), release(2)}, claims("n3", "a", 1), true, true},
		{"released, then an older claim", now, []ping{claims("n2", "a", 1), release(3)}, claims("n2", "a", 2), true, false},
		{"release by another node", now, []ping{claims("n1", "a", 1), release(2)}, claims("n3", "a", 1), true, false},
		{"late release after a new claim", now, []ping{claims("n2", "a", 5), release(2)}, claims("n3", "a", 1), true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newLeaseTable(incarnation{"n0", "a"})
			table.setMembers(0, members, true)
			for _, p := range test.before {
				table.handlePing(now, p, true)
			}
			qt.Assert(t, len(table.handlePing(test.at, test.p, test.fresh)) == 1, qt.Equals, test.want)
		})
	}
}

// Guards against a node that claims a service again while its heartbeats still name a successor. A peer would move its
// acknowledgement to the successor while the node counts the acknowledgement for itself.
func TestClaimCancelsRelease(t *testing.T) {
	table := newLeaseTable(incarnation{"n1", "a"})
	table.release(1, simService, "n2")
	qt.Assert(t, table.releases(2), qt.DeepEquals, map[string]string{simService: "n2"})
	table.acknowledgeOwn(2, []string{simService}, true)
	qt.Assert(t, table.releases(2), qt.HasLen, 0)
}

// Guards against two nodes that pass the ownership check of one service at the same time. The faults are lost, late and
// repeated heartbeats, pauses, restarts, clocks at different rates, partitions, changes of the member set, outages of
// the platform and planned handovers.
func TestOneOwner(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		nodes := rapid.IntRange(1, 6).Draw(t, "nodes")
		loss := rapid.Float64Range(0, 0.4).Draw(t, "loss")
		delay := time.Duration(rapid.IntRange(1, 400).Draw(t, "delay_ms")) * time.Millisecond
		s := newSim(seed, nodes, loss, delay)
		for i := range 1500 {
			s.step()
			if owners := s.owners(); len(owners) > 1 {
				t.Fatalf("step %d, %v: owners %v", i, s.now, owners)
			}
		}
		total["runs"]++
		for name, n := range s.counts {
			total[name] += n
		}
	})
	t.Log(total)
	// Runs without these events would prove nothing. Each event must occur more than once in two runs on average. rapid
	// makes 100 runs, or 20 with -short.
	for _, name := range []string{"owners", "handovers", "restarts", "sets"} {
		qt.Check(t, 2*total[name] > total["runs"], qt.IsTrue, qt.Commentf("%s: %d", name, total[name]))
	}
}
