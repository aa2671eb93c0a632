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

var errTimeout = errors.New("no answer")

// fault is what the store does with one call.
type fault struct {
	before, after time.Duration // delays of the effect and of the answer
	lost          bool          // the answer is lost; the effect comes even if the caller has given up
	notSent       bool
	dropped       bool // no effect and no answer
}

// store is a platform.Store in memory.
type store struct {
	platform.Store
	mu      sync.Mutex
	entries map[string]platform.Entry
	script  func(write bool) fault
	writes  int
}

func newStore() *store {
	return &store{entries: map[string]platform.Entry{}, script: func(bool) fault { return fault{after: time.Millisecond} }}
}

func (s *store) do(ctx context.Context, write bool, effect func() error) error {
	s.mu.Lock()
	f := s.script(write)
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

func (s *store) Get(ctx context.Context, key string) (platform.Entry, error) {
	read := make(chan platform.Entry, 1)
	if err := s.do(ctx, false, func() error { read <- s.entries[key]; return nil }); err != nil {
		return platform.Entry{}, err
	}
	return <-read, nil
}

func (s *store) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	return expected + 1, s.do(ctx, true, func() error {
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

// set makes the store answer all calls alike.
func (s *store) set(read, write fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = func(w bool) fault { return map[bool]fault{true: write, false: read}[w] }
}

// begin tries a request on a node and returns the intent and the error's code.
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

// Guards against a second run of a request, against a duplicate that is told "not run", and against a released or
// given-up intent that refuses resends for ever. Each script has these steps: "a 1 100ms code" begins request 1 on node
// a within that time and expects the error code or ok, within an optional limit, "store ok lost" sets what reads and writes do, "release" and "refused" concern the
// intent held last.
func TestOneAttempt(t *testing.T) {
	tests := []struct{ name, script string }{
		{"duplicates", "a 1 1s ok; a 1 1s duplicate_request; b 1 1s duplicate_request; sleep 10m1s; a 1 1s ok"},
		{"the store comes back from an older state", "a 1 1s ok; wipe; a 1 1s duplicate_request"},
		{"release", "a 1 1s ok; b 1 1s duplicate_request; release; refused; b 1 1s ok; release; a 1 1s ok"},
		{"release and take over while the store is down", "a 1 1s ok; store down down; release; a 1 1s store_unavailable; " +
			"store ok ok; a 1 1s ok; b 1 1s duplicate_request"},
		{"release in the background", "a 1 1s ok; store down down; release; store ok ok; sleep 2s; b 1 1s ok"},
		{"store down: a slot is held meanwhile", "store down down; a 1 1s store_unavailable 60ms; " +
			"store unsent unsent; a 1 1s store_unavailable 60ms; store ok ok; a 1 1s ok"},
		{"answer lost, write took effect", "store ok lost; a 1 1s ok; b 1 1s duplicate_request"},
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
			withNodes(t, func(t *testing.T, s *store, nodes map[string]*Manager) {
				var held Intent
				for step := range strings.SplitSeq(test.script, "; ") {
					at, words := qt.Commentf("%s", step), strings.Fields(step)
					switch words[0] {
					case "a", "b":
						within, _ := time.ParseDuration(words[2])
						began := time.Now()
						i, code := begin(t, nodes[words[0]], words[1], within)
						qt.Assert(t, cmp.Or(string(code), "ok"), qt.Equals, words[3], at)
						if len(words) > 4 {
							limit, _ := time.ParseDuration(words[4])
							qt.Assert(t, time.Since(began) <= limit, qt.IsTrue, at)
						}
						if i != nil {
							held = i
						}
					case "store":
						s.set(faults[words[1]], faults[words[2]])
					case "sleep":
						d, _ := time.ParseDuration(words[1])
						time.Sleep(d)
					case "release":
						held.Release(t.Context())
					case "refused":
						qt.Assert(t, verdict.Of(held.Check()).IsNotRun(), qt.IsTrue, at)
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

func withNodes(t *testing.T, run func(*testing.T, *store, map[string]*Manager)) {
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

// Guards against two winners of one request, a write for each intent, a duplicate that is not told that the first attempt
// has ended, and memory that is never freed.
func TestConcurrentAttempts(t *testing.T) {
	withNodes(t, func(t *testing.T, s *store, nodes map[string]*Manager) {
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
		for name, m := range nodes { // the note of the end goes with a later write of the bucket
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
				qt.Check(t, len(b.local)+len(b.order)+len(b.done)+len(b.entries), qt.Equals, 0)
				b.mu.Unlock()
			}
		}
	})
}

// Guards against two sends of one request, or an intent that is never usable again, under any order of lost, late and
// dropped calls, releases and pauses on three nodes.
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
	s.script = func(bool) fault { return faults[r.IntN(len(faults))] }
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
	s.set(fault{}, fault{})
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
	// The late attempt comes after the time in which callers may resend: only a paused attempt must not send then.
	if late == "" && len(sends) > 0 && !usable && strings.HasSuffix(sends[len(sends)-1], "after a pause") {
		sends = append(sends, "late resend")
	}
	for _, n := range nodes {
		n.Close()
	}
	return strings.Join(sends[min(1, len(sends)):], ", ") // the sends beyond the first
}
