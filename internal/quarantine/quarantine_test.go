package quarantine

import (
	"context"
	"fmt"
	"strconv"
	"strings"
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

// Guards against a request that continues to crash leaves, and against suspicion of requests that only ran beside it.
// In the scripts, "p1" begins call 1 of the request with fingerprint p, and "p1/7" does so for shard 7. "alone" and
// "refused" are the expected results of Enter. "ok" and "fail" end calls, and "lost a" ends them with the session to
// leaf a. "crash a" ends the calls that ran when leaf a crashed and reports the crash. "cut a" reports that leaf a is
// back and did not crash.
func TestBlame(t *testing.T) {
	const twice = "p1; crash a p1; p2 alone; crash b p2; "
	tests := []struct{ name, script string }{
		{"one crash", "p1; crash a p1; p2 alone"},
		{"two leaves", twice + "p3 refused"},
		{"two boots of one leaf", "p1; crash a p1; p2 alone; crash a p2; p3 refused"},
		{"crash reported after the end", "p1; fail p1; wait 1m; crash a p1; p2 alone; fail p2; crash b p2; p3 refused"},
		{"two calls on one leaf are one crash", "p1; p2; crash a p1 p2; p3 alone"},
		{"two leaves at once", "p1; p2/1; p3/2; crash a p1; crash b p2 p3; p4 refused"},
		{"beside a crash", "p1; q1; crash a p1 q1; q2 alone; ok q2; q3; p2 alone; crash b p2; p3 refused; q4"},
		{"two suspects at both crashes", "p1; p2; q1; q2; crash a p1 q1; crash b p2 q2; p3 alone; q3 alone; crash c p3; " +
			"p4 refused; fail q3; q4 alone"},
		{"the only suspect at both crashes", "p1; p2; q1; r1; crash a p1 q1; crash b p2 r1; p3 refused; q2 alone; r2 alone"},
		{"answer of a call that began before", "p1; p2; crash a p1; ok p2; p3 alone"},
		{"answer of another shard", "p1/7; crash a p1; p2 alone; ok p2; p3/7 alone; crash b p3; p4 refused"},
		{"answered calls are not suspected", "p1; ok p1; crash a p1; p2"},
		{"unknown calls", "crash a x1; p1"},
		{"suspicion ends", "p1; crash a p1; wait 10m; p2; crash b p2; p3 alone"},
		{"quarantine ends", twice + "p3 refused; wait 9m59s; p4 refused; wait 1s; p5"},
		{"second loss alone", "p1; q1; lost a p1 q1; p2 alone; lost b p2; p3 refused; q2 alone; ok q2; q3; crash b p2; " +
			"p3 refused; crash a p1 q1; q4; wait 9m; p4 refused"},
		{"confirmed in order", "p1; q1; lost a p1 q1; p2 alone; lost b p2; crash a p1 q1; q2 alone; fail q2; crash b p2; wait 9m; " +
			"p3 refused; q3 alone"},
		{"losses at once", "p1; p2; lost a p1; lost b p2; p3 alone"},
		{"only the connections were cut", "p1; lost a p1; p2 alone; lost b p2; p3 refused; cut b p2; p4 alone; fail p4; " +
			"cut a p1; p5"},
		{"the leaf stays away", "p1; lost a p1; p2 alone; lost b p2; wait 7s; p3 refused; wait 1s; p4 alone; lost c p4; " +
			"p5 refused"},
		{"lifted, then counted again", twice + "p3 refused; lift p; p4; crash c p4; p5 alone; crash d p5; p6 refused"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, s := newList()
				for step := range strings.SplitSeq(test.script, "; ") {
					switch words := strings.Fields(step); words[0] {
					case "ok", "fail":
						l.Leave(words[1], words[0] == "ok")
					case "lost":
						for _, id := range words[2:] {
							l.SessionLost(id, words[1])
							l.Leave(id, false)
						}
					case "crash", "cut":
						l.HandleCrash(leaf.Crash{Service: "s", VM: words[1], Running: words[2:], SameBoot: words[0] == "cut"})
						for _, id := range words[2:] {
							l.Leave(id, false)
						}
					case "wait":
						d, _ := time.ParseDuration(words[1])
						time.Sleep(d)
					case "lift":
						s.lifted[words[1]] = 1
					default:
						id, shard, _ := strings.Cut(words[0], "/")
						n, _ := strconv.Atoi(shard)
						alone, err := l.Enter(t.Context(), id[:1], "s", id, uint32(n))
						got := map[bool]string{true: id + "/" + shard + " alone", false: id + "/" + shard}[alone]
						if err != nil {
							got += " refused"
							qt.Check(t, verdict.CodeOf(err), qt.Equals, verdict.CodeQuarantined)
							qt.Check(t, verdict.Of(err).IsNotRun(), qt.IsTrue)
						}
						words[0] = id + "/" + shard
						qt.Assert(t, got, qt.Equals, strings.Join(words, " "), qt.Commentf("%s", step))
					}
				}
			})
		})
	}
}

// Guards against concurrent calls of a suspect, and against a call that waits for its turn after its context has ended.
func TestSuspectsRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newList()
		l.Enter(t.Context(), "p", "s", "1", 0)
		l.HandleCrash(leaf.Crash{Running: []string{"1"}})
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
		l.Leave("2", true) // clears the suspicion, so that the others need not wait
		for range 3 {
			qt.Assert(t, <-entered, qt.IsFalse)
		}
	})
}

// Guards against a quarantine that is not known on all nodes, that nodes pass on without end, or whose lift an older
// copy reverts while nodes learn of it at different times.
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
		countRefusing := func() (n int) {
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
				lists[0].HandleCrash(leaf.Crash{Service: "s", VM: vm, Running: []string{vm}})
				lists[0].Leave(vm, false)
			}
		}
		for _, vm := range []string{"a", "b"} { // refused provisionally while the leaf is away
			lists[0].Enter(t.Context(), "p", "s", vm, 0)
			lists[0].SessionLost(vm, vm)
			lists[0].Leave(vm, false)
		}
		for range 20 {
			exchange(250 * time.Millisecond)
			qt.Assert(t, countRefusing(), qt.Equals, 4)
		}
		lists[0].HandleCrash(leaf.Crash{Service: "s", Running: []string{"a", "b"}, SameBoot: true})
		exchange(provisionalCopyTTL + 100*time.Millisecond)
		qt.Assert(t, countRefusing(), qt.Equals, 0)

		crashTwice()
		exchange(100 * time.Millisecond)
		qt.Assert(t, countRefusing(), qt.Equals, 4)
		exchange(Period + time.Second)
		qt.Assert(t, countRefusing(), qt.Equals, 0)

		crashTwice()
		exchange(time.Second)
		sources[0].lifted["p"] = 5
		exchange(time.Second)
		qt.Assert(t, countRefusing(), qt.Equals, 3)
		crashTwice() // the owner counts again, before the others learn of the lift
		exchange(time.Second)
		for _, s := range sources {
			s.lifted["p"] = 5
			exchange(time.Second)
		}
		qt.Assert(t, countRefusing(), qt.Equals, 4)
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
		qt.Assert(t, countRefusing(), qt.Equals, 0)
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
		l.HandleCrash(leaf.Crash{Running: []string{id}})
		l.Import([]*peerpb.QuarantineEntry{{Fingerprint: "x" + id, Crashes: 2, RemainingMs: Period.Milliseconds()}})
	}
	qt.Check(t, len(l.calls) <= maxCalls && len(l.suspects) <= maxSuspects && len(l.entries) <= maxEntries, qt.IsTrue)
	qt.Check(t, l.Check(fmt.Sprint("x", 2*maxCalls-1)), qt.IsNotNil)
}
