package crashes

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/exchange"
	"cyclamenstream/api/registry"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/decision"
)

// network carries crashes between the nodes of a test. It drops the next dropNext sends.
type network struct {
	mu       sync.Mutex
	nodes    []chan cluster.Crash
	dropNext int
}

type endpoint struct {
	*network
	self int
}

func (e endpoint) Crashes() <-chan cluster.Crash { return e.nodes[e.self] }

func (e endpoint) SendCrash(_ []string, c cluster.Crash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dropNext > 0 {
		e.dropNext--
		return
	}
	for i, to := range e.nodes {
		if i != e.self {
			to <- c
		}
	}
}

// nodePair holds the detectors of two nodes.
type nodePair struct {
	*qt.C
	net   *network
	nodes []*Detector
	boots int64
}

func runPair(t *testing.T, check func(*nodePair)) {
	synctest.Test(t, func(t *testing.T) {
		p := &nodePair{C: qt.New(t), net: &network{}}
		ctx, cancel := context.WithCancel(context.Background())
		log := decision.New(io.Discard, "n", "z")
		for range 2 {
			p.net.nodes = append(p.net.nodes, make(chan cluster.Crash, 64))
		}
		for i := range 2 {
			d := New(Config{Peers: endpoint{p.net, i}, Addresses: func() []string { return nil }, Log: log, Now: time.Now})
			p.nodes = append(p.nodes, d)
			go d.Run(ctx)
		}
		check(p)
		cancel()
		synctest.Wait()
		log.Close(time.Second)
	})
}

// crash interrupts a request at a new leaf, which then goes down.
func (p *nodePair) crash(node int, fingerprint uint64, attempt string) {
	p.boots++
	leaf := registry.Leaf{ID: fmt.Sprintf("l%d", p.boots), Boot: p.boots}
	p.nodes[node].Interrupted(fingerprint, attempt, leaf)
	p.nodes[node].LeafDown(leaf)
	synctest.Wait()
}

func (p *nodePair) refused(fingerprint uint64) []bool {
	synctest.Wait()
	var list []bool
	for _, d := range p.nodes {
		err := d.Check(fingerprint)
		if err != nil {
			p.Check(verdict.Of(err).IsNotRun(), qt.IsTrue)
			p.Check(verdict.CodeOf(err), qt.Equals, verdict.CodeQuarantined)
		}
		list = append(list, err != nil)
	}
	return list
}

// Guards against a request that crashes leaf after leaf because each node counts only the crashes that it has
// detected itself.
func TestCrashesOfAllNodesCount(t *testing.T) {
	runPair(t, func(p *nodePair) {
		p.crash(0, 7, "a1")
		p.crash(0, 7, "a1")
		p.Assert(p.refused(7), qt.DeepEquals, []bool{false, false})
		p.crash(1, 7, "a2")
		p.Assert(p.refused(7), qt.DeepEquals, []bool{true, true})
		p.Assert(p.refused(8), qt.DeepEquals, []bool{false, false})
		time.Sleep(QuarantinePeriod + 2*time.Second)
		p.Assert(p.refused(7), qt.DeepEquals, []bool{false, false})
	})
}

// Guards against a crash that only one node knows of because a datagram was lost.
func TestLostCrashIsSentAgain(t *testing.T) {
	runPair(t, func(p *nodePair) {
		p.net.dropNext = 3
		for i := range 3 {
			p.crash(0, 7, fmt.Sprintf("a%d", i%2))
		}
		p.Assert(p.refused(7), qt.DeepEquals, []bool{true, false})
		time.Sleep(repeatInterval + 10*time.Millisecond)
		p.Assert(p.refused(7), qt.DeepEquals, []bool{true, true})
	})
}

// Guards against suspecting a request that was answered before the loss of the leaf that it was interrupted at is
// known.
func TestAnsweredBeforeTheLossIsKnown(t *testing.T) {
	runPair(t, func(p *nodePair) {
		for i := range 5 {
			leaf := registry.Leaf{ID: "l", Boot: int64(i)}
			p.nodes[0].Interrupted(7, fmt.Sprintf("a%d", i), leaf)
			p.nodes[0].Answered(7)
			p.nodes[0].LeafDown(leaf)
		}
		p.Assert(p.refused(7), qt.DeepEquals, []bool{false, false})
		p.Assert(p.nodes[0].tracked.Load(), qt.Equals, int64(0))
	})
}

// Guards against the refusal of harmless requests: those that ran beside a crashing one, those on leaves that only lost
// the connection, and those of one attempt on leaves that were all lost together.
func TestHarmlessRequestsAreNotRefused(t *testing.T) {
	runPair(t, func(p *nodePair) {
		for i := range 5 {
			p.crash(i%2, 7, fmt.Sprintf("a%d", i))
			p.nodes[1].Answered(7)
			p.Assert(p.refused(7), qt.DeepEquals, []bool{false, false})
		}
		for i := range 5 {
			p.nodes[0].Interrupted(8, fmt.Sprintf("b%d", i), registry.Leaf{ID: "cut", Boot: int64(i)})
		}
		p.Assert(p.refused(8), qt.DeepEquals, []bool{false, false})
		for range 5 {
			p.crash(0, 9, "one attempt")
		}
		p.Assert(p.refused(9), qt.DeepEquals, []bool{false, false})
	})
}

// Guards against counting the loss of a leaf as a crash long after a request was interrupted there.
func TestLateLossIsNoCrash(t *testing.T) {
	runPair(t, func(p *nodePair) {
		for i := range 4 {
			leaf := registry.Leaf{ID: "l", Boot: int64(i)}
			p.nodes[0].Interrupted(7, fmt.Sprintf("a%d", i), leaf)
			time.Sleep(crashWindow + time.Second)
			p.nodes[0].LeafDown(leaf)
		}
		p.Assert(p.refused(7), qt.DeepEquals, []bool{false, false})
		p.Assert(p.nodes[0].interruptionCount, qt.Equals, 0)
	})
}

// Guards against equal fingerprints of requests that differ.
func TestFingerprint(t *testing.T) {
	base := exchange.Request{Method: "POST", Host: "a", Target: "/x/", Body: []byte("b")}
	changed := []func(*exchange.Request){
		func(r *exchange.Request) { r.Method = "GET" }, func(r *exchange.Request) { r.Host, r.Target = "a/", "x/" },
		func(r *exchange.Request) { r.Target = "/x/?q" }, func(r *exchange.Request) { r.Body = []byte("c") },
		func(r *exchange.Request) { r.Target, r.Body = "/x/b", nil },
	}
	seen := map[uint64]bool{Fingerprint(&base): true}
	for i, change := range changed {
		r := base
		change(&r)
		qt.Check(t, seen[Fingerprint(&r)], qt.IsFalse, qt.Commentf("case %d", i))
		seen[Fingerprint(&r)] = true
	}
	again := base
	again.ID = "another attempt"
	qt.Check(t, Fingerprint(&again), qt.Equals, Fingerprint(&base))
}
