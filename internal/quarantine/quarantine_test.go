package quarantine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/leaf"
	"cyclamenstream/api/verdict"
	"cyclamenstream/gen/peerpb"
)

// source is a config.Source whose lifts the test sets.
type source struct{ lifted map[string]uint64 }

func (s *source) Current() *config.Document { return &config.Document{Lifted: s.lifted} }
func (s *source) Changed() <-chan struct{}  { return nil }

func newList() (*List, *source) {
	s := &source{lifted: map[string]uint64{}}
	return New(s, event.Discard{}), s
}

// step is one thing that happens to a list.
type step struct {
	enter  string // fingerprint of a call whose identifier is "fingerprint" or given by id
	id     string
	shard  uint32
	alone  bool         // what enter must tell
	code   verdict.Code // what enter must refuse with
	answer string       // identifier of a call that is answered
	fail   string       // identifier of a call that ends without an answer
	crash  []string     // identifiers of calls that ran on leaf vm when it crashed
	vm     string
	wait   time.Duration
	lift   string
}

// Guards against a request that goes on crashing leaves, and against blame on requests that only ran beside it.
func TestBlame(t *testing.T) {
	crash := func(vm string, ids ...string) step { return step{vm: vm, crash: ids} }
	refused := func(f string) step { return step{enter: f, code: verdict.CodeQuarantined} }
	twice := []step{{enter: "p"}, crash("a", "p"), {fail: "p"}, {enter: "p", id: "p2", alone: true}, crash("b", "p2"),
		{fail: "p2"}}
	tests := []struct {
		name  string
		steps []step
	}{
		{"one crash", []step{{enter: "p"}, crash("a", "p"), {fail: "p"}, {enter: "p", id: "p2", alone: true}}},
		{"two leaves", append(twice, refused("p"))},
		{"two boots of one leaf", []step{{enter: "p"}, crash("a", "p"), {enter: "p", id: "p2", alone: true}, crash("a", "p2"),
			refused("p")}},
		{"crash reported after the call has ended", []step{{enter: "p"}, {fail: "p"}, {wait: time.Minute}, crash("a", "p"),
			{enter: "p", id: "p2", alone: true}, {fail: "p2"}, crash("b", "p2"), refused("p")}},
		{"several calls on one leaf are one crash", []step{{enter: "p"}, {enter: "p", id: "p2"}, crash("a", "p", "p2"),
			{fail: "p"}, {fail: "p2"}, {enter: "p", id: "p3", alone: true}}},
		{"two leaves at once", []step{{enter: "p"}, {enter: "p", id: "p2", shard: 1}, {enter: "p", id: "p3", shard: 2},
			crash("a", "p"), crash("b", "p2", "p3"), refused("p")}},
		{"beside a crash", []step{{enter: "p"}, {enter: "q"}, crash("a", "p", "q"), {fail: "q"}, {fail: "p"},
			{enter: "q", id: "q2", alone: true}, {answer: "q2"}, {enter: "q", id: "q3"},
			{enter: "p", id: "p2", alone: true}, crash("b", "p2"), refused("p"), {enter: "q", id: "q4"}}},
		{"two suspects at both crashes", []step{{enter: "p"}, {enter: "p", id: "p2"}, {enter: "q"}, {enter: "q", id: "q2"},
			crash("a", "p", "q"), crash("b", "p2", "q2"), {enter: "p", id: "p3", alone: true},
			{enter: "q", id: "q3", alone: true}, crash("c", "p3"), refused("p")}},
		{"the only common one", []step{{enter: "p"}, {enter: "p", id: "p2"}, {enter: "q"}, {enter: "r"},
			crash("a", "p", "q"), crash("b", "p2", "r"), refused("p"), {enter: "q", id: "q2", alone: true},
			{enter: "r", id: "r2", alone: true}}},
		{"answer of a call that began before", []step{{enter: "p"}, {enter: "p", id: "p2"}, crash("a", "p"), {answer: "p2"},
			{enter: "p", id: "p3", alone: true}}},
		{"answer of another shard", []step{{enter: "p", shard: 7}, crash("a", "p"), {enter: "p", id: "p2", alone: true},
			{answer: "p2"}, {enter: "p", id: "p3", shard: 7, alone: true}, crash("b", "p3"), refused("p")}},
		{"answered calls are not blamed", []step{{enter: "p"}, {answer: "p"}, crash("a", "p"), {enter: "p", id: "p2"}}},
		{"unknown calls", []step{crash("a", "x"), {enter: "p"}}},
		{"suspicion ends", []step{{enter: "p"}, crash("a", "p"), {wait: suspicion}, {enter: "p", id: "p2"}, crash("b", "p2"),
			{enter: "p", id: "p3", alone: true}}},
		{"quarantine ends", append(twice, refused("p"), step{wait: Period - 1}, refused("p"), step{wait: 1},
			step{enter: "p", id: "p3"})},
		{"lifted, then counted anew", append(twice, step{lift: "p"}, step{enter: "p", id: "p3"}, crash("c", "p3"),
			step{enter: "p", id: "p4", alone: true}, crash("d", "p4"), refused("p"))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, s := newList()
				for i, step := range test.steps {
					if step.enter != "" {
						id := step.id
						if id == "" {
							id = step.enter
						}
						alone, err := l.Enter(t.Context(), step.enter, "s", id, step.shard)
						at := qt.Commentf("step %d: %v", i, err)
						qt.Assert(t, alone, qt.Equals, step.alone, at)
						qt.Assert(t, err != nil, qt.Equals, step.code != "", at)
						if err != nil {
							qt.Assert(t, verdict.CodeOf(err), qt.Equals, step.code)
							qt.Assert(t, verdict.Of(err).IsNotRun(), qt.IsTrue)
						}
					}
					l.Leave(step.answer, true)
					l.Leave(step.fail, false)
					if step.crash != nil {
						l.Crashed(leaf.Crash{Service: "s", VM: step.vm, Running: step.crash})
						for _, id := range step.crash {
							l.Leave(id, false) // the pool ends them too
						}
					}
					if step.lift != "" {
						s.lifted[step.lift] = 1
					}
					time.Sleep(step.wait)
				}
			})
		})
	}
}

// Guards against two calls of a suspect at once, and against a call that waits for its turn beyond its time.
func TestSuspectsRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newList()
		l.Enter(t.Context(), "p", "s", "1", 0)
		l.Crashed(leaf.Crash{Running: []string{"1"}})
		alone, err := l.Enter(t.Context(), "p", "s", "2", 0)
		qt.Assert(t, alone && err == nil, qt.IsTrue)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = l.Enter(ctx, "p", "s", "3", 0)
		qt.Assert(t, verdict.Of(err).IsNotRun(), qt.IsTrue)
		entered := make(chan bool, 3)
		for i := range 3 {
			go func() {
				alone, _ := l.Enter(t.Context(), "p", "s", fmt.Sprint("w", i), 0)
				entered <- alone
			}()
		}
		synctest.Wait()
		qt.Assert(t, entered, qt.HasLen, 0)
		l.Leave("2", true) // clears it: the others need not wait
		for range 3 {
			qt.Assert(t, <-entered, qt.IsFalse)
		}
	})
}

// Guards against a quarantine that is not known on all nodes, that nodes pass on for ever, or whose lift an older copy
// undoes while nodes learn of it at different times.
func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lists []*List
		var sources []*source
		for range 4 {
			l, s := newList()
			lists, sources = append(lists, l), append(sources, s)
		}
		exchange := func(d time.Duration) { // each heartbeat takes 23 ms
			for end := time.Now().Add(d); time.Now().Before(end); {
				for _, from := range lists {
					sent := from.Export()
					time.Sleep(23 * time.Millisecond)
					for _, to := range lists {
						to.Import(sent)
					}
				}
			}
		}
		refusing := func() (n int) {
			for _, l := range lists {
				if l.Check("p") != nil {
					n++
				}
				qt.Check(t, l.Check("p") != nil, qt.Equals, len(l.List()) == 1)
			}
			return n
		}
		crashTwice := func() {
			for _, vm := range []string{"a", "b"} {
				lists[0].Enter(t.Context(), "p", "s", vm, 0)
				lists[0].Crashed(leaf.Crash{Service: "s", VM: vm, Running: []string{vm}})
				lists[0].Leave(vm, false)
			}
		}
		crashTwice()
		exchange(100 * time.Millisecond)
		qt.Assert(t, refusing(), qt.Equals, 4)
		exchange(Period + time.Second)
		qt.Assert(t, refusing(), qt.Equals, 0)

		crashTwice()
		exchange(time.Second)
		sources[0].lifted["p"] = 5
		exchange(time.Second)
		qt.Assert(t, refusing(), qt.Equals, 3)
		crashTwice() // the owner counts anew, before the others learn of the lift
		exchange(time.Second)
		for _, s := range sources {
			s.lifted["p"] = 5
			exchange(time.Second)
		}
		qt.Assert(t, refusing(), qt.Equals, 4)
		l, s := newList()
		for _, lifted := range []uint64{4, 5} { // the newer entry must be there when the lift comes
			l.Import([]*peerpb.QuarantineEntry{{Fingerprint: "p", Crashes: 2, RemainingMs: 60_000, LiftedVersion: lifted}})
		}
		s.lifted["p"] = 5
		qt.Assert(t, l.Check("p"), qt.IsNotNil)
		for _, s := range sources {
			s.lifted["p"] = 6
			exchange(time.Second)
		}
		qt.Assert(t, refusing(), qt.Equals, 0)
	})
}

// Guards against unbounded memory.
func TestBounds(t *testing.T) {
	l, _ := newList()
	for i := range 2 * maxCalls {
		id := fmt.Sprint(i)
		l.Enter(t.Context(), id, "s", id, 0)
		l.Leave(id, false)
		if i%16 != 15 {
			continue
		}
		l.Crashed(leaf.Crash{Running: []string{id}})
		l.Import([]*peerpb.QuarantineEntry{{Fingerprint: "x" + id, Crashes: 2, RemainingMs: Period.Milliseconds()}})
	}
	qt.Check(t, len(l.calls) <= maxCalls && len(l.suspects) <= maxSuspects && len(l.entries) <= maxEntries, qt.IsTrue)
	qt.Check(t, l.Check(fmt.Sprint("x", 2*maxCalls-1)), qt.IsNotNil)
}
