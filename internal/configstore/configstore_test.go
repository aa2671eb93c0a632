package configstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/operator"
	"cyclamenstream/api/platform"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func profile(priority int) *config.Profile {
	return &config.Profile{Deadline: config.Duration(time.Second), LeafTimeout: config.Duration(time.Second / 2),
		LeastCoverage: 90, Priority: priority}
}

func service(edit func(*config.Service)) *config.Service {
	s := &config.Service{Profile: "gate", Slots: 3, ColdSlots: 1, Connections: 30}
	edit(s)
	return s
}

func put(id string, priority int) config.Change {
	return config.Change{ID: id, Op: config.OpPutProfile, Name: "gate", Profile: profile(priority)}
}

func putService(edit func(*config.Service)) config.Change {
	return config.Change{ID: "s", Op: config.OpPutService, Name: "lookup", Service: service(edit)}
}

// apply builds a document from valid changes.
func apply(doc *config.Document, changes ...config.Change) *config.Document {
	for _, c := range changes {
		next, err := Apply(doc, c, nil)
		if err != nil {
			panic(err)
		}
		doc = next
	}
	return doc
}

// Guards against invalid settings that take effect on all nodes, and against valid ones that are rejected.
func TestApplyChecks(t *testing.T) {
	base := apply(&config.Document{}, put("1", 1), putService(func(*config.Service) {}))
	known := func(vm string) bool { return vm == "vm-1" }
	edited := func(edit func(*config.Profile)) config.Change {
		c := put("x", 1)
		edit(c.Profile)
		return c
	}
	tests := []struct {
		name   string
		change config.Change
		want   string // part of the error, "" for none
	}{
		{"profile", put("x", config.MaxPriority), ""},
		{"no identifier", put("", 1), "identifier"},
		{"name", config.Change{ID: "x", Op: config.OpZoneOut, Name: "Zone_1"}, "name"},
		{"long name", config.Change{ID: "x", Op: config.OpZoneOut, Name: strings.Repeat("a", 65)}, "name"},
		{"unknown operation", config.Change{ID: "x", Op: "drop", Name: "a"}, "operation"},
		{"no profile", config.Change{ID: "x", Op: config.OpPutProfile, Name: "a"}, "without"},
		{"priority", put("x", config.MaxPriority+1), "priority"},
		{"deadline", edited(func(p *config.Profile) { p.Deadline = config.Duration(61 * time.Second) }), "deadline"},
		{"leaf timeout", edited(func(p *config.Profile) {
			p.Deadline, p.LeafTimeout = config.Duration(5*time.Second), config.Duration(2001*time.Millisecond)
		}), "leaf_timeout"},
		{"leaf timeout above deadline", edited(func(p *config.Profile) { p.Deadline = config.Duration(time.Millisecond) }), "above"},
		{"coverage", edited(func(p *config.Profile) { p.LeastCoverage = 100.1 }), "least_coverage"},
		{"budget", edited(func(p *config.Profile) { p.HedgeBudget = -0.1 }), "hedge_budget"},
		{"cold slots", putService(func(s *config.Service) { s.ColdSlots = 0 }), "cold_slots"},
		{"slots", putService(func(s *config.Service) { s.ColdSlots = 4 }), "cold_slots"},
		{"unknown profile", putService(func(s *config.Service) { s.Profile = "none" }), "does not exist"},
		{"unknown extra", putService(func(s *config.Service) { s.ExtraProfiles = []string{"none"} }), "does not exist"},
		{"profile in use", config.Change{ID: "x", Op: config.OpDeleteProfile, Name: "gate"}, "uses profile"},
		{"delete unknown", config.Change{ID: "x", Op: config.OpDeleteService, Name: "none"}, "does not exist"},
		{"unknown VM", config.Change{ID: "x", Op: config.OpVMOut, Name: "vm-2"}, "not in the list"},
		{"known VM", config.Change{ID: "x", Op: config.OpVMOut, Name: "vm-1"}, ""},
		{"base matches", config.Change{ID: "x", Op: config.OpDeleteService, Name: "lookup", CheckBase: true, BaseItemVersion: 2}, ""},
		{"base is old", config.Change{ID: "x", Op: config.OpDeleteService, Name: "lookup", CheckBase: true, BaseItemVersion: 1}, "version 2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next, err := Apply(base, test.change, known)
			qt.Assert(t, base.Version, qt.Equals, uint64(2))
			if test.want == "" {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, next.Version, qt.Equals, uint64(3))
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, "(?s).*"+test.want+".*")
		})
	}
}

// Guards against a repeated mark that loses the version of the first one, and against a history or list that grows
// without bound.
func TestMarksAndLimits(t *testing.T) {
	doc := apply(&config.Document{}, config.Change{ID: "a", Op: config.OpZoneOut, Name: "z1"},
		config.Change{ID: "b", Op: config.OpZoneOut, Name: "z1"})
	qt.Assert(t, doc.ZonesOut["z1"], qt.Equals, uint64(1))
	for i := range config.MaxHistory + 10 {
		doc = apply(doc, config.Change{ID: fmt.Sprint("l", i), Op: config.OpLiftQuarantine, Name: fmt.Sprint("f", i)})
	}
	doc = apply(doc, config.Change{ID: "c", Op: config.OpZoneIn, Name: "z1"}, config.Change{ID: "d", Op: config.OpZoneIn, Name: "z1"})
	qt.Assert(t, doc.ZoneOut("z1"), qt.IsFalse)
	qt.Assert(t, len(doc.History), qt.Equals, config.MaxHistory)
	qt.Assert(t, len(doc.Lifted), qt.Equals, MaxLifted)
	_, found := FindChange(doc, "l0")
	qt.Assert(t, found, qt.IsFalse)
	value, err := Encode(doc)
	qt.Assert(t, err, qt.IsNil)
	decoded, err := Decode(value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, decoded, qt.DeepEquals, doc)
}

// fault is what the fake store does wrong in one call.
type fault int

const (
	none           fault = iota
	notSent              // the call does not reach the store
	lost                 // the response is lost, a write takes effect
	dropped              // the call is lost, a write takes no effect
	slow                 // the response comes after the caller's timeout, a write takes effect
	late                 // the call fails at once, a write takes effect 3 s later
	corrupted            // the read returns garbage
	rolledBack           // the store is back at an older state
	conflicting          // another operator writes first
	lostThenOthers       // the response is lost and 20 others write after the write
)

var errLost = errors.New("no response")

// fakeStore is a store in memory. Each call takes the next fault of a list; calls after the list have none.
type fakeStore struct {
	mu          sync.Mutex
	entry       platform.Entry
	backup      platform.Entry
	faults      []fault
	otherWrites int
	newest      *config.Document
	written     []string // change identifiers of all documents ever written
}

func (s *fakeStore) nextFault() fault {
	if len(s.faults) == 0 {
		return none
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

func (s *fakeStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entry
	switch s.nextFault() {
	case notSent:
		return platform.Entry{}, platform.ErrNotSent
	case lost, dropped, late, lostThenOthers:
		return platform.Entry{}, errLost
	case slow:
		return platform.Entry{}, s.stall(ctx)
	case corrupted:
		entry.Value = []byte("{")
	case rolledBack:
		s.entry = s.backup
		entry = s.entry
	}
	return entry, nil
}

func (s *fakeStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.nextFault() {
	case notSent:
		return 0, platform.ErrNotSent
	case dropped:
		return 0, errLost
	case lost:
		_, _ = s.swap(expected, value)
		return 0, errLost
	case late:
		time.AfterFunc(3*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.swap(expected, value)
		})
		return 0, errLost
	case slow:
		_, _ = s.swap(expected, value)
		return 0, s.stall(ctx)
	case conflicting:
		s.writeOther()
	case lostThenOthers:
		_, _ = s.swap(expected, value)
		for range 20 {
			s.writeOther()
		}
		return 0, errLost
	}
	return s.swap(expected, value)
}

// stall waits for the end of ctx without the lock. A goroutine that waits for a mutex keeps the clock of a synctest
// from advancing.
func (s *fakeStore) stall(ctx context.Context) error {
	s.mu.Unlock()
	defer s.mu.Lock()
	<-ctx.Done()
	return ctx.Err()
}

func (s *fakeStore) swap(expected uint64, value []byte) (uint64, error) {
	if s.entry.Version != expected {
		return 0, platform.ErrConflict
	}
	s.entry.Value, s.entry.Version = value, expected+1
	if doc, err := Decode(value); err == nil {
		if doc.Version > s.newest.Version {
			s.newest = doc
		}
		s.written = append(s.written, doc.History[len(doc.History)-1].ID)
	}
	return s.entry.Version, nil
}

// writeOther applies another operator's change to the newest document, as every editor does.
func (s *fakeStore) writeOther() {
	s.otherWrites++
	doc, _ := Decode(s.entry.Value)
	if s.newest.Version > doc.Version {
		doc = s.newest
	}
	value, _ := Encode(apply(doc, config.Change{ID: fmt.Sprint("other", s.otherWrites), Op: config.OpZoneOut, Name: "z9"}))
	_, _ = s.swap(s.entry.Version, value)
}

func (s *fakeStore) Watch(ctx context.Context, _ string, _ uint64) (platform.Entry, error) {
	<-ctx.Done()
	return platform.Entry{}, ctx.Err()
}

// fakeCache is a DocumentCache whose announced version the test sets.
type fakeCache struct {
	mu        sync.Mutex
	doc       *config.Document
	announced uint64
}

func (c *fakeCache) Current() *config.Document { c.mu.Lock(); defer c.mu.Unlock(); return c.doc }

func (c *fakeCache) Announced() uint64 { return c.announced }

func (c *fakeCache) Adopt(doc *config.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doc == nil || doc.Version > c.doc.Version {
		c.doc = doc
	}
}

// newFakes returns a store with a document of version 4 and a backup of version 2, and a cache with the document.
func newFakes(faults ...fault) (*fakeStore, *fakeCache) {
	old := apply(&config.Document{}, put("1", 1), putService(func(*config.Service) {}))
	doc := apply(old, put("3", 3), config.Change{ID: "4", Op: config.OpZoneOut, Name: "z4"})
	oldValue, _ := Encode(old)
	value, _ := Encode(doc)
	return &fakeStore{faults: faults, newest: doc, entry: platform.Entry{Value: value, Version: 4},
		backup: platform.Entry{Value: oldValue, Version: 2}}, &fakeCache{doc: doc}
}

func always() bool { return true }

// Guards against a wrong outcome, a change that is applied twice, and an accepted change that is lost, for each fault
// of the store.
func TestChangeUnderFaults(t *testing.T) {
	forever := slices.Repeat([]fault{dropped}, 100)
	tests := []struct {
		name   string
		faults []fault
		change config.Change
		want   operator.Outcome
	}{
		{"ordinary", nil, put("new", 5), operator.Accepted},
		{"read not sent", []fault{notSent}, put("new", 5), operator.Accepted},
		{"write not sent", []fault{none, notSent}, put("new", 5), operator.Accepted},
		{"response lost after the write", []fault{none, lost}, put("new", 5), operator.Accepted},
		{"response lost, others write after", []fault{none, lostThenOthers}, put("new", 5), operator.Accepted},
		{"write lost", []fault{none, dropped}, put("new", 5), operator.Accepted},
		{"slow read", []fault{slow, slow}, put("new", 5), operator.Accepted},
		{"slow write", []fault{none, slow}, put("new", 5), operator.Accepted},
		{"write takes effect late", []fault{none, late}, put("new", 5), operator.Accepted},
		{"another change first", []fault{none, conflicting, none, conflicting}, put("new", 5), operator.Accepted},
		{"corrupt read", []fault{corrupted}, put("new", 5), operator.Accepted},
		{"corrupt reads after a lost response", []fault{none, lost, corrupted, corrupted, corrupted, corrupted}, put("new", 5), operator.Accepted},
		{"corrupt for ever", slices.Repeat([]fault{corrupted}, 100), put("new", 5), operator.Unavailable},
		{"older value", []fault{rolledBack}, put("new", 5), operator.Accepted},
		{"older value after a lost response", []fault{none, dropped, rolledBack}, put("new", 5), operator.Accepted},
		{"identifier of another change", nil, put("4", 5), operator.Rejected},
		{"resent", nil, put("3", 5), operator.Accepted},
		{"invalid", nil, put("new", 50), operator.Rejected},
		{"same item", nil, config.Change{ID: "new", Op: config.OpPutProfile, Name: "gate", Profile: profile(5),
			CheckBase: true, BaseItemVersion: 1}, operator.Conflict},
		{"store down", forever, put("new", 5), operator.Unavailable},
		{"down after the write was sent", append([]fault{none}, forever...), put("new", 5), operator.Unresolved},
		{"down after the write took effect", append([]fault{none, lost}, forever...), put("new", 5), operator.Unresolved},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, docs := newFakes(test.faults...)
				result := NewEditor(store, docs, always, nil, event.Discard{}).Change(t.Context(), test.change)
				qt.Assert(t, result.Outcome, qt.Equals, test.want, qt.Commentf("%+v", result))
				time.Sleep(10 * time.Second) // late writes
				if test.change.ID == "new" {
					qt.Assert(t, checkStore(store, docs, result, false), qt.IsNil)
				} else {
					qt.Assert(t, store.written, qt.HasLen, 0)
				}
				if result.Outcome == operator.Conflict {
					qt.Assert(t, []uint64{result.ItemVersion, result.BaseItemVersion}, qt.DeepEquals, []uint64{3, 1})
				}
			})
		})
	}
}

// checkStore checks the outcome against the store's content. A store that lost writes may contain the change after two
// writes.
func checkStore(store *fakeStore, docs *fakeCache, result operator.ChangeResult, lostWrites bool) error {
	store.mu.Lock()
	defer store.mu.Unlock()
	doc, err := Decode(store.entry.Value)
	if err != nil {
		return err
	}
	if _, found := FindChange(doc, "4"); !found {
		return fmt.Errorf("an accepted change was reverted")
	}
	recorded, writes := 0, 0
	for _, r := range doc.History {
		if r.ID == "new" {
			recorded++
		}
	}
	for _, id := range store.written {
		if id == "new" {
			writes++
		}
	}
	record, _ := FindChange(doc, "new")
	version := record.Version
	switch result.Outcome {
	case operator.Accepted:
		if recorded != 1 || (writes != 1 && !lostWrites) || version != result.Version || docs.Current().Version < version {
			return fmt.Errorf("accepted at %d: recorded %d times at %d, written %d times", result.Version, recorded, version, writes)
		}
	case operator.Unresolved:
		if recorded > 1 || (writes > 1 && !lostWrites) {
			return fmt.Errorf("unresolved: recorded %d times, written %d times", recorded, writes)
		}
	default:
		if recorded+writes > 0 {
			return fmt.Errorf("%s: recorded %d times, written %d times", result.Outcome, recorded, writes)
		}
	}
	return nil
}

// Guards against an outcome that contradicts the store's content, for random sequences of faults.
func TestChangeUnderRandomFaults(t *testing.T) {
	outcomes := map[operator.Outcome]int{}
	rapid.Check(t, func(rt *rapid.T) {
		var faults []fault
		for _, f := range rapid.SliceOfN(rapid.IntRange(0, int(lostThenOthers)), 0, 30).Draw(rt, "faults") {
			faults = append(faults, fault(f))
		}
		var err error
		synctest.Test(t, func(t *testing.T) {
			store, docs := newFakes(faults...)
			editor := NewEditor(store, docs, always, nil, event.Discard{})
			result := editor.Change(t.Context(), put("new", 5))
			outcomes[result.Outcome]++
			time.Sleep(10 * time.Second)
			store.mu.Lock()
			store.faults = nil
			store.mu.Unlock()
			if result.Outcome == operator.Unresolved {
				// A resend with the same identifier resolves it.
				result = editor.Change(t.Context(), put("new", 5))
			}
			lostWrites := slices.Contains(faults, rolledBack)
			if lostWrites {
				// The store may have returned to an older state just before the end. A late write may also have
				// succeeded because the store used the version that it expects twice. The next change restores the
				// newest document.
				next := editor.Change(t.Context(), config.Change{ID: "next", Op: config.OpZoneOut, Name: "z5"})
				if next.Outcome != operator.Accepted {
					err = fmt.Errorf("next change: %+v", next)
					return
				}
			}
			err = checkStore(store, docs, result, lostWrites)
			if result.Outcome == operator.Unresolved {
				err = errors.New("a resend to a store without faults is unresolved")
			}
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
	t.Log(outcomes)
}

// Guards against a document above the store's size limit, a change without a majority, and a write of an older version
// than a peer has announced.
func TestChangeRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, docs := newFakes()
		no := func() bool { return false }
		result := NewEditor(store, docs, no, nil, event.Discard{}).Change(t.Context(), put("new", 5))
		qt.Assert(t, result.Outcome, qt.Equals, operator.Unavailable)
		docs.announced = 5
		result = NewEditor(store, docs, always, nil, event.Discard{}).Change(t.Context(), put("new", 5))
		qt.Assert(t, result.Outcome, qt.Equals, operator.Unavailable)
		docs.announced = 0
		big := apply(docs.doc)
		big.Lifted = map[string]uint64{strings.Repeat("x", platform.MaxValueBytes): 1}
		store.entry.Value, _ = Encode(big)
		result = NewEditor(store, docs, always, nil, event.Discard{}).Change(t.Context(), put("new", 5))
		qt.Assert(t, result.Outcome, qt.Equals, operator.Rejected)
		qt.Assert(t, store.written, qt.HasLen, 0)
	})
}
