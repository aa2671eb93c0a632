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
	g        *ledger
	bootAt   time.Duration
	boot     int
	sequence uint64
	index    int // of the member set held, -1 for none
	// confirmed is the instant, on the node's clock, at which a read began that confirmed index.
	confirmed instant
	paused    time.Duration // until this time
	wants     bool
}

// sim runs nodes, a platform and a network with faults under one simulated time.
type sim struct {
	rng    *rand.Rand
	now    time.Duration
	nodes  []*simNode
	sets   []memberSet
	down   bool // the platform answers nobody
	queue  []simMessage
	loss   float64
	delay  time.Duration
	cut    map[string]bool // nodes on one side of a partition
	blind  map[string]bool // nodes that cannot read the platform
	counts map[string]int
	owner  string
}

type simMessage struct {
	at       time.Duration
	from, to string
	boot     int // the run of the receiver that the message is for; 0 for any
	deliver  func(n *simNode)
}

func newSim(seed uint64, nodes int, loss float64, delay time.Duration) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 0)), loss: loss, delay: delay, cut: map[string]bool{},
		blind: map[string]bool{}, counts: map[string]int{}}
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
	n.g = newLedger(identity{n.id, fmt.Sprint(n.boot)})
	n.bootAt, n.sequence, n.index, n.paused, n.wants = s.now-time.Second, 0, -1, 0, false
	n.confirmed = -time.Hour
}

// fresh follows the rule of the design page. A node is excused while the platform is down for all nodes and no node
// holds a newer set.
func (s *sim) fresh(n *simNode) bool {
	if n.index < 0 {
		return false
	}
	if s.clock(n)-n.confirmed <= FreshLimit {
		return true
	}
	for _, other := range s.nodes {
		if other.index > n.index {
			return false
		}
	}
	return s.down
}

func (s *sim) send(from, to string, boot int, deliver func(*simNode)) {
	for range 1 + s.rng.IntN(2)*s.rng.IntN(2) { // sometimes twice
		if s.chance(s.loss) {
			continue
		}
		late := time.Duration(s.rng.Int64N(int64(s.delay)))
		if s.chance(0.02) {
			late += time.Duration(s.rng.Int64N(int64(5 * time.Second)))
		}
		s.queue = append(s.queue, simMessage{s.now + late, from, to, boot, deliver})
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

// deliver hands out the messages that are due. A paused node gets them when it resumes.
func (s *sim) deliver() {
	queue := s.queue
	s.queue = nil
	for _, m := range queue {
		n := s.node(m.to)
		switch {
		case m.at > s.now || n.paused > s.now:
			s.queue = append(s.queue, m)
		case s.cut[m.from] != s.cut[m.to] || (m.boot != 0 && m.boot != n.boot):
		default:
			m.deliver(n)
		}
	}
}

// read asks the platform for the newest set; the answer arrives later.
func (s *sim) read(n *simNode) {
	if s.down || s.blind[n.id] {
		return
	}
	began, index := s.clock(n), len(s.sets)-1
	s.send(n.id, n.id, n.boot, func(n *simNode) {
		fresh := s.fresh(n)
		if index > n.index {
			n.g.setMembers(s.clock(n), s.sets[index], fresh)
			n.index = index
		}
		if index == n.index {
			n.confirmed = max(n.confirmed, began)
		}
	})
}

func (s *sim) heartbeat(n *simNode) {
	now := s.clock(n)
	fresh := s.fresh(n)
	var claims []string
	if fresh && (n.wants || n.g.owns(simService, now) || n.g.inherits(simService, now)) {
		claims = []string{simService}
	}
	hash := n.g.claim(now, claims, fresh)
	releases := n.g.releases(now)
	n.sequence++
	p := ping{from: n.g.self, sequence: n.sequence, hash: hash, claims: claims, releases: releases}
	boot := n.boot
	for _, peer := range s.nodes {
		if peer == n {
			continue
		}
		s.send(n.id, peer.id, 0, func(peer *simNode) {
			peerFresh := s.fresh(peer)
			acknowledged := peer.g.receive(s.clock(peer), p, peerFresh)
			same := peer.g.memberHash() == hash
			s.send(peer.id, n.id, boot, func(n *simNode) {
				n.g.answered(s.clock(n), peer.id, now, same, peerFresh, acknowledged)
			})
		})
	}
}

// handOver releases the service to another node and sends it the state of the slots.
func (s *sim) handOver(n *simNode) {
	to := s.nodes[s.rng.IntN(len(s.nodes))]
	if to == n || !n.g.owns(simService, s.clock(n)) {
		return
	}
	n.g.release(s.clock(n), simService, to.id)
	n.wants = false
	s.heartbeat(n)
	from := n.g.self
	s.send(n.id, to.id, 0, func(to *simNode) {
		if to.g.inherit(s.clock(to), simService, from) {
			s.counts["inherited"]++
			s.heartbeat(to)
		}
	})
}

// step lets some time pass and something happen.
func (s *sim) step() {
	s.now += time.Duration(s.rng.Int64N(int64(120 * time.Millisecond)))
	s.deliver()
	for _, n := range s.nodes {
		if n.paused > s.now {
			continue
		}
		if s.chance(0.5) {
			s.read(n)
		}
		if s.chance(0.5) {
			s.heartbeat(n)
		}
		switch {
		case s.chance(0.004):
			s.restart(n)
			s.counts["restarts"]++
		case s.chance(0.004):
			n.paused = s.now + time.Duration(s.rng.Int64N(int64(6*time.Second)))
		case s.chance(0.02):
			n.wants = !n.wants
		case s.chance(0.05):
			s.handOver(n)
		}
	}
	s.platformFaults()
}

func (s *sim) platformFaults() {
	switch {
	case s.chance(0.01):
		s.cut = map[string]bool{}
		for _, n := range s.nodes {
			s.cut[n.id] = s.chance(0.4)
		}
	case s.chance(0.02):
		clear(s.cut)
	case s.chance(0.004):
		s.down = !s.down
	case s.chance(0.01):
		s.blind = map[string]bool{s.nodes[s.rng.IntN(len(s.nodes))].id: true}
	case s.chance(0.02):
		clear(s.blind)
	case !s.down && s.chance(0.015):
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
		if n.g.owns(simService, s.clock(n)) {
			owners = append(owners, fmt.Sprint(n.id, "/", n.boot))
		}
	}
	if len(owners) == 1 && owners[0] != s.owner {
		s.owner = owners[0]
		s.counts["owners"]++
	}
	return owners
}

// Guards against two nodes that pass the ownership check of one service at the same time, under lost, late and repeated
// heartbeats, pauses, restarts, clocks at different rates, partitions, changes of the member set, outages of the
// platform and planned moves.
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
		for name, n := range s.counts {
			total[name] += n
		}
	})
	t.Log(total)
	// A run in which nobody owns anything would show nothing.
	for _, name := range []string{"owners", "inherited", "restarts", "sets"} {
		qt.Check(t, total[name] > 50, qt.IsTrue, qt.Commentf("%s: %d", name, total[name]))
	}
}
