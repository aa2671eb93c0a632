package intent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

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

func (s *store) Get(ctx context.Context, key string) (e platform.Entry, err error) {
	var read platform.Entry
	if err := s.do(ctx, false, func() error { read = s.entries[key]; return nil }); err != nil {
		return platform.Entry{}, err
	}
	return read, nil
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

func (s *store) Watch(context.Context, string, uint64) (platform.Entry, error) {
	return platform.Entry{}, errTimeout
}

// set makes the store answer all calls alike.
func (s *store) set(read, write fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = func(w bool) fault {
		if w {
			return write
		}
		return read
	}
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

// Guards against a second run of a request, against a duplicate that is told "not run", and against a released or
// given-up intent that refuses resends for ever.
func TestOneAttempt(t *testing.T) {
	ok := fault{after: time.Millisecond}
	down := fault{dropped: true}
	const second = time.Second
	tests := []struct {
		name string
		run  func(t *testing.T, s *store, a, b *Manager)
	}{
		{"duplicates", func(t *testing.T, s *store, a, b *Manager) {
			i, code := begin(t, a, "1", second)
			qt.Assert(t, code, qt.Equals, verdict.Code(""))
			for _, m := range []*Manager{a, b} {
				_, code = begin(t, m, "1", second)
				qt.Check(t, code, qt.Equals, verdict.CodeDuplicate)
			}
			i.Done(t.Context())
			for n := range 100 { // the note goes with a later write of the bucket
				_, code = begin(t, a, fmt.Sprint("n", n), second)
				qt.Check(t, code, qt.Equals, verdict.Code(""))
			}
			_, err := b.Begin(t.Context(), "caller", "1", "ledger")
			qt.Check(t, err, qt.ErrorMatches, ".*another attempt has ended and may have run; it began .*")
			time.Sleep(Expiry + second)
			_, code = begin(t, a, "1", second)
			qt.Check(t, code, qt.Equals, verdict.Code(""))
		}},
		{"the store comes back from an older state", func(t *testing.T, s *store, a, b *Manager) {
			begin(t, a, "1", second)
			s.entries = map[string]platform.Entry{}
			_, code := begin(t, a, "1", second)
			qt.Check(t, code, qt.Equals, verdict.CodeDuplicate)
		}},
		{"release, then resend to both nodes", func(t *testing.T, s *store, a, b *Manager) {
			i, _ := begin(t, a, "1", second)
			i.Release(t.Context())
			qt.Check(t, verdict.Of(i.Check()).IsNotRun(), qt.IsTrue)
			i, code := begin(t, b, "1", second)
			qt.Check(t, code, qt.Equals, verdict.Code(""))
			i.Release(t.Context())
			_, code = begin(t, a, "1", second)
			qt.Check(t, code, qt.Equals, verdict.Code(""))
		}},
		{"release while the store is down", func(t *testing.T, s *store, a, b *Manager) {
			i, _ := begin(t, a, "1", second)
			s.set(down, down)
			i.Release(t.Context())
			_, code := begin(t, a, "1", second)
			qt.Check(t, code, qt.Equals, verdict.CodeStoreDown)
			s.set(ok, ok)
			_, code = begin(t, a, "1", second) // takes the intent over
			qt.Check(t, code, qt.Equals, verdict.Code(""))
			_, code = begin(t, b, "1", second)
			qt.Check(t, code, qt.Equals, verdict.CodeDuplicate)
		}},
		{"release in the background", func(t *testing.T, s *store, a, b *Manager) {
			i, _ := begin(t, a, "1", second)
			s.set(down, down)
			i.Release(t.Context())
			s.set(ok, ok)
			time.Sleep(2 * maxBackoff)
			_, code := begin(t, b, "1", second)
			qt.Check(t, code, qt.Equals, verdict.Code(""))
		}},
		{"store down", func(t *testing.T, s *store, a, b *Manager) {
			for _, f := range []fault{down, {notSent: true}} {
				s.set(f, f)
				began := time.Now()
				_, code := begin(t, a, "1", second)
				qt.Check(t, code, qt.Equals, verdict.CodeStoreDown)
				qt.Check(t, time.Since(began) <= 100*time.Millisecond, qt.IsTrue) // a slot is held meanwhile
			}
			s.set(ok, ok)
			_, code := begin(t, a, "1", second)
			qt.Check(t, code, qt.Equals, verdict.Code(""))
		}},
		{"answer lost, write took effect", func(t *testing.T, s *store, a, b *Manager) {
			s.set(ok, fault{lost: true})
			_, code := begin(t, a, "1", second)
			qt.Check(t, code, qt.Equals, verdict.Code(""))
			_, code = begin(t, b, "1", second)
			qt.Check(t, code, qt.Equals, verdict.CodeDuplicate)
		}},
		{"given up, write takes effect late", func(t *testing.T, s *store, a, b *Manager) {
			s.set(ok, fault{lost: true, before: 3 * second})
			_, code := begin(t, a, "1", 40*time.Millisecond)
			qt.Check(t, code, qt.Equals, verdict.CodeStoreDown)
			s.set(ok, ok)
			time.Sleep(2 * second)
			_, code = begin(t, b, "1", second) // a's write can no longer take effect
			qt.Check(t, code, qt.Equals, verdict.Code(""))
			time.Sleep(4 * second)
			_, code = begin(t, a, "1", second)
			qt.Check(t, code, qt.Equals, verdict.CodeDuplicate)
		}},
		{"given up, write comes late to an unchanged bucket", func(t *testing.T, s *store, a, b *Manager) {
			s.set(ok, fault{lost: true, before: 3 * second})
			_, code := begin(t, a, "1", 40*time.Millisecond)
			qt.Check(t, code, qt.Equals, verdict.CodeStoreDown)
			s.set(ok, ok)
			time.Sleep(5 * second)
			_, code = begin(t, b, "1", second)
			qt.Check(t, code, qt.Equals, verdict.Code(""))
		}},
		{"given up, write took effect", func(t *testing.T, s *store, a, b *Manager) {
			s.set(ok, fault{lost: true})
			_, code := begin(t, a, "1", 40*time.Millisecond)
			qt.Check(t, code, qt.Equals, verdict.CodeStoreDown)
			s.set(ok, ok)
			time.Sleep(2 * maxBackoff)
			_, code = begin(t, b, "1", second)
			qt.Check(t, code, qt.Equals, verdict.Code(""))
		}},
		{"old intent", func(t *testing.T, s *store, a, b *Manager) {
			i, _ := begin(t, a, "1", second)
			time.Sleep(MaxAge + time.Millisecond)
			qt.Check(t, verdict.Of(i.Check()).IsNotRun(), qt.IsTrue)
		}},
		{"both at once", func(t *testing.T, s *store, a, b *Manager) {
			for round := range 20 {
				codes := make(chan verdict.Code, 4)
				for _, m := range []*Manager{a, b, a, b} {
					go func() {
						_, code := begin(t, m, fmt.Sprint(round), second)
						codes <- code
					}()
				}
				got := map[verdict.Code]int{<-codes: 1}
				for range 3 {
					got[<-codes]++
				}
				qt.Check(t, got, qt.DeepEquals, map[verdict.Code]int{"": 1, verdict.CodeDuplicate: 3})
			}
		}},
		{"group commit", func(t *testing.T, s *store, a, b *Manager) {
			var wg sync.WaitGroup
			for i := range 1600 {
				wg.Go(func() {
					_, code := begin(t, a, fmt.Sprint(i), second)
					qt.Check(t, code, qt.Equals, verdict.Code(""))
				})
			}
			wg.Wait()
			qt.Check(t, s.writes <= 3*Buckets, qt.IsTrue, qt.Commentf("%d writes", s.writes))
		}},
		{"full bucket", func(t *testing.T, s *store, a, b *Manager) {
			key := a.bucket("ledger", requestHash("caller", "1")).key
			full := &intentpb.Bucket{Entries: []*intentpb.Entry{{Request: make([]byte, maxBucketBytes-32), CreatedMs: time.Now().UnixMilli()}}}
			value, err := proto.Marshal(full)
			qt.Assert(t, err, qt.IsNil)
			s.entries[key] = platform.Entry{Key: key, Value: value, Version: 1}
			_, code := begin(t, a, "1", second)
			qt.Check(t, code, qt.Equals, verdict.CodeOverloaded)
			s.entries[key] = platform.Entry{Key: key, Version: 2} // another node has made room
			_, code = begin(t, a, "1", second)
			qt.Check(t, code, qt.Equals, verdict.Code(""))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				a, b := New(s), New(s)
				test.run(t, s, a, b)
				time.Sleep(5 * time.Second) // late effects
				a.Close()
				b.Close()
			})
		})
	}
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
		var problem string
		synctest.Test(t, func(t *testing.T) {
			problem = runAttempts(t, faults, starts, waits, ends, seed)
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

func runAttempts(t *testing.T, faults []fault, starts, waits []int, ends []string, seed uint64) string {
	s, r := newStore(), rand.New(rand.NewPCG(seed, 0))
	s.script = func(bool) fault { return faults[r.IntN(len(faults))] }
	nodes := []*Manager{New(s), New(s), New(s)}
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
	if len(sends) > 1 {
		return fmt.Sprint(sends)
	}
	return ""
}
