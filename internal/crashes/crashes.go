// Package crashes detects requests that crash the leaves that run them, and refuses them on all nodes for a while.
//
// A request that was interrupted becomes a suspect when its leaf's entry disappears or shows that the leaf has
// restarted. A reset connection alone does not count, since a leaf with a long queue resets connections too. Nodes send
// each such crash to each other. A request is refused after it has crashed three leaves in two attempts of callers,
// unless a leaf has answered it since the first crash. A harmless request that ran beside a crashing one, or on leaves
// that were lost together, is answered when it is sent again. If it is gathered from several services, the answer of
// one of them is enough.
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
	// minAttempts and minLeaves are the numbers of attempts and of crashed leaves from which a request is refused.
	minAttempts = 2
	minLeaves   = 3
	// crashWindow is how long after a request was interrupted the loss of its leaf counts as a crash. The entry of a
	// crashed leaf disappears after three heartbeats.
	crashWindow = 10 * time.Second
	// A crash is sent to the other nodes again every repeatInterval for repeatFor, since datagrams may be lost.
	repeatInterval = time.Second
	repeatFor      = 3 * time.Second
	// maxInterruptions and maxSuspects bound memory to about 1 MB. Requests beyond these limits are not tracked.
	maxInterruptions = 4096
	maxSuspects      = 1024
)

// Fingerprint returns a hash of a request's content, which is the same whenever a caller sends the request again.
func Fingerprint(r *exchange.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		// Write of a hash returns no error.
		_, _ = d.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Config holds the dependencies of a Detector.
type Config struct {
	Peers cluster.Crashes
	// Addresses returns the addresses at which the other nodes receive crashes.
	Addresses func() []string
	Log       *decision.Log
	Now       func() time.Time
}

// Detector tracks interrupted requests and suspects. It is safe for concurrent use.
type Detector struct {
	config Config
	// tracked is the number of suspects and interruptions. While it is 0, Check and Answered take no lock.
	tracked atomic.Int64

	mu                sync.Mutex
	interruptions     map[leafBoot][]interruption
	pendingByRequest  map[uint64]int // number of interruptions by fingerprint
	interruptionCount int            // number of all interruptions
	suspects          map[uint64]*suspect
}

// leafBoot identifies one boot of a leaf.
type leafBoot struct {
	leaf string
	boot int64
}

// interruption is a request that a leaf may have run and did not answer.
type interruption struct {
	fingerprint uint64
	attempt     string
	at          time.Time
}

type suspect struct {
	attempts map[string]bool
	leaves   map[leafBoot]bool
	until    time.Time
	// ownCrashes holds the crashes that this node has detected. They are sent to the other nodes until repeatUntil.
	ownCrashes  []cluster.Crash
	repeatUntil time.Time
}

func (s *suspect) refused() bool { return len(s.attempts) >= minAttempts && len(s.leaves) >= minLeaves }

// New returns a detector without suspects.
func New(c Config) *Detector {
	return &Detector{config: c, interruptions: map[leafBoot][]interruption{}, pendingByRequest: map[uint64]int{}, suspects: map[uint64]*suspect{}}
}

// Run handles the crashes that other nodes have detected, and repeats this node's own ones, until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	ticker := time.NewTicker(repeatInterval)
	defer ticker.Stop()
	for {
		select {
		case c := <-d.config.Peers.Crashes():
			d.handleCrash(c)
		case <-ticker.C:
			d.sweep()
		case <-ctx.Done():
			return
		}
	}
}

// Check returns an error with verdict "not run" for a request that is refused.
func (d *Detector) Check(fingerprint uint64) error {
	if d.tracked.Load() == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.suspects[fingerprint]
	if s == nil || !s.refused() || d.config.Now().After(s.until) {
		return nil
	}
	return verdict.Refusef(verdict.CodeQuarantined, "the request has crashed %d leaves in %d attempts", len(s.leaves), len(s.attempts))
}

// Interrupted records that a request ended without an answer at a leaf that may have run it.
func (d *Detector) Interrupted(fingerprint uint64, attempt string, leaf registry.Leaf) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.interruptionCount == maxInterruptions {
		return
	}
	d.interruptionCount++
	d.pendingByRequest[fingerprint]++
	d.updateTracked()
	key := leafBoot{leaf.ID, leaf.Boot}
	d.interruptions[key] = append(d.interruptions[key], interruption{fingerprint, attempt, d.config.Now()})
}

// LeafDown records that a leaf's entry has disappeared or shows another boot. Requests that were interrupted there
// recently become suspects.
func (d *Detector) LeafDown(leaf registry.Leaf) {
	key := leafBoot{leaf.ID, leaf.Boot}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Now()
	for _, interrupted := range d.interruptions[key] {
		if now.Sub(interrupted.at) > crashWindow {
			continue
		}
		c := cluster.Crash{Fingerprint: interrupted.fingerprint, Attempt: interrupted.attempt, Leaf: key.leaf, Boot: key.boot}
		if s := d.addCrash(c, "own"); s != nil {
			s.ownCrashes, s.repeatUntil = append(s.ownCrashes, c), now.Add(repeatFor)
			d.config.Peers.SendCrash(d.config.Addresses(), c)
		}
	}
	d.dropInterruptions(key, all)
}

// dropInterruptions removes the matching interruptions at one boot of a leaf.
func (d *Detector) dropInterruptions(key leafBoot, match func(interruption) bool) {
	kept := slices.DeleteFunc(d.interruptions[key], func(interrupted interruption) bool {
		if !match(interrupted) {
			return false
		}
		d.interruptionCount--
		if d.pendingByRequest[interrupted.fingerprint]--; d.pendingByRequest[interrupted.fingerprint] == 0 {
			delete(d.pendingByRequest, interrupted.fingerprint)
		}
		return true
	})
	d.interruptions[key] = kept
	if len(kept) == 0 {
		delete(d.interruptions, key)
	}
	d.updateTracked()
}

func all(interruption) bool { return true }

func (d *Detector) updateTracked() { d.tracked.Store(int64(len(d.suspects) + d.interruptionCount)) }

// Answered records that a leaf has answered a request. The request is then no longer suspected of crashing leaves.
func (d *Detector) Answered(fingerprint uint64) {
	if d.tracked.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pendingByRequest[fingerprint] > 0 {
		for key := range d.interruptions {
			d.dropInterruptions(key, func(interrupted interruption) bool { return interrupted.fingerprint == fingerprint })
		}
	}
	if d.suspects[fingerprint] == nil {
		return
	}
	d.clearSuspect(fingerprint, "answered")
	d.config.Peers.SendCrash(d.config.Addresses(), cluster.Crash{Fingerprint: fingerprint, Answered: true})
}

func (d *Detector) handleCrash(c cluster.Crash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !c.Answered {
		d.addCrash(c, "peer")
		return
	}
	if d.suspects[c.Fingerprint] != nil {
		d.clearSuspect(c.Fingerprint, "answered at another node")
	}
}

// addCrash records a crash and returns its suspect, or nil if the crash is already known or there are too many
// suspects.
func (d *Detector) addCrash(c cluster.Crash, source string) *suspect {
	s := d.suspects[c.Fingerprint]
	if s == nil {
		if len(d.suspects) == maxSuspects {
			return nil
		}
		s = &suspect{attempts: map[string]bool{}, leaves: map[leafBoot]bool{}}
		d.suspects[c.Fingerprint] = s
		d.updateTracked()
	}
	key := leafBoot{c.Leaf, c.Boot}
	if s.leaves[key] && s.attempts[c.Attempt] {
		return nil
	}
	s.leaves[key], s.attempts[c.Attempt] = true, true
	s.until = d.config.Now().Add(QuarantinePeriod)
	outcome := "suspected"
	if s.refused() {
		outcome = "refused from now on"
	}
	d.config.Log.Warn("crash", "request", c.Attempt, "digest", c.Fingerprint, "leaf", c.Leaf, "boot", c.Boot, "attempts", len(s.attempts),
		"leaves", len(s.leaves), "source", source, "outcome", outcome)
	return s
}

func (d *Detector) clearSuspect(fingerprint uint64, reason string) {
	delete(d.suspects, fingerprint)
	d.updateTracked()
	d.config.Log.Info("crash", "digest", fingerprint, "outcome", "no longer suspected: "+reason)
}

// sweep removes expired interruptions and suspects, and sends recent crashes to the other nodes again.
func (d *Detector) sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Now()
	for key := range d.interruptions {
		d.dropInterruptions(key, func(interrupted interruption) bool { return now.Sub(interrupted.at) > crashWindow })
	}
	for fingerprint, s := range d.suspects {
		if now.After(s.until) {
			d.clearSuspect(fingerprint, "long ago")
			continue
		}
		if now.After(s.repeatUntil) {
			continue
		}
		for _, c := range s.ownCrashes {
			d.config.Peers.SendCrash(d.config.Addresses(), c)
		}
	}
}
