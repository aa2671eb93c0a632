package slots

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/cluster"
	"cyclamenstream/api/leaf"
)

// A hundred schedules, the library's default, miss faults that need a certain order of rare steps.
func init() {
	_ = flag.Set("rapid.checks", "1500")
	_ = flag.Set("rapid.steps", "60")
}

var testLimits = Limits{Slots: 3, ColdSlots: 1}

// modelLeaf is a leaf process as it really is, and what the owner has been told of it.
type modelLeaf struct {
	vm        string
	boot      int
	running   []*modelCall // what the process runs now
	told      string       // the boot identifier that the owner knows
	connected bool
	draining  bool
	coldAt    int // limit that the owner may assume without any answer
	answers   int // answers since the owner was told that the leaf is cold
	session   int // counts sessions
}

type modelCall struct {
	leaf    *modelLeaf
	grant   *Grant
	sent    bool
	until   time.Time // when the leaf stops the call by itself
	owner   bool      // the owner waits for the end of the call
	session int
}

type modelWaiter struct {
	*Waiter
	request Request
}

// model drives a Service and leaves at random and checks each grant against what the leaves really run.
type model struct {
	t       *rapid.T
	now     time.Time
	wake    time.Time
	service *Service
	leaves  []*modelLeaf
	calls   []*modelCall
	waiting []*modelWaiter
	usable  time.Time
	open    bool
	handed  map[string]cluster.LeafHandover // by VM, until the leaf is connected
}

func without[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(o T) bool { return o == x })
}

func (m *model) bootID(l *modelLeaf) string { return fmt.Sprint(l.vm, "/", l.boot) }

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1000, 0)}
	m.newService()
	var handover cluster.Handover
	for _, vm := range []string{"a", "b", "c"} {
		l, limit := &modelLeaf{vm: vm}, rapid.IntRange(testLimits.ColdSlots, testLimits.Slots).Draw(t, "limit")
		m.leaves = append(m.leaves, l)
		handover.Leaves = append(handover.Leaves, cluster.LeafHandover{VM: vm, BootID: m.bootID(l), Limit: limit})
	}
	m.openService(&handover)
	for _, l := range m.leaves {
		m.connectLeaf(l)
	}
	return m
}

func (m *model) newService() {
	opt := testOptions(&m.now, 8)
	opt.Wake = func(d time.Duration) { m.wake = m.now.Add(d) }
	m.service = NewService(opt)
}

func testOptions(now *time.Time, maxQueue int) Options {
	return Options{
		Limits: testLimits, MaxQueue: maxQueue, Zone: "z", Now: func() time.Time { return *now },
		Typical: func() time.Duration { return 5 * time.Millisecond },
		Wake:    func(time.Duration) {}, Changed: func(string, Change) {},
	}
}

func (m *model) openService(handover *cluster.Handover) {
	m.usable = m.now.Add(time.Duration(rapid.IntRange(0, 1).Draw(m.t, "usable")) * 100 * time.Millisecond)
	m.handed = map[string]cluster.LeafHandover{}
	for _, given := range handover.Leaves {
		m.handed[given.VM] = given
	}
	m.service.Open(m.usable, handover)
	m.open = true
}

func (m *model) pickLeaf() *modelLeaf { return rapid.SampledFrom(m.leaves).Draw(m.t, "leaf") }

func (m *model) pickCall(match func(*modelCall) bool) *modelCall {
	var some []*modelCall
	for _, c := range m.calls {
		if match(c) {
			some = append(some, c)
		}
	}
	if len(some) == 0 {
		m.t.Skip("no call")
	}
	return rapid.SampledFrom(some).Draw(m.t, "call")
}

// granted checks a new grant.
func (m *model) granted(g *Grant) {
	i := slices.IndexFunc(m.leaves, func(l *modelLeaf) bool { return l.vm == g.VM() })
	l := m.leaves[i]
	m.calls = append(m.calls, &modelCall{leaf: l, grant: g, session: l.session})
	// The grant's own lock is held, so that its state is read without LeafStats.
	limit := g.leaf.ramp.limit
	most := min(testLimits.Slots, l.coldAt+l.answers/stepAnswers)
	work := len(l.running)
	for _, c := range m.calls {
		if c.leaf == l && !c.sent && c.grant.state == granted {
			work++
		}
	}
	if !m.open || m.now.Before(m.usable) || !l.connected || l.draining {
		m.t.Fatalf("grant on %+v: open %v, usable %v", *l, m.open, !m.now.Before(m.usable))
	}
	if limit > most || work > limit {
		m.t.Fatalf("leaf %s may run %d calls at limit %d, which may be %d at most", l.vm, work, limit, most)
	}
	if alone := slices.ContainsFunc(g.leaf.grants, func(g *Grant) bool { return g.alone }); alone && len(g.leaf.grants) > 1 {
		m.t.Fatalf("leaf %s runs another call besides one that must run alone", l.vm)
	}
}

func (m *model) acquire(t *rapid.T) {
	all := rapid.SampledFrom([]leaf.Replica{{VM: "a"}, {VM: "b"}, {VM: "c"}})
	replicas := rapid.SliceOfNDistinct(all, 1, 3, rapid.ID[leaf.Replica]).Draw(t, "replicas")
	r := Request{
		Replicas:  func() []leaf.Replica { return replicas },
		Priority:  rapid.IntRange(0, 2).Draw(t, "priority"),
		Deadline:  m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "deadline")) * time.Millisecond),
		Immediate: rapid.IntRange(0, 4).Draw(t, "immediate") == 0,
		Alone:     rapid.IntRange(0, 4).Draw(t, "alone") == 0,
	}
	w := &modelWaiter{request: r}
	best := m.mostFree(replicas)
	g, waiter, err := m.service.Acquire(r, func(g *Grant, err error) { m.delivered(w, g, err) })
	switch {
	case waiter != nil && !waiter.done:
		w.Waiter = waiter
		m.waiting = append(m.waiting, w)
	case g != nil:
		m.granted(g)
		if !r.Alone && m.service.alone == 0 && g.leaf.free()+1 < best {
			t.Fatalf("%s had %d free slots, another leaf %d", g.VM(), g.leaf.free()+1, best)
		}
	case err == nil && waiter == nil:
		t.Fatal("neither a grant, a waiter nor an error")
	}
}

// mostFree returns the most free slots of any leaf that takes work.
func (m *model) mostFree(replicas []leaf.Replica) int {
	most := 0
	for _, l := range m.leaves {
		if inUse, limit := m.service.LeafStats(l.vm); l.connected && !l.draining && slices.Contains(replicas, leaf.Replica{VM: l.vm}) {
			most = max(most, limit-inUse)
		}
	}
	return most
}

func (m *model) delivered(w *modelWaiter, g *Grant, err error) {
	m.waiting = without(m.waiting, w)
	if err != nil {
		return
	}
	for _, o := range m.waiting {
		before := o.request.Priority > w.request.Priority ||
			o.request.Priority == w.request.Priority && o.request.Deadline.Before(w.request.Deadline)
		if before && !o.request.Alone && o.request.mayUse(g.VM()) {
			m.t.Fatalf("%s was granted to priority %d, deadline %v before %d, %v", g.VM(),
				w.request.Priority, w.request.Deadline, o.request.Priority, o.request.Deadline)
		}
	}
	m.granted(g)
}

func (m *model) send(t *rapid.T) {
	c := m.pickCall(func(c *modelCall) bool { return !c.sent })
	timeout := time.Duration(rapid.IntRange(1, 200).Draw(t, "timeout")) * time.Millisecond
	delay := time.Duration(rapid.IntRange(0, int(backend.EndGrace/time.Millisecond)-1).Draw(t, "delay")) * time.Millisecond
	c.sent = true
	if c.grant.Send(timeout) != nil {
		m.calls = without(m.calls, c)
		return
	}
	if !c.leaf.connected {
		t.Fatal("a send was allowed without a session")
	}
	c.owner, c.until = true, m.now.Add(timeout+delay)
	c.leaf.running = append(c.leaf.running, c)
}

// finish ends a call on the leaf, and the owner hears of it.
func (m *model) finish(t *rapid.T) {
	c := m.pickCall(func(c *modelCall) bool { return c.owner })
	outcome := rapid.SampledFrom([]Outcome{Answered, Answered, Answered, Answered, Refused, Ended}).Draw(t, "outcome")
	latency := time.Duration(rapid.IntRange(1, 20).Draw(t, "latency")) * time.Millisecond
	c.leaf.running, m.calls = without(c.leaf.running, c), without(m.calls, c)
	l, boot := c.leaf, m.bootID(c.leaf)
	if outcome == Answered {
		if boot != c.grant.bootID {
			l.tell(boot)
		}
		if c.session == l.session {
			l.answers++
		}
	}
	c.grant.Finish(outcome, latency, boot)
}

// tell notes that the owner has heard of a boot identifier on the leaf's session.
func (l *modelLeaf) tell(boot string) {
	if l.connected && l.told != boot {
		l.told, l.answers, l.coldAt = boot, 0, testLimits.ColdSlots
	}
}

// lose ends the session; the leaf goes on with its calls, or it restarts.
func (m *model) lose(t *rapid.T) {
	l := m.pickLeaf()
	m.status(t) // a session belongs to one process: a change that was never seen on it cannot come before its loss
	l.connected = false
	m.service.Disconnect(l.vm)
	if rapid.Bool().Draw(t, "restart") {
		l.boot++
		l.running = nil
	}
	for _, c := range slices.Clone(m.calls) {
		if c.leaf == l && c.owner {
			c.owner = false
			m.calls = without(m.calls, c)
			c.grant.Finish(Lost, 0, "")
		}
	}
	if rapid.Bool().Draw(t, "forget") {
		m.service.Forget(l.vm)
	}
}

func (m *model) connect(*rapid.T) {
	if l := m.pickLeaf(); !l.connected {
		m.connectLeaf(l)
	}
}

func (m *model) connectLeaf(l *modelLeaf) {
	l.connected, l.draining = true, false
	l.session++
	l.told = ""
	l.tell(m.bootID(l))
	if given := m.handed[l.vm]; given.BootID == m.bootID(l) {
		l.coldAt = given.Limit
	}
	delete(m.handed, l.vm)
	m.service.Connect(l.vm, "z", m.bootID(l), nil)
}

func (m *model) status(*rapid.T) {
	for _, l := range m.leaves {
		l.tell(m.bootID(l))
		m.service.ShowBoot(l.vm, m.bootID(l), m.service.Epoch(l.vm))
	}
}

func (m *model) advance(t *rapid.T) {
	end := m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 20, 300}).Draw(t, "ms")) * time.Millisecond)
	for !m.wake.IsZero() && !m.wake.After(end) {
		m.now, m.wake = m.wake, time.Time{}
		m.expire()
		m.service.Poll()
	}
	m.now = end
	m.expire()
}

func (m *model) expire() {
	for _, l := range m.leaves {
		l.running = slices.DeleteFunc(l.running, func(c *modelCall) bool { return !c.until.After(m.now) })
	}
}

// reopen ends ownership. It comes back without a handover, or goes to a new owner with one.
func (m *model) reopen(t *rapid.T) {
	m.status(t) // as in lose
	m.open = false
	handover := m.service.Close()
	for _, l := range m.leaves {
		l.connected = false
	}
	if rapid.Bool().Draw(t, "handover") {
		m.newService()
		m.calls, m.waiting = nil, nil
	} else {
		handover = cluster.Handover{}
	}
	m.openService(&handover)
}

func (m *model) check(t *rapid.T) {
	alone := 0
	for _, l := range m.service.leaves {
		if l.reserved != nil || slices.ContainsFunc(l.grants, func(g *Grant) bool { return g.alone }) {
			alone++
		}
	}
	if alone != m.service.alone {
		t.Fatalf("%d leaves are kept for calls that run alone, counted %d", alone, m.service.alone)
	}
	for _, w := range m.waiting {
		if !w.request.Deadline.After(m.now.Add(-time.Millisecond)) {
			t.Fatalf("a request waits at %v past its deadline %v", m.now, w.request.Deadline)
		}
		for _, l := range m.leaves {
			inUse, limit := m.service.LeafStats(l.vm)
			idle := l.connected && !l.draining && inUse < limit && !m.now.Before(m.usable)
			if idle && alone == 0 && w.request.mayUse(l.vm) {
				t.Fatalf("leaf %s has %d of %d slots in use while a request for it waits", l.vm, inUse, limit)
			}
		}
	}
	if st := m.service.Stats(); st.Waiting != len(m.waiting) || st.Waiting > 8 {
		t.Fatalf("%d requests wait, the queue says %d", len(m.waiting), st.Waiting)
	}
}

// Guards against a leaf that gets more work than its limit after any schedule of lost sessions, restarts, lost and
// regained ownership, late answers and handovers; against free slots that are not given to waiting requests; and
// against grants out of order, before UsableFrom or beside a call that must run alone.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"acquire":  m.acquire,
			"acquire2": m.acquire,
			"send":     m.send,
			"send2":    m.send,
			"finish":   m.finish,
			"finish2":  m.finish,
			"finish3":  m.finish,
			"release": func(*rapid.T) {
				c := m.pickCall(func(c *modelCall) bool { return !c.sent })
				m.calls = without(m.calls, c)
				c.grant.Finish(NotSent, 0, "")
			},
			"cancel": func(t *rapid.T) {
				if len(m.waiting) == 0 {
					t.Skip("nothing waits")
				}
				w := rapid.SampledFrom(m.waiting).Draw(t, "waiter")
				m.waiting = without(m.waiting, w)
				if !m.service.Cancel(w.Waiter) {
					t.Fatal("a waiting request could not be cancelled")
				}
			},
			"turn cold": func(t *rapid.T) { // its session and its calls go on
				if l := m.pickLeaf(); l.connected {
					l.boot++
					l.session++
				}
			},
			"lose":     m.lose,
			"connect":  m.connect,
			"connect2": m.connect,
			"status":   m.status,
			"drain": func(t *rapid.T) {
				l := m.pickLeaf()
				l.draining = l.connected && !l.draining
				m.service.SetDraining(l.vm, l.draining)
			},
			"advance": m.advance,
			"reopen":  m.reopen,
			"":        m.check,
		})
	})
}

// Guards against a ramp that never ends for a leaf that is slower than the others, that a straggler stops, or that
// goes on while the leaf slows down.
func TestRamp(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name      string
		typical   time.Duration
		latencies []time.Duration // repeated
		answers   int
		want      int
	}{
		{"one short of a step", 0, []time.Duration{ms}, stepAnswers - 1, 1},
		{"one step", 0, []time.Duration{ms}, stepAnswers, 2},
		{"no more than the slots", 0, []time.Duration{ms}, 100 * stepAnswers, 3},
		{"slow leaf after the answers of a normal one", ms, []time.Duration{9 * ms}, 2 * stepAnswers, 1},
		{"slow leaf in the end", ms, []time.Duration{9 * ms}, 2 * stepAnswers * normalWeight, 3},
		{"single straggler", ms, append(slices.Repeat([]time.Duration{ms}, 9), 10*ms), 3 * stepAnswers, 3},
		{"rise after the first step", 0,
			slices.Concat(slices.Repeat([]time.Duration{ms}, stepAnswers), slices.Repeat([]time.Duration{4 * ms}, riseAnswers)),
			stepAnswers + riseAnswers, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := ramp{limit: 1}
			for i := range test.answers {
				r.answered(test.latencies[i%len(test.latencies)], test.typical, testLimits)
			}
			qt.Assert(t, r.limit, qt.Equals, test.want)
		})
	}
	r := ramp{limit: 2}
	r.reduce(1)
	r.reduce(1)
	qt.Assert(t, r.limit, qt.Equals, 1)
}

// Guards against a full queue that drops the wrong request, and waits that cannot end well.
func TestQueueDrops(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := NewService(testOptions(&now, 2))
	got := map[string]error{}
	replicas := []leaf.Replica{{VM: "a"}}
	ask := func(name string, priority int, in time.Duration) error {
		_, _, err := s.Acquire(Request{
			Replicas: func() []leaf.Replica { return replicas }, Priority: priority, Deadline: now.Add(in),
		}, func(_ *Grant, err error) { got[name] = err })
		return err
	}
	c.Assert(errors.Is(ask("early", 5, time.Second), ErrClosed), qt.IsTrue)
	s.Open(now.Add(time.Second), &cluster.Handover{})
	c.Assert(errors.Is(ask("before UsableFrom", 5, time.Second), ErrTooLate), qt.IsTrue)
	c.Assert(ask("low", 1, 3*time.Second), qt.IsNil)
	c.Assert(ask("high", 5, 3*time.Second), qt.IsNil)
	c.Assert(ask("higher", 6, 5*time.Second), qt.IsNil)
	c.Assert(got, qt.HasLen, 1)
	c.Assert(errors.Is(got["low"], ErrQueueFull), qt.IsTrue)
	c.Assert(ask("lowest", 0, time.Minute), qt.IsNil)
	c.Assert(errors.Is(got["lowest"], ErrQueueFull), qt.IsTrue)
	now = now.Add(3*time.Second - 4*time.Millisecond)
	s.Poll()
	c.Assert(errors.Is(got["high"], ErrTooLate), qt.IsTrue)
	replicas = nil
	s.Refresh()
	c.Assert(errors.Is(got["higher"], ErrNoReplica), qt.IsTrue)
	c.Assert(errors.Is(ask("nowhere", 5, time.Second), ErrNoReplica), qt.IsTrue)
}

// Guards against a leaf that stays reserved for a request that was dropped.
func TestReservationEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewService(testOptions(&now, 0))
	s.Open(now, &cluster.Handover{Leaves: []cluster.LeafHandover{{VM: "a", BootID: "boot", Limit: 2}}})
	s.Connect("a", "z", "boot", nil)
	for _, r := range []Request{{}, {Alone: true}, {}} { // the first one is served at once
		r.Replicas = func() []leaf.Replica { return []leaf.Replica{{VM: "a"}} }
		r.Deadline = now.Add(10 * time.Millisecond)
		if !r.Alone {
			r.Deadline = now.Add(time.Second)
		}
		_, _, _ = s.Acquire(r, func(*Grant, error) {})
	}
	now = now.Add(6 * time.Millisecond) // too late for the one that must run alone
	s.Poll()
	qt.Assert(t, s.Stats(), qt.Equals, Stats{InUse: 2, Limit: 2, Connected: 1})
}
