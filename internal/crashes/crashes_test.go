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

// network carries crashes between the nodes of a test and loses the first ones.
type network struct {
	mu    sync.Mutex
	nodes []chan cluster.Crash
	lose  int
}

type port struct {
	*network
	self int
}

func (p port) Crashes() <-chan cluster.Crash { return p.nodes[p.self] }

func (p port) SendCrash(_ []string, c cluster.Crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lose > 0 {
		p.lose--
		return
	}
	for i, to := range p.nodes {
		if i != p.self {
			to <- c
		}
	}
}

// tier is the lists of two nodes.
type tier struct {
	*qt.C
	net   *network
	nodes []*Detector
	boots int64
}

func play(t *testing.T, check func(*tier)) {
	synctest.Test(t, func(t *testing.T) {
		w := &tier{C: qt.New(t), net: &network{}}
		ctx, cancel := context.WithCancel(context.Background())
		log := decision.New(io.Discard, "n", "z")
		for range 2 {
			w.net.nodes = append(w.net.nodes, make(chan cluster.Crash, 64))
		}
		for i := range 2 {
			l := New(Config{Peers: port{w.net, i}, Addresses: func() []string { return nil }, Log: log, Now: time.Now})
			w.nodes = append(w.nodes, l)
			go l.Run(ctx)
		}
		check(w)
		cancel()
		synctest.Wait()
		log.Close(time.Second)
	})
}

// crash lets a request break off at a leaf of its own, which turns out to be down.
func (w *tier) crash(node int, request uint64, attempt string) {
	w.boots++
	leaf := registry.Leaf{ID: fmt.Sprintf("l%d", w.boots), Boot: w.boots}
	w.nodes[node].Interrupted(request, attempt, leaf)
	w.nodes[node].LeafDown(leaf)
	synctest.Wait()
}

func (w *tier) refused(request uint64) []bool {
	synctest.Wait()
	var list []bool
	for _, l := range w.nodes {
		err := l.Check(request)
		if err != nil {
			w.Check(verdict.Of(err).IsNotRun(), qt.IsTrue)
			w.Check(verdict.CodeOf(err), qt.Equals, verdict.CodeQuarantined)
		}
		list = append(list, err != nil)
	}
	return list
}

// Guards against a request that crashes one leaf after the other because each node sees only some of the crashes.
func TestCrashesOfAllNodesCount(t *testing.T) {
	play(t, func(w *tier) {
		w.crash(0, 7, "a1")
		w.crash(0, 7, "a1")
		w.Assert(w.refused(7), qt.DeepEquals, []bool{false, false})
		w.crash(1, 7, "a2")
		w.Assert(w.refused(7), qt.DeepEquals, []bool{true, true})
		w.Assert(w.refused(8), qt.DeepEquals, []bool{false, false})
		time.Sleep(QuarantinePeriod + 2*time.Second)
		w.Assert(w.refused(7), qt.DeepEquals, []bool{false, false})
	})
}

// Guards against a crash that only one node knows of because a datagram was lost.
func TestLostCrashIsToldAgain(t *testing.T) {
	play(t, func(w *tier) {
		w.net.lose = 3
		for i := range 3 {
			w.crash(0, 7, fmt.Sprintf("a%d", i%2))
		}
		w.Assert(w.refused(7), qt.DeepEquals, []bool{true, false})
		time.Sleep(retell + 10*time.Millisecond)
		w.Assert(w.refused(7), qt.DeepEquals, []bool{true, true})
	})
}

// Guards against a request that a leaf answers before another one's loss is known.
func TestAnsweredBeforeTheLossIsKnown(t *testing.T) {
	play(t, func(w *tier) {
		for i := range 5 {
			leaf := registry.Leaf{ID: "l", Boot: int64(i)}
			w.nodes[0].Interrupted(7, fmt.Sprintf("a%d", i), leaf)
			w.nodes[0].Answered(7)
			w.nodes[0].LeafDown(leaf)
		}
		w.Assert(w.refused(7), qt.DeepEquals, []bool{false, false})
		w.Assert(w.nodes[0].watching.Load(), qt.Equals, int64(0))
	})
}

// Guards against innocent requests that are refused: those that ran beside the guilty one, those on leaves that only lost the
// connection, and those of one attempt on leaves that were all lost together.
func TestInnocentRequests(t *testing.T) {
	play(t, func(w *tier) {
		for i := range 5 {
			w.crash(i%2, 7, fmt.Sprintf("a%d", i))
			w.nodes[1].Answered(7)
			w.Assert(w.refused(7), qt.DeepEquals, []bool{false, false})
		}
		for i := range 5 {
			w.nodes[0].Interrupted(8, fmt.Sprintf("b%d", i), registry.Leaf{ID: "cut", Boot: int64(i)})
		}
		w.Assert(w.refused(8), qt.DeepEquals, []bool{false, false})
		for range 5 {
			w.crash(0, 9, "one attempt")
		}
		w.Assert(w.refused(9), qt.DeepEquals, []bool{false, false})
	})
}

// Guards against a leaf that goes down long after a request broke off there, of another cause.
func TestLateLossIsNoCrash(t *testing.T) {
	play(t, func(w *tier) {
		for i := range 4 {
			l := registry.Leaf{ID: "l", Boot: int64(i)}
			w.nodes[0].Interrupted(7, fmt.Sprintf("a%d", i), l)
			time.Sleep(downWithin + time.Second)
			w.nodes[0].LeafDown(l)
		}
		w.Assert(w.refused(7), qt.DeepEquals, []bool{false, false})
		w.Assert(w.nodes[0].count, qt.Equals, 0)
	})
}

// Guards against requests that differ being taken for the same.
func TestDigest(t *testing.T) {
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
