// Package quarantine finds requests that crash leaves and refuses them on all nodes for a limited time.
//
// A request is identified by the fingerprint of its service and payload. When a session is lost, every request that was
// running on it becomes a suspect at once. A suspect runs alone on a leaf, one call at a time, and is not hedged. The
// suspicion ends when each shard whose call was lost has been answered in this way.
//
// A crash is certain only when the leaf is back with another boot identifier. The same boot identifier shows that only
// the connection was cut, and ends the suspicion. A suspect is quarantined at a further crash if it ran alone or was
// the only suspect on the leaf. If a suspect ran alone and its session was lost too, it is refused provisionally until
// the leaf is back, so that it reaches no third leaf. The first calls of a query over many shards may still reach
// several leaves before the first loss is known.
package quarantine

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/leaf"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/verdict"
	"cyclamenstream/gen/peerpb"
)

const (
	// Period is the time for which a request is refused.
	Period = 10 * time.Minute
	// suspicionPeriod is the time after which a crash is forgotten.
	suspicionPeriod = Period
	// provisionalPeriod is the time for which a suspect is refused without a confirmed second crash. A leaf restarts
	// and is connected again within a few seconds.
	provisionalPeriod = 8 * time.Second
	// provisionalCopyTTL is the time for which a peer keeps a provisional refusal that is not renewed. It is four
	// heartbeat intervals.
	provisionalCopyTTL = time.Second
	// minRemaining is the shortest remaining time with which an entry is imported from a peer. Without it, nodes whose
	// copies expire at slightly different times would pass an entry back and forth without end.
	minRemaining = 5 * time.Second
	// maxEntries bounds memory and the size of heartbeats, which carry about 100 bytes for each entry. A new entry
	// evicts the one that expires first.
	maxEntries = 256
	// maxSuspects and maxCalls bound memory to about 0.2 and 2 MB.
	maxSuspects = 1024
	maxCalls    = 16384
	// maxCrashedVMs bounds the number of leaves that an entry lists.
	maxCrashedVMs = 8
	// crashThreshold is the number of crashes after which a request is quarantined.
	crashThreshold = 2
)

// List tracks the calls that run on leaves, the suspects and the refused requests. It is safe for concurrent use.
type List struct {
	config   config.Source
	recorder event.Recorder

	mu       sync.Mutex
	entries  map[string]*entry
	suspects map[string]*suspect
	calls    map[string]*call
	ended    []endedCall // calls without an answer, oldest first; the crash that ended them may still be reported
}

// entry is a refused request. It is refused provisionally if it has fewer crashes than crashThreshold.
type entry struct {
	service  string
	crashes  int
	vms      []string
	until    time.Time
	lifted   uint64 // the version of the newest lift known at the crash
	imported bool
}

type suspect struct {
	crashes   int // confirmed
	vms       []string
	lostCalls map[string]struct{} // calls whose leaf is not back
	until     time.Time
	lifted    uint64
	turn      chan struct{} // holds a token while a call of the suspect runs
	// shards holds the shards whose call ended with a lost session or a crash and that were not answered since. A
	// request may crash the leaves of one shard only, so an answer of another shard clears nothing.
	shards map[uint32]struct{}
}

type call struct {
	fingerprint string
	service     string
	shard       uint32
	alone       *suspect // whose turn the call holds
	ended       bool     // has ended without an answer
}

type endedCall struct {
	id string
	at time.Time
}

// New returns an empty list. Lifts of a quarantine are read from the configuration document.
func New(source config.Source, recorder event.Recorder) *List {
	return &List{config: source, recorder: recorder, entries: map[string]*entry{}, suspects: map[string]*suspect{},
		calls: map[string]*call{}}
}

// Fingerprint returns the 16 hexadecimal digits that identify requests of the same service and payload.
func (l *List) Fingerprint(service string, payload []byte) string {
	d := xxhash.New()
	d.Write(binary.BigEndian.AppendUint32(nil, uint32(len(service))))
	d.WriteString(service)
	d.Write(payload)
	return fmt.Sprintf("%016x", d.Sum64())
}

// Run handles crashes until ctx ends or the channel is closed.
func (l *List) Run(ctx context.Context, crashes <-chan leaf.Crash) {
	for {
		select {
		case <-ctx.Done():
			return
		case c, ok := <-crashes:
			if !ok {
				return
			}
			l.HandleCrash(c)
		}
	}
}

// Check returns an error with code CodeQuarantined and verdict "not run" for a request that is refused.
func (l *List) Check(fingerprint string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(fingerprint)
}

func (l *List) check(fingerprint string) error {
	e := l.entries[fingerprint]
	if e == nil || !l.valid(fingerprint, e.lifted, e.until) {
		return nil
	}
	reason := fmt.Sprintf("have crashed %d backend servers", e.crashes)
	if e.crashes < crashThreshold {
		reason = "are suspected of having crashed backend servers"
	}
	return verdict.Refusef(verdict.CodeQuarantined, "requests with fingerprint %s to service %q %s and are refused until %s",
		fingerprint, e.service, reason, e.until.UTC().Format(time.RFC3339))
}

// valid reports whether an entry or suspicion has neither expired nor been lifted since.
func (l *List) valid(fingerprint string, lifted uint64, until time.Time) bool {
	return time.Now().Before(until) && l.liftVersion(fingerprint) <= lifted
}

// liftVersion returns the version of the newest known lift of the fingerprint, 0 for none.
func (l *List) liftVersion(fingerprint string) uint64 {
	if d := l.config.Current(); d != nil {
		return d.Lifted[fingerprint]
	}
	return 0
}

// Enter is called before a slot is acquired for a call. It refuses a quarantined request, and makes the calls of a
// suspect wait for their turn until ctx ends. If alone is true, the call must run alone on its leaf and must not be
// hedged.
func (l *List) Enter(ctx context.Context, fingerprint, service, callID string, shard uint32) (alone bool, err error) {
	for {
		l.mu.Lock()
		if err := l.check(fingerprint); err != nil {
			l.mu.Unlock()
			return false, err
		}
		s := l.suspect(fingerprint)
		if s == nil {
			l.calls[callID] = &call{fingerprint: fingerprint, service: service, shard: shard}
			l.mu.Unlock()
			return false, nil
		}
		l.mu.Unlock()
		select {
		case s.turn <- struct{}{}:
		case <-ctx.Done():
			return false, verdict.Refusef(verdict.CodeDeadline,
				"service %q: the request is suspected of crashing backend servers and its turn did not come in time", service)
		}
		l.mu.Lock()
		if l.suspect(fingerprint) == s && l.check(fingerprint) == nil {
			l.calls[callID] = &call{fingerprint: fingerprint, service: service, shard: shard, alone: s}
			l.mu.Unlock()
			return true, nil
		}
		l.mu.Unlock() // cleared or quarantined while it waited
		<-s.turn
	}
}

func (l *List) suspect(fingerprint string) *suspect {
	s := l.suspects[fingerprint]
	if s == nil || l.valid(fingerprint, s.lifted, s.until) {
		return s
	}
	delete(l.suspects, fingerprint)
	return nil
}

// Leave ends a call. A call that ran alone and was answered clears its shard, and the suspicion ends with the last
// shard. A call without an answer is remembered, because the crash that ended it is reported only when the leaf is
// back.
func (l *List) Leave(callID string, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[callID]
	if c == nil || c.ended {
		return
	}
	if c.alone != nil {
		<-c.alone.turn
		if answered {
			delete(c.alone.shards, c.shard)
		}
		if len(c.alone.shards) == 0 && l.suspects[c.fingerprint] == c.alone {
			l.clearSuspicion(c.fingerprint, c.alone)
		}
	}
	if answered {
		delete(l.calls, callID)
		return
	}
	c.ended = true
	l.ended = append(l.ended, endedCall{id: callID, at: time.Now()})
	for len(l.ended) > maxCalls || time.Since(l.ended[0].at) > suspicionPeriod {
		delete(l.calls, l.ended[0].id)
		l.ended = l.ended[1:]
	}
}

// clearSuspicion ends a suspicion. A crash that is reported later is no longer attributed to the request.
func (l *List) clearSuspicion(fingerprint string, s *suspect) {
	delete(l.suspects, fingerprint)
	for id := range s.lostCalls {
		delete(l.calls, id)
	}
}

// SessionLost reports that the session to the leaf vm was lost while a sent call ran on it. It is called before Leave.
// The request becomes a suspect. If it ran alone and a call was lost before, it is refused provisionally.
func (l *List) SessionLost(callID, vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[callID]
	if c == nil || c.ended {
		return
	}
	s := l.markSuspect(c.fingerprint, leaf.Crash{Service: c.service, VM: vm})
	s.shards[c.shard] = struct{}{}
	s.lostCalls[callID] = struct{}{}
	if c.alone != s || s.crashes+len(s.lostCalls) < crashThreshold || l.check(c.fingerprint) != nil {
		return
	}
	l.put(c.fingerprint, &entry{service: c.service, crashes: min(s.crashes, crashThreshold-1), vms: s.vms,
		until: time.Now().Add(provisionalPeriod), lifted: s.lifted})
	l.recorder.Record(event.Event{Kind: event.RequestQuarantined, VM: vm, Service: c.service,
		Detail: c.fingerprint + " provisionally, until the leaf is back"})
}

// handleSameBoot handles the return of a leaf that did not crash. The calls that were lost with its session are no
// cause for suspicion.
func (l *List) handleSameBoot(running []string) {
	for _, id := range running {
		c := l.calls[id]
		if c == nil {
			continue
		}
		s := l.suspects[c.fingerprint]
		if s == nil {
			continue
		}
		if _, lost := s.lostCalls[id]; !lost {
			continue
		}
		delete(s.lostCalls, id)
		delete(l.calls, id)
		if e := l.entries[c.fingerprint]; e != nil && !e.imported && e.crashes < crashThreshold &&
			s.crashes+len(s.lostCalls) < crashThreshold {
			delete(l.entries, c.fingerprint)
		}
		if s.crashes+len(s.lostCalls) == 0 {
			delete(l.suspects, c.fingerprint)
		}
	}
}

// HandleCrash handles a reported crash. The requests that ran become suspects, and a suspect to which the crash can be
// attributed is quarantined.
func (l *List) HandleCrash(c leaf.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.SameBoot {
		l.handleSameBoot(c.Running)
		return
	}
	running := map[string][]uint32{} // shards by fingerprint
	var crashedBefore []string
	for _, id := range c.Running {
		call := l.calls[id]
		if call == nil {
			continue
		}
		s := l.suspect(call.fingerprint)
		if running[call.fingerprint] == nil && s != nil && s.crashes > 0 {
			crashedBefore = append(crashedBefore, call.fingerprint)
		}
		if s != nil {
			delete(s.lostCalls, id)
		}
		running[call.fingerprint] = append(running[call.fingerprint], call.shard)
	}
	for f, shards := range running {
		s := l.markSuspect(f, c)
		s.crashes++
		for _, shard := range shards {
			s.shards[shard] = struct{}{}
		}
		if len(crashedBefore) == 1 && crashedBefore[0] == f {
			l.quarantine(f, c.Service, s)
		}
	}
}

// markSuspect makes a request a suspect, or extends the suspicion.
func (l *List) markSuspect(fingerprint string, c leaf.Crash) *suspect {
	s := l.suspect(fingerprint)
	if s == nil {
		if len(l.suspects) >= maxSuspects {
			evictEarliest(l.suspects, func(s *suspect) time.Time { return s.until })
		}
		s = &suspect{turn: make(chan struct{}, 1), lostCalls: map[string]struct{}{}, shards: map[uint32]struct{}{}}
		l.suspects[fingerprint] = s
		l.recorder.Record(event.Event{Kind: event.RequestSuspected, VM: c.VM, Service: c.Service, Detail: fingerprint})
	}
	s.vms = addVM(s.vms, c.VM)
	s.until = time.Now().Add(suspicionPeriod)
	s.lifted = l.liftVersion(fingerprint)
	return s
}

func addVM(vms []string, vm string) []string {
	if len(vms) >= maxCrashedVMs || slices.Contains(vms, vm) {
		return vms
	}
	return append(vms, vm)
}

func (l *List) quarantine(fingerprint, service string, s *suspect) {
	l.clearSuspicion(fingerprint, s)
	l.put(fingerprint, &entry{service: service, crashes: s.crashes, vms: s.vms, until: time.Now().Add(Period),
		lifted: s.lifted})
	l.recorder.Record(event.Event{Kind: event.RequestQuarantined, Service: service,
		Detail: fmt.Sprintf("%s crashed %v", fingerprint, s.vms)})
}

func (l *List) put(fingerprint string, e *entry) {
	if l.entries[fingerprint] == nil && len(l.entries) >= maxEntries {
		evictEarliest(l.entries, func(e *entry) time.Time { return e.until })
	}
	l.entries[fingerprint] = e
}

// evictEarliest makes room by removing the item that would expire first.
func evictEarliest[T any](items map[string]T, until func(T) time.Time) {
	var victim string
	var earliest time.Time
	for k, v := range items {
		if t := until(v); victim == "" || t.Before(earliest) {
			victim, earliest = k, t
		}
	}
	delete(items, victim)
}

// Export returns the refused requests to send to the peers. Provisional refusals are exported only by the node that
// made them and with a short remaining time, so that they end on all nodes soon after they end here.
func (l *List) Export() []*peerpb.QuarantineEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	exported := make([]*peerpb.QuarantineEntry, 0, len(l.entries))
	for f, e := range l.entries {
		remaining := time.Until(e.until)
		if e.crashes < crashThreshold {
			if e.imported {
				continue
			}
			remaining = min(remaining, provisionalCopyTTL)
		}
		exported = append(exported, &peerpb.QuarantineEntry{Fingerprint: f, Service: e.service,
			Crashes: uint32(e.crashes), RemainingMs: remaining.Milliseconds(), CrashedVms: e.vms,
			LiftedVersion: e.lifted})
	}
	return exported
}

// sweep removes entries that have expired or were lifted.
func (l *List) sweep() {
	for f, e := range l.entries {
		if !l.valid(f, e.lifted, e.until) {
			delete(l.entries, f)
			if l.liftVersion(f) > e.lifted {
				l.recorder.Record(event.Event{Kind: event.QuarantineLifted, Service: e.service, Detail: f})
			}
		}
	}
}

// Import adds the entries that a peer exported. An entry that was lifted after it was made is ignored. Of two copies of
// an entry, the one that expires earlier is kept, so that the time in transit does not extend it.
func (l *List) Import(peer []*peerpb.QuarantineEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range peer {
		remaining := min(time.Duration(p.GetRemainingMs())*time.Millisecond, Period)
		e := &entry{service: p.GetService(), crashes: int(p.GetCrashes()), until: time.Now().Add(remaining),
			vms:    slices.Clone(p.GetCrashedVms()[:min(len(p.GetCrashedVms()), maxCrashedVMs)]),
			lifted: p.GetLiftedVersion(), imported: true}
		if remaining < minRemaining && e.crashes >= crashThreshold || !l.valid(p.GetFingerprint(), e.lifted, e.until) {
			continue
		}
		if current := l.entries[p.GetFingerprint()]; current == nil || e.replaces(current) {
			l.put(p.GetFingerprint(), e)
		}
	}
}

// replaces reports whether e takes the place of current, which is the case if it is newer, renews a provisional
// refusal, or is a copy of the same entry that expires earlier.
func (e *entry) replaces(current *entry) bool {
	switch {
	case time.Now().After(current.until):
		return true
	case e.lifted != current.lifted:
		return e.lifted > current.lifted
	case e.crashes != current.crashes:
		return e.crashes > current.crashes
	case e.crashes < crashThreshold:
		return current.imported
	}
	return e.until.Before(current.until)
}

// List returns the refused requests, sorted by fingerprint.
func (l *List) List() []operator.QuarantineEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	listed := make([]operator.QuarantineEntry, 0, len(l.entries))
	for f, e := range l.entries {
		listed = append(listed, operator.QuarantineEntry{Fingerprint: f, Service: e.service, Crashes: e.crashes,
			Until: e.until})
	}
	slices.SortFunc(listed, func(a, b operator.QuarantineEntry) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	return listed
}
