// Package crashes finds requests that crash the leaves that run them, and refuses them on all nodes for a while.
//
// A request that breaks off is a suspect once its leaf's entry is gone or that of another start. That a leaf resets connections
// says nothing: one with a long queue does so too. Nodes tell each other of each such crash. A request is refused after crashes in
// two attempts of callers and of three leaves, unless a leaf has answered it since the first: an innocent request that ran beside
// the guilty one, or on leaves that were lost together, is answered when it comes again, if only by one of the services that it
// is gathered from.
package crashes

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/exchange"
	"cyclamenstream/api/registry"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/decision"
)

const (
	// QuarantinePeriod is how long a request is refused, and how long a crash is remembered.
	QuarantinePeriod = 10 * time.Minute
	// minAttempts and minLeaves are the attempts and leaves whose crashes make a request refused.
	minAttempts = 2
	minLeaves   = 3
	// downWithin is how long after a request broke off its leaf may turn out to be down: the entry of a leaf that has crashed
	// is gone after three heartbeats.
	downWithin = 10 * time.Second
	// retell and retellFor repeat a crash to the other nodes, since datagrams may be lost.
	retell    = time.Second
	retellFor = 3 * time.Second
	// maxBroken and maxSuspects bound memory to about 1 MB; what is beyond them is not followed.
	maxBroken   = 4096
	maxSuspects = 1024
)

// Fingerprint stands for what a request asks, the same whenever a caller sends it again.
func Fingerprint(r *exchange.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		// A hash takes every write.
		_, _ = d.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Config is what a List works with.
type Config struct {
	Peers cluster.Crashes
	// Addresses returns where the other nodes listen.
	Addresses func() []string
	Log       *decision.Log
	Now       func() time.Time
}

// Detector holds the suspects. It is safe for concurrent use.
type Detector struct {
	config Config
	// watching is the number of suspects and of requests in broken: while there are none, answers cost no lock.
	watching atomic.Int64

	mu       sync.Mutex
	broken   map[start][]brokenOff
	pending  map[uint64]int // entries of broken by request
	count    int            // entries of broken
	suspects map[uint64]*suspect
}

// start names one start of a leaf.
type start struct {
	leaf string
	boot int64
}

// brokenOff is a request that broke off at a leaf.
type brokenOff struct {
	request uint64
	attempt string
	at      time.Time
}

type suspect struct {
	attempts map[string]bool
	leaves   map[start]bool
	until    time.Time
	// own holds the crashes that this node has found, and until when it tells others.
	own       []cluster.Crash
	tellUntil time.Time
}

func (s *suspect) guilty() bool { return len(s.attempts) >= minAttempts && len(s.leaves) >= minLeaves }

// New returns an empty list.
func New(c Config) *Detector {
	return &Detector{config: c, broken: map[start][]brokenOff{}, pending: map[uint64]int{}, suspects: map[uint64]*suspect{}}
}

// Run takes the crashes that other nodes have found, and repeats this node's own, until ctx ends.
func (l *Detector) Run(ctx context.Context) {
	ticker := time.NewTicker(retell)
	defer ticker.Stop()
	for {
		select {
		case c := <-l.config.Peers.Crashes():
			l.hear(c)
		case <-ticker.C:
			l.sweep()
		case <-ctx.Done():
			return
		}
	}
}

// Check returns an error with verdict "not run" for a request that is refused.
func (l *Detector) Check(request uint64) error {
	if l.watching.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[request]
	if s == nil || !s.guilty() || l.config.Now().After(s.until) {
		return nil
	}
	return verdict.Refusef(verdict.CodeQuarantined, "the request has crashed %d leaves in %d attempts", len(s.leaves), len(s.attempts))
}

// Interrupted notes that a request broke off at a leaf that may have run it.
func (l *Detector) Interrupted(request uint64, attempt string, leaf registry.Leaf) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count == maxBroken {
		return
	}
	l.count++
	l.pending[request]++
	l.watch()
	at := start{leaf.ID, leaf.Boot}
	l.broken[at] = append(l.broken[at], brokenOff{request, attempt, l.config.Now()})
}

// LeafDown notes that the registry has lost a leaf, or knows another start of it, and suspects the requests that broke off there of late.
func (l *Detector) LeafDown(leaf registry.Leaf) {
	at := start{leaf.ID, leaf.Boot}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	for _, b := range l.broken[at] {
		if now.Sub(b.at) > downWithin {
			continue
		}
		c := cluster.Crash{Fingerprint: b.request, Attempt: b.attempt, Leaf: at.leaf, Boot: at.boot}
		if s := l.add(c, "own"); s != nil {
			s.own, s.tellUntil = append(s.own, c), now.Add(retellFor)
			l.config.Peers.SendCrash(l.config.Addresses(), c)
		}
	}
	l.drop(at, every)
}

// drop forgets what broke off at a leaf, of the given requests.
func (l *Detector) drop(at start, which func(brokenOff) bool) {
	kept := slices.DeleteFunc(l.broken[at], func(b brokenOff) bool {
		if !which(b) {
			return false
		}
		l.count--
		if l.pending[b.request]--; l.pending[b.request] == 0 {
			delete(l.pending, b.request)
		}
		return true
	})
	l.broken[at] = kept
	if len(kept) == 0 {
		delete(l.broken, at)
	}
	l.watch()
}

func every(brokenOff) bool { return true }

func (l *Detector) watch() { l.watching.Store(int64(len(l.suspects) + l.count)) }

// Answered notes that a leaf has answered a request: it does not crash the leaves that run it.
func (l *Detector) Answered(request uint64) {
	if l.watching.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending[request] > 0 {
		for at := range l.broken {
			l.drop(at, func(b brokenOff) bool { return b.request == request })
		}
	}
	if l.suspects[request] == nil {
		return
	}
	l.forget(request, "answered")
	l.config.Peers.SendCrash(l.config.Addresses(), cluster.Crash{Fingerprint: request, Answered: true})
}

func (l *Detector) hear(c cluster.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.Answered {
		l.add(c, "peer")
		return
	}
	if l.suspects[c.Fingerprint] != nil {
		l.forget(c.Fingerprint, "answered at another node")
	}
}

// add notes a crash and returns its suspect; nil if the crash is known already, or there are too many suspects.
func (l *Detector) add(c cluster.Crash, source string) *suspect {
	s := l.suspects[c.Fingerprint]
	if s == nil {
		if len(l.suspects) == maxSuspects {
			return nil
		}
		s = &suspect{attempts: map[string]bool{}, leaves: map[start]bool{}}
		l.suspects[c.Fingerprint] = s
		l.watch()
	}
	at := start{c.Leaf, c.Boot}
	if s.leaves[at] && s.attempts[c.Attempt] {
		return nil
	}
	s.leaves[at], s.attempts[c.Attempt] = true, true
	s.until = l.config.Now().Add(QuarantinePeriod)
	outcome := "suspected"
	if s.guilty() {
		outcome = "refused from now on"
	}
	l.config.Log.Warn("crash", "request", c.Attempt, "digest", c.Fingerprint, "leaf", c.Leaf, "boot", c.Boot, "attempts", len(s.attempts),
		"leaves", len(s.leaves), "source", source, "outcome", outcome)
	return s
}

func (l *Detector) forget(request uint64, why string) {
	delete(l.suspects, request)
	l.watch()
	l.config.Log.Info("crash", "digest", request, "outcome", "no longer suspected: "+why)
}

// sweep forgets what is old and tells the other nodes again what is new.
func (l *Detector) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	for at := range l.broken {
		l.drop(at, func(b brokenOff) bool { return now.Sub(b.at) > downWithin })
	}
	for request, s := range l.suspects {
		if now.After(s.until) {
			l.forget(request, "long ago")
			continue
		}
		if now.After(s.tellUntil) {
			continue
		}
		for _, c := range s.own {
			l.config.Peers.SendCrash(l.config.Addresses(), c)
		}
	}
}
