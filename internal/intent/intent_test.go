package intent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
	"cyclamenstream/api/verdict"
	"cyclamenstream/gen/intentpb"
)

var errTimeout = errors.New("no response")

// fault is how the store handles one call.
type fault struct {
	before, after time.Duration // delays of the effect and of the response
	lost          bool          // the response is lost; the effect comes even if the caller has given up
	notSent       bool
	dropped       bool // no effect and no response
}

// fakeStore is a platform.Store in memory.
type fakeStore struct {
	platform.Store
	mu        sync.Mutex
	entries   map[string]platform.Entry
	nextFault func(write bool) fault
	writes    int
}

func newStore() *fakeStore {
	return &fakeStore{entries: map[string]platform.Entry{}, nextFault: func(bool) fault { return fault{after: time.Millisecond} }}
}

func (s *fakeStore) call(ctx context.Context, write bool, effect func() error) error {
	s.mu.Lock()
	f := s.nextFault(write)
	s.mu.Unlock()
	result := make(chan error, 1)
	go func() {
		time.Sleep(f.before)
		var err error
		if f.dropped || f.notSent {
			err = platform.ErrNotSent
		} else {
			s.mu.Lock()
			err = effect()
			s.mu.Unlock()
		}
		time.Sleep(f.after)
		result <- err
	}()
	if f.lost || f.dropped {
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
		return errTimeout
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *fakeStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	read := make(chan platform.Entry, 1)
	if err := s.call(ctx, false, func() error { read <- s.entries[key]; return nil }); err != nil {
		return platform.Entry{}, err
	}
	return <-read, nil
}

func (s *fakeStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	return expected + 1, s.call(ctx, true, func() error {
		switch {
		case len(value) > platform.MaxValueBytes:
			return platform.ErrTooLarge
		case s.entries[key].Version != expected:
			return platform.ErrConflict
		}
		s.writes++
		s.entries[key] = platform.Entry{Key: key, Value: value, Version: expected + 1}
		return nil
	})
}

// setFaults sets one fault for all reads and one for all writes.
func (s *fakeStore) setFaults(read, write fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextFault = func(w bool) fault { return map[bool]fault{true: write, false: read}[w] }
}

// begin begins a request on a node and returns the intent and the code of the error.
func begin(t *testing.T, m *Manager, id string, within time.Duration) (Intent, verdict.Code) {
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	began := time.Now()
	i, err := m.Begin(ctx, "caller", id, "ledger")
	qt.Check(t, time.Since(began) <= within, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
	if err == nil {
		qt.Check(t, i.Check(), qt.IsNil)
		return i, ""
	}
	qt.Check(t, verdict.Of(err).IsNotRun(), qt.Equals, verdict.CodeOf(err) != verdict.CodeDuplicate, qt.Commentf("%v", err))
	return nil, verdict.CodeOf(err)
}

var faults = map[string]fault{"ok": {after: time.Millisecond}, "down": {dropped: true}, "unsent": {notSent: true},
	"lost": {lost: true}, "late": {lost: true, before: 3 * time.Second}}

// Guards against a second run of a request, against a duplicate whose verdict is "not run", and against a released or
// given-up intent that keeps refusing resends. In the scripts, "a 1 100ms code" begins request 1 on node a with a
// timeout of 100 ms and expects the error code or ok. A further duration bounds the time until then. "store ok lost"
// sets the faults of reads and writes. "release" releases the intent that was held last, and "refused" expects its
// check to fail. "wipe" deletes the content of the store, and "fill" fills the bucket of request 1.
func TestOneAttempt(t *testing.T) {
	tests := []struct{ name, script string }{
		{"duplicates", "a 1 1s ok; a 1 1s duplicate_request; b 1 1s duplicate_request; sleep 10m1s; a 1 1s ok"},
		{"the store returns to an older state", "a 1 1s ok; wipe; a 1 1s duplicate_request"},
		{"release", "a 1 1s ok; b 1 1s duplicate_request; release; refused; b 1 1s ok; release; a 1 1s ok"},
		{"release and take over while the store is down", "a 1 1s ok; store down down; release; a 1 1s store_unavailable; " +
			"store ok ok; a 1 1s ok; b 1 1s duplicate_request"},
		{"release in the background", "a 1 1s ok; store down down; release; store ok ok; sleep 2s; b 1 1s ok"},
		{"store down, refused at once because a slot is held", "store down down; a 1 1s store_unavailable 60ms; " +
			"store unsent unsent; a 1 1s store_unavailable 60ms; store ok ok; a 1 1s ok"},
		{"response lost, write took effect", "store ok lost; a 1 1s ok; b 1 1s duplicate_request"},
		{"given up, another writes before the late effect", "store ok late; a 1 40ms store_unavailable; store ok ok; " +
			"sleep 2s; b 1 1s ok; sleep 4s; a 1 1s duplicate_request"},
		{"given up, late effect on an unchanged bucket", "store ok late; a 1 40ms store_unavailable; store ok ok; " +
			"sleep 5s; b 1 1s ok"},
		{"given up, write took effect", "store ok lost; a 1 40ms store_unavailable; store ok ok; sleep 2s; b 1 1s ok"},
		{"old intent", "a 1 1s ok; sleep 60001ms; refused"},
		{"full bucket", "fill; a 1 1s overloaded; wipe; a 1 1s ok"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withNodes(t, func(t *testing.T, s *fakeStore, nodes map[string]*Manager) {
				var held Intent
				for step := range strings.SplitSeq(test.script, "; ") {
					comment, words := qt.Commentf("%s", step), strings.Fields(step)
					switch words[0] {
					case "a", "b":
						within, _ := time.ParseDuration(words[2])
						began := time.Now()
						i, code := begin(t, nodes[words[0]], words[1], within)
						qt.Assert(t, cmp.Or(string(code), "ok"), qt.Equals, words[3], comment)
						if len(words) > 4 {
							limit, _ := time.ParseDuration(words[4])
							qt.Assert(t, time.Since(began) <= limit, qt.IsTrue, comment)
						}
						if i != nil {
							held = i
						}
					case "store":
						s.setFaults(faults[words[1]], faults[words[2]])
					case "sleep":
						d, _ := time.ParseDuration(words[1])
						time.Sleep(d)
					case "release":
						held.Release(t.Context())
					case "refused":
						qt.Assert(t, verdict.Of(held.Check()).IsNotRun(), qt.IsTrue, comment)
					case "wipe":
						s.entries = map[string]platform.Entry{}
					case "fill":
						key := nodes["a"].bucket("ledger", requestHash("caller", "1")).key
						value, _ := proto.Marshal(&intentpb.Bucket{Entries: []*intentpb.Entry{
							{Request: make([]byte, maxBucketBytes-32), CreatedMs: time.Now().UnixMilli()}}})
						s.entries[key] = platform.Entry{Key: key, Value: value, Version: 1}
					}
				}
			})
		})
	}
}

func withNodes(t *testing.T, run func(*testing.T, *fakeStore, map[string]*Manager)) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		nodes := map[string]*Manager{"a": New(s, event.Discard{}, nil), "b": New(s, event.Discard{}, nil)}
		run(t, s, nodes)
		time.Sleep(5 * time.Second) // late effects
		for _, m := range nodes {
			m.Close()
		}
	})
}

// Guards against two attempts that both hold one request, a write for each intent, a duplicate whose error does not say
// that the first attempt has ended, and memory that is never freed.
func TestConcurrentAttempts(t *testing.T) {
	withNodes(t, func(t *testing.T, s *fakeStore, nodes map[string]*Manager) {
		const requests = 1600
		var wg sync.WaitGroup
		var won atomic.Int64
		for i := range 2 * requests {
			wg.Go(func() {
				m := nodes[[]string{"a", "b"}[i%2]]
				if held, code := begin(t, m, fmt.Sprint(i/2), time.Second); code == "" {
					won.Add(1)
					held.Done(t.Context())
				}
			})
		}
		wg.Wait()
		qt.Check(t, won.Load(), qt.Equals, int64(requests))
		qt.Check(t, s.writes <= 6*Buckets, qt.IsTrue, qt.Commentf("%d writes", s.writes))
		for name, m := range nodes { // a later write of the bucket stores the end of the attempts
			for i := range 10 * Buckets {
				begin(t, m, fmt.Sprint(name, i), time.Second)
			}
		}
		for _, m := range nodes {
			_, err := m.Begin(t.Context(), "caller", "0", "ledger")
			qt.Check(t, err, qt.ErrorMatches, ".*another attempt has ended and may have run; it began .*")
		}
		time.Sleep(2 * Expiry)
		for _, m := range nodes {
			for _, b := range m.buckets {
				b.mu.Lock()
				qt.Check(t, len(b.local)+len(b.order)+len(b.pendingDone)+len(b.entries), qt.Equals, 0)
				b.mu.Unlock()
			}
		}
	})
}

// Guards against two sends of one request, and against a request that can never be resent, for any order of lost, late
// and dropped calls, releases and pauses on three nodes.
func TestAtMostOneSend(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fault{{}, {}, {after: 3 * time.Millisecond}, {before: 40 * time.Millisecond},
			{lost: true}, {lost: true, before: 700 * time.Millisecond}, {lost: true, before: 90 * time.Millisecond},
			{dropped: true}, {notSent: true}}), 1, 60).Draw(rt, "calls to the store")
		starts := rapid.SliceOfN(rapid.IntRange(0, 1500), 12, 12).Draw(rt, "ms at which attempt i starts")
		waits := rapid.SliceOfN(rapid.SampledFrom([]int{20, 100, 400}), 12, 12).Draw(rt, "its ms for the store")
		ends := rapid.SliceOfN(rapid.SampledFrom([]string{"send", "release", "release", "pause"}), 12, 12).Draw(rt, "its end")
		seed := rapid.Uint64().Draw(rt, "order of faults")
		var sends string
		synctest.Test(t, func(t *testing.T) { sends = runAttempts(t, faults, starts, waits, ends, seed) })
		if sends != "" {
			rt.Fatal(sends)
		}
	})
}

func runAttempts(t *testing.T, faults []fault, starts, waits []int, ends []string, seed uint64) string {
	s, r := newStore(), rand.New(rand.NewPCG(seed, 0))
	s.nextFault = func(bool) fault { return faults[r.IntN(len(faults))] }
	nodes := []*Manager{New(s, event.Discard{}, nil), New(s, event.Discard{}, nil), New(s, event.Discard{}, nil)}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var sends []string
	for i := range starts {
		wg.Go(func() {
			time.Sleep(time.Duration(starts[i]) * time.Millisecond)
			held, code := begin(t, nodes[i%3], "1", time.Duration(waits[i])*time.Millisecond)
			if code != "" {
				return
			}
			if ends[i] == "release" {
				held.Release(t.Context())
			}
			if ends[i] == "pause" {
				time.Sleep(Expiry + 20*time.Second)
			}
			if held.Check() == nil {
				mu.Lock()
				sends = append(sends, fmt.Sprintf("attempt %d on node %d after a %s", i, i%3, ends[i]))
				mu.Unlock()
				held.Done(t.Context())
			}
		})
	}
	time.Sleep(5 * time.Second)
	s.setFaults(fault{}, fault{})
	time.Sleep(5 * time.Second)
	_, resent := begin(t, nodes[0], "1", time.Second)
	time.Sleep(Expiry)
	_, late := begin(t, nodes[1], "1", time.Second)
	wg.Wait()
	usable := !strings.Contains(fmt.Sprint(ends), "pause") // a paused attempt holds its intent
	switch {
	case resent == "":
		sends = append(sends, "resend")
	case len(sends) == 0 && usable:
		return "nothing was sent and a resend is refused: " + string(resent)
	}
	// The late attempt begins after the time in which callers may resend. Only a paused attempt must not send after it.
	if late == "" && len(sends) > 0 && !usable && strings.HasSuffix(sends[len(sends)-1], "after a pause") {
		sends = append(sends, "late resend")
	}
	for _, n := range nodes {
		n.Close()
	}
	return strings.Join(sends[min(1, len(sends)):], ", ") // the sends beyond the first
}
