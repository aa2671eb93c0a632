// Package crashes detects requests that crash the leaves that run them, and refuses them on all nodes for a while.
//
// A request that was interrupted becomes a suspect when its leaf's entry disappears or shows that the leaf has
// restarted. A reset connection alone does not count, since a leaf with a long queue resets connections too. Nodes send
// each such crash to each other. A request is refused after it has crashed three leaves in two attempts of callers,
// unless a leaf has answered it since the first crash. A harmless request that ran beside a crashing one, or on leaves
// that were lost together, is answered when it is sent again. If it is gathered from several services, the answer of
// one of them is enough.
//
// The registry holds an entry for each refused request, so that nodes which start later refuse it too. All nodes
// together send a refused request to leaves a few times more, as probes. An answer ends the refusal on all nodes.
package crashes

import (
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/exchange"
	"cyclamenstream/api/registry"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/guard"
)

const (
	// QuarantinePeriod is how long a request is refused after its latest crash or probe, and how long a crash is remembered.
	// It is also the time to live of the registry's entries.
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
	// answeredMemory is how long other nodes' reports of crashes are ignored after a leaf has answered the request. They may
	// be sent again until then.
	answeredMemory = repeatFor + 2*time.Second
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
	// Self is the name of this node's VM.
	Self string
	// Registry holds the refused requests. If it is nil, nodes that start later do not know them and none is probed.
	Registry registry.Quarantines
	Peers    cluster.Crashes
	// Addresses returns the addresses at which the other nodes receive crashes.
	Addresses func() []string
	Log       *decision.Log
	Now       func() time.Time
	// Scope counts refusals and probes.
	Scope tally.Scope
	// Guard keeps an unexpected error while entries are written from ending the process.
	Guard guard.Guard
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
	// answered holds the suspects that a leaf has answered recently.
	answered map[uint64]answer
	// epoch is the registry's, and restoredAt the time since which this node knows it.
	epoch      uint64
	restoredAt time.Time

	lease    lease
	counters counters
	// writes receives a signal when entries of the registry may have to be written.
	writes chan struct{}
}

// answer is the answer of a leaf to a suspected request. own is set if it was sent to this node.
type answer struct {
	at  time.Time
	own bool
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

// suspect is a request that has crashed leaves, or that the registry lists as refused.
type suspect struct {
	quarantine
	attempts map[string]bool
	leaves   map[leafBoot]bool
	until    time.Time
	// ownCrashes holds the crashes that this node has detected. They are sent to the other nodes until repeatUntil.
	ownCrashes  []cluster.Crash
	repeatUntil time.Time
}

func newSuspect() *suspect {
	return &suspect{attempts: map[string]bool{}, leaves: map[leafBoot]bool{}}
}

// convicted reports whether the known crashes suffice to refuse the request.
func (s *suspect) convicted() bool {
	return len(s.attempts) >= minAttempts && len(s.leaves) >= minLeaves
}

func (s *suspect) refused() bool { return !s.ended && (s.listed || s.lost || s.convicted()) }

// New returns a detector without suspects.
func New(c Config) *Detector {
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return &Detector{config: c, interruptions: map[leafBoot][]interruption{}, pendingByRequest: map[uint64]int{}, suspects: map[uint64]*suspect{},
		answered: map[uint64]answer{}, counters: newCounters(c.Scope), writes: make(chan struct{}, 1)}
}

// Run handles the crashes that other nodes have detected, repeats this node's own ones, and writes the registry's entries,
// until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	var writing sync.WaitGroup
	defer writing.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // also after a panic
	if d.config.Registry != nil {
		writing.Go(func() { d.config.Guard.Loop(ctx, "quarantine", d.writeEntries) })
	}
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

// Check returns an error with verdict "not run" for a request that is refused. It is called before each send of a request
// that has been admitted.
func (d *Detector) Check(fingerprint uint64) error {
	if d.tracked.Load() == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.refusedSuspect(fingerprint); s != nil {
		return s.refusal()
	}
	return nil
}

// refusedSuspect returns the suspect with the fingerprint if it is refused, or nil.
func (d *Detector) refusedSuspect(fingerprint uint64) *suspect {
	s := d.suspects[fingerprint]
	if s == nil || !s.refused() || !s.listed && d.config.Now().After(s.until) {
		return nil
	}
	return s
}

func (s *suspect) refusal() error {
	return verdict.Refusef(verdict.CodeQuarantined, "the request has crashed leaves (%d in %d attempts known to this node, %d probes)", len(s.leaves), len(s.attempts), s.probes)
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
		if d.addCrash(c, sourceOwn) {
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
	d.dropInterruptionsOf(fingerprint)
	if s := d.suspects[fingerprint]; s == nil || s.ended {
		return
	}
	d.recordAnswer(fingerprint, true)
	d.config.Peers.SendCrash(d.config.Addresses(), cluster.Crash{Fingerprint: fingerprint, Answered: true})
}

func (d *Detector) handleCrash(c cluster.Crash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !c.Answered {
		d.addCrash(c, sourcePeer)
		return
	}
	d.dropInterruptionsOf(c.Fingerprint)
	d.recordAnswer(c.Fingerprint, false)
}

// dropInterruptionsOf removes the interruptions of a request that a leaf has answered.
func (d *Detector) dropInterruptionsOf(fingerprint uint64) {
	if d.pendingByRequest[fingerprint] == 0 {
		return
	}
	for key := range d.interruptions {
		d.dropInterruptions(key, func(interrupted interruption) bool { return interrupted.fingerprint == fingerprint })
	}
}

// recordAnswer ends the suspicion of a request that a leaf has answered. own is set if the answer was sent to this node.
func (d *Detector) recordAnswer(fingerprint uint64, own bool) {
	if len(d.answered) < maxSuspects {
		d.answered[fingerprint] = answer{d.config.Now(), own}
	}
	s := d.suspects[fingerprint]
	if s == nil {
		return
	}
	d.config.Log.Info("crash", "digest", fingerprint, "probes", s.probes, "own", own, "outcome", "no longer suspected: answered")
	if !s.listed {
		d.forget(fingerprint)
		return
	}
	d.endListed(s, own)
}

// The sources of a crash, as the log names them.
const (
	sourceOwn  = "own"
	sourcePeer = "peer"
)

// addCrash records a crash. It returns false if the crash is already known or there are too many suspects.
func (d *Detector) addCrash(c cluster.Crash, source string) bool {
	if a, ok := d.answered[c.Fingerprint]; ok && source != sourceOwn && d.config.Now().Sub(a.at) < answeredMemory {
		return false
	}
	s := d.suspects[c.Fingerprint]
	if s == nil {
		if len(d.suspects) >= maxSuspects {
			return false
		}
		s = newSuspect()
		d.suspects[c.Fingerprint] = s
		d.updateTracked()
	}
	key := leafBoot{c.Leaf, c.Boot}
	if s.leaves[key] && s.attempts[c.Attempt] {
		return false
	}
	s.leaves[key], s.attempts[c.Attempt] = true, true
	now := d.config.Now()
	s.until = now.Add(QuarantinePeriod)
	if source == sourceOwn {
		s.ownCrashes, s.repeatUntil = append(s.ownCrashes, c), now.Add(repeatFor)
	}
	outcome := "suspected"
	if s.convicted() {
		outcome = "refused from now on"
		s.ended = false
		d.planEntry(s)
	}
	d.config.Log.Warn("crash", "request", c.Attempt, "digest", c.Fingerprint, "leaf", c.Leaf, "boot", c.Boot, "attempts", len(s.attempts),
		"leaves", len(s.leaves), "source", source, "outcome", outcome)
	return true
}

func (d *Detector) forget(fingerprint uint64) {
	delete(d.suspects, fingerprint)
	d.updateTracked()
}

// sweep removes expired interruptions and suspects, and sends recent crashes to the other nodes again.
func (d *Detector) sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Now()
	for key := range d.interruptions {
		d.dropInterruptions(key, func(interrupted interruption) bool { return now.Sub(interrupted.at) > crashWindow })
	}
	maps.DeleteFunc(d.answered, func(_ uint64, a answer) bool { return now.Sub(a.at) > answeredMemory })
	for fingerprint, s := range d.suspects {
		if !s.listed && now.After(s.until) {
			d.config.Log.Info("crash", "digest", fingerprint, "outcome", "no longer suspected: long ago")
			d.forget(fingerprint)
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
