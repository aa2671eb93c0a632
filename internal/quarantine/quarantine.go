// Package quarantine finds requests that crash leaves and refuses them on all nodes for a while.
//
// A request is identified by the fingerprint of its service and payload. When a session is lost, every request that was
// running on it is a suspect at once: it runs alone on a leaf, one call at a time, and is not hedged, until each shard
// that ran at a loss has been answered so. A crash is certain only when the leaf is back with another boot identifier; the
// same one shows that only the connection was cut, and ends the suspicion. At a further crash a suspect is quarantined if
// it ran alone or was the only suspect there. Until the leaf is back, a suspect that ran alone at a further loss is
// refused provisionally, so that it reaches no third leaf. A query over many shards may still reach several leaves with
// its first sends, before the first loss is known.
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
	// suspicion is the time after which a crash is forgotten.
	suspicion = Period
	// provisional is the time for which a suspect is refused without a confirmed second crash: a leaf restarts and is
	// connected again within a few seconds.
	provisional = 8 * time.Second
	// provisionalCopy is how long a peer keeps a provisional refusal that is not renewed: four heartbeats.
	provisionalCopy = time.Second
	// leastRemaining is the shortest remaining time of an entry that is taken over from a peer. Without it, nodes whose
	// copies expire at slightly different times would pass an entry on to each other for ever.
	leastRemaining = 5 * time.Second
	// maxEntries bounds memory and what each heartbeat carries: about 100 bytes an entry. The entry that expires first
	// makes room.
	maxEntries = 256
	// Bounds on memory: about 0.2 and 2 MB.
	maxSuspects = 1024
	maxCalls    = 16384
	// maxCrashedVMs bounds the leaves that an entry names.
	maxCrashedVMs = 8
	// fewestCrashes is the number of crashes that quarantines a request.
	fewestCrashes = 2
)

// List follows the calls that run on leaves and holds the suspects and the refused requests. It is safe for concurrent
// use.
type List struct {
	config   config.Source
	recorder event.Recorder

	mu       sync.Mutex
	entries  map[string]*entry
	suspects map[string]*suspect
	calls    map[string]*call
	ended    []endedCall // calls without an answer, oldest first; their crash may still be reported
}

// entry is a refused request; with fewer crashes than fewestCrashes it is refused provisionally.
type entry struct {
	service  string
	crashes  int
	vms      []string
	until    time.Time
	lifted   uint64 // the version of the newest lift that was known at the crash
	imported bool
}

type suspect struct {
	crashes int // confirmed
	vms     []string
	lost    map[string]struct{} // calls whose leaf is not back
	until   time.Time
	lifted  uint64
	turn    chan struct{} // holds a token while a call of the suspect runs
	// shards ran at a loss or crash and were not answered since. A request may crash the leaves of one shard only, so that an
	// answer of another shard clears nothing.
	shards map[uint32]struct{}
}

type call struct {
	fingerprint string
	service     string
	shard       uint32
	alone       *suspect // whose turn the call holds
	left        bool     // has ended without an answer
}

type endedCall struct {
	id string
	at time.Time
}

// New returns an empty list. Lifts are read from the configuration document.
func New(source config.Source, recorder event.Recorder) *List {
	return &List{config: source, recorder: recorder, entries: map[string]*entry{}, suspects: map[string]*suspect{},
		calls: map[string]*call{}}
}

// Fingerprint identifies requests of the same service and payload: 16 hexadecimal digits.
func (l *List) Fingerprint(service string, payload []byte) string {
	d := xxhash.New()
	d.Write(binary.BigEndian.AppendUint32(nil, uint32(len(service))))
	d.WriteString(service)
	d.Write(payload)
	return fmt.Sprintf("%016x", d.Sum64())
}

// Run takes in crashes until ctx ends or the channel is closed.
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
	done := fmt.Sprintf("have crashed %d backend servers", e.crashes)
	if e.crashes < fewestCrashes {
		done = "are suspected of having crashed backend servers"
	}
	return verdict.Refusef(verdict.CodeQuarantined, "requests with fingerprint %s to service %q %s and are refused until %s",
		fingerprint, e.service, done, e.until.UTC().Format(time.RFC3339))
}

// valid reports whether an entry or suspicion has neither expired nor been lifted since.
func (l *List) valid(fingerprint string, lifted uint64, until time.Time) bool {
	return time.Now().Before(until) && l.liftOf(fingerprint) <= lifted
}

// liftOf returns the version of the newest known lift of the fingerprint, 0 for none.
func (l *List) liftOf(fingerprint string) uint64 {
	if d := l.config.Current(); d != nil {
		return d.Lifted[fingerprint]
	}
	return 0
}

// Enter is called before a slot is acquired for a call. It refuses a quarantined request, and makes the calls of a
// suspect wait for their turn until ctx ends. alone says that the call must run alone on its leaf, without a hedge.
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
				"service %q: the request is suspected of crashing backend servers and its turn has not come", service)
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

// Leave ends a call. An answered call that ran alone clears its suspect. A call without an answer is remembered, since
// the crash that ended it is reported only when the leaf is back.
func (l *List) Leave(callID string, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[callID]
	if c == nil || c.left {
		return
	}
	if c.alone != nil {
		<-c.alone.turn
		if answered {
			delete(c.alone.shards, c.shard)
		}
		if len(c.alone.shards) == 0 && l.suspects[c.fingerprint] == c.alone {
			l.acquit(c.fingerprint, c.alone)
		}
	}
	if answered {
		delete(l.calls, callID)
		return
	}
	c.left = true
	l.ended = append(l.ended, endedCall{id: callID, at: time.Now()})
	for len(l.ended) > maxCalls || time.Since(l.ended[0].at) > suspicion {
		delete(l.calls, l.ended[0].id)
		l.ended = l.ended[1:]
	}
}

// acquit ends a suspicion. A crash that is reported later is not ascribed to the request any more.
func (l *List) acquit(fingerprint string, s *suspect) {
	delete(l.suspects, fingerprint)
	for id := range s.lost {
		delete(l.calls, id)
	}
}

// SessionLost says that the session to the leaf vm was lost under a call that was sent. It is called before Leave. The request
// is a suspect from now on; if it ran alone and a call was lost before, it is refused provisionally.
func (l *List) SessionLost(callID, vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[callID]
	if c == nil || c.left {
		return
	}
	s := l.implicate(c.fingerprint, leaf.Crash{Service: c.service, VM: vm})
	s.shards[c.shard] = struct{}{}
	s.lost[callID] = struct{}{}
	if c.alone != s || s.crashes+len(s.lost) < fewestCrashes || l.check(c.fingerprint) != nil {
		return
	}
	l.put(c.fingerprint, &entry{service: c.service, crashes: min(s.crashes, fewestCrashes-1), vms: s.vms,
		until: time.Now().Add(provisional), lifted: s.lifted})
	l.recorder.Record(event.Event{Kind: event.RequestQuarantined, VM: vm, Service: c.service,
		Detail: c.fingerprint + " provisionally, until the leaf is back"})
}

// cut takes in that leaves are back which had not crashed: the calls that were lost with their sessions are no cause for
// suspicion.
func (l *List) cut(running []string) {
	for _, id := range running {
		c := l.calls[id]
		if c == nil {
			continue
		}
		s := l.suspects[c.fingerprint]
		if s == nil {
			continue
		}
		if _, lost := s.lost[id]; !lost {
			continue
		}
		delete(s.lost, id)
		delete(l.calls, id)
		if e := l.entries[c.fingerprint]; e != nil && !e.imported && e.crashes < fewestCrashes &&
			s.crashes+len(s.lost) < fewestCrashes {
			delete(l.entries, c.fingerprint)
		}
		if s.crashes+len(s.lost) == 0 {
			delete(l.suspects, c.fingerprint)
		}
	}
}

// HandleCrash takes in a crash: the requests that ran become suspects, and a suspect to which the crash can be ascribed
// is quarantined.
func (l *List) HandleCrash(c leaf.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.SameBoot {
		l.cut(c.Running)
		return
	}
	running := map[string][]uint32{} // shards by fingerprint
	var known []string
	for _, id := range c.Running {
		call := l.calls[id]
		if call == nil {
			continue
		}
		s := l.suspect(call.fingerprint)
		if running[call.fingerprint] == nil && s != nil && s.crashes > 0 {
			known = append(known, call.fingerprint)
		}
		if s != nil {
			delete(s.lost, id)
		}
		running[call.fingerprint] = append(running[call.fingerprint], call.shard)
	}
	for f, shards := range running {
		s := l.implicate(f, c)
		s.crashes++
		for _, shard := range shards {
			s.shards[shard] = struct{}{}
		}
		if len(known) == 1 && known[0] == f {
			l.quarantine(f, c.Service, s)
		}
	}
}

// implicate makes a request a suspect, or prolongs the suspicion.
func (l *List) implicate(fingerprint string, c leaf.Crash) *suspect {
	s := l.suspect(fingerprint)
	if s == nil {
		if len(l.suspects) >= maxSuspects {
			evictEarliest(l.suspects, func(s *suspect) time.Time { return s.until })
		}
		s = &suspect{turn: make(chan struct{}, 1), lost: map[string]struct{}{}, shards: map[uint32]struct{}{}}
		l.suspects[fingerprint] = s
		l.recorder.Record(event.Event{Kind: event.RequestSuspected, VM: c.VM, Service: c.Service, Detail: fingerprint})
	}
	s.vms = addVM(s.vms, c.VM)
	s.until = time.Now().Add(suspicion)
	s.lifted = l.liftOf(fingerprint)
	return s
}

func addVM(vms []string, vm string) []string {
	if len(vms) >= maxCrashedVMs || slices.Contains(vms, vm) {
		return vms
	}
	return append(vms, vm)
}

func (l *List) quarantine(fingerprint, service string, s *suspect) {
	l.acquit(fingerprint, s)
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

// Export returns the refused requests to send to the peers. Provisional refusals are exported only by the node that made
// them and for a short time only, so that they end everywhere when they are lifted here.
func (l *List) Export() []*peerpb.QuarantineEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	exported := make([]*peerpb.QuarantineEntry, 0, len(l.entries))
	for f, e := range l.entries {
		remaining := time.Until(e.until)
		if e.crashes < fewestCrashes {
			if e.imported {
				continue
			}
			remaining = min(remaining, provisionalCopy)
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
			if l.liftOf(f) > e.lifted {
				l.recorder.Record(event.Event{Kind: event.QuarantineLifted, Service: e.service, Detail: f})
			}
		}
	}
}

// Import takes over what a peer exports. An entry that was lifted after it was made is ignored. Of two copies of an
// entry the one that expires earlier is kept, so that the time on the way does not prolong it.
func (l *List) Import(peer []*peerpb.QuarantineEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range peer {
		remaining := min(time.Duration(p.GetRemainingMs())*time.Millisecond, Period)
		e := &entry{service: p.GetService(), crashes: int(p.GetCrashes()), until: time.Now().Add(remaining),
			vms:    slices.Clone(p.GetCrashedVms()[:min(len(p.GetCrashedVms()), maxCrashedVMs)]),
			lifted: p.GetLiftedVersion(), imported: true}
		if remaining < leastRemaining && e.crashes >= fewestCrashes || !l.valid(p.GetFingerprint(), e.lifted, e.until) {
			continue
		}
		if known := l.entries[p.GetFingerprint()]; known == nil || e.replaces(known) {
			l.put(p.GetFingerprint(), e)
		}
	}
}

// replaces reports whether e is newer than known, renews a provisional refusal, or is a copy of the same entry that
// expires earlier.
func (e *entry) replaces(known *entry) bool {
	switch {
	case time.Now().After(known.until):
		return true
	case e.lifted != known.lifted:
		return e.lifted > known.lifted
	case e.crashes != known.crashes:
		return e.crashes > known.crashes
	case e.crashes < fewestCrashes:
		return known.imported
	}
	return e.until.Before(known.until)
}

// List returns the refused requests in order of fingerprint.
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
