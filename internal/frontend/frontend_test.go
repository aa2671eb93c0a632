package frontend

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

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/config"
	"cyclamenstream/api/platform"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
)

// world is everything around a frontend of node n0. Nodes n0 and n1 are in zone z0, n2 and n3 in z1.
type world struct {
	mu       sync.Mutex
	document *config.Document
	stale    bool
	poison   string // payload that is quarantined
	owner    func(at time.Duration) string
	began    time.Time
	changed  chan struct{} // members
	owned    chan struct{}
	stopping string
	dead     string
	// run and forward answer the i-th try, counted from 0; nil answers.
	run     func(ctx context.Context, i int) error
	forward func(i int, to string) error
	tries   []string
	last    query.Request
}

func (w *world) Current() *config.Document { return w.document }
func (w *world) Changed() <-chan struct{}  { return w.changed }
func (w *world) Self() platform.VM         { return vm("n0") }
func (w *world) Members() []cluster.Member {
	var all []cluster.Member
	for _, id := range []string{"n0", "n1", "n2", "n3"} {
		all = append(all, cluster.Member{VM: vm(id), Alive: id != w.dead, Stopping: id == w.stopping})
	}
	return all
}
func (w *world) Leaves(string) []platform.VM           { return nil }
func (w *world) LeafAllowed(platform.VM) bool          { return true }
func (w *world) CheckOwned(string) error               { return nil }
func (w *world) Fingerprint(_ string, p []byte) string { return string(p) }

func (w *world) Owned() ([]cluster.OwnedService, <-chan struct{}) { return nil, w.owned }

func (w *world) CheckFresh() error {
	if w.stale {
		return verdict.Refusef(verdict.CodeStale, "stale")
	}
	return nil
}

func (w *world) Check(fingerprint string) error {
	if w.poison != "" && fingerprint == w.poison {
		return verdict.Refusef(verdict.CodeQuarantined, "quarantined")
	}
	return nil
}

func (w *world) Owner(string) (cluster.Owner, bool) {
	id := w.owner(time.Since(w.began))
	return cluster.Owner{VM: vm(id), Self: id == "n0"}, id != ""
}

func (w *world) try(name string, r query.Request) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tries = append(w.tries, name)
	w.last = r
	return len(w.tries) - 1
}

func (w *world) Run(ctx context.Context, r query.Request, _ config.Profile) (query.Answer, error) {
	if i := w.try("run", r); w.run != nil {
		return query.Answer{}, w.run(ctx, i)
	}
	return query.Answer{}, nil
}

func (w *world) Forward(_ context.Context, to platform.VM, r query.Request) (query.Answer, error) {
	if i := w.try(to.ID, r); w.forward != nil {
		return query.Answer{}, w.forward(i, to.ID)
	}
	return query.Answer{}, nil
}

func vm(id string) platform.VM {
	zone := "z0"
	if id >= "n2" {
		zone = "z1"
	}
	return platform.VM{ID: id, Zone: zone, CallerAddress: id + ":80"}
}

func owned(by string) func(time.Duration) string { return func(time.Duration) string { return by } }

// moves returns an owner that changes at a time.
func moves(from string, at time.Duration, to string) func(time.Duration) string {
	return func(t time.Duration) string {
		if t < at {
			return from
		}
		return to
	}
}

func newWorld() *world {
	profile := config.Profile{Deadline: config.Duration(time.Second), Priority: 5}
	once := profile
	once.NonIdempotent = true
	return &world{owner: owned("n0"), began: time.Now(), changed: make(chan struct{}), owned: make(chan struct{}), document: &config.Document{
		Profiles: map[string]config.Profile{"p": profile, "once": once, "other": profile},
		Services: map[string]config.Service{"s": {Profile: "p", ExtraProfiles: []string{"once", "missing"}}},
		ZonesOut: map[string]uint64{}, VMsOut: map[string]uint64{}}}
}

func (w *world) frontend() *Frontend {
	return New(Deps{Config: w, Members: w, Owners: w, Runner: w, Forwarder: w, Quarantine: w, MaxQueries: 10})
}

// Guards against requests that pass unchecked, sends after a refusal, second runs of requests that must run at most
// once, refusals while ownership moves, and forwards that go round.
func TestExecute(t *testing.T) {
	notRun := func(code verdict.Code) error { return verdict.Refusef(code, "refused") }
	mayHaveRun := func(code verdict.Code) error { return verdict.WithVerdict(verdict.MayHaveRun(), code, "lost") }
	failing := func(errs ...error) func(int, string) error {
		return func(i int, _ string) error { return errs[min(i, len(errs)-1)] }
	}
	once := query.Request{Service: "s", Profile: "once", Caller: "c", ID: "1"}
	long := strings.Repeat("x", query.MaxIdentifierBytes+1)
	const ms = time.Millisecond
	tests := []struct {
		name     string
		request  query.Request
		deadline time.Duration // of the request, from now; 0 for none
		change   func(w *world)
		code     verdict.Code // empty for an answer
		mayRun   bool         // the error's verdict is "may have run"
		tries    []string
		within   time.Duration // 0: at once
	}{
		{name: "owner", tries: []string{"run"}},
		{name: "forward", change: func(w *world) { w.owner = owned("n1") }, tries: []string{"n1"}},
		{name: "unknown service", request: query.Request{Service: "x"}, code: verdict.CodeUnknown},
		{name: "profile not allowed", request: query.Request{Service: "s", Profile: "other"}, code: verdict.CodeInvalid},
		{name: "profile not configured", request: query.Request{Service: "s", Profile: "missing"}, code: verdict.CodeInvalid},
		{name: "long caller", request: query.Request{Service: "s", Caller: long}, code: verdict.CodeInvalid},
		{name: "long identifier", request: query.Request{Service: "s", ID: long}, code: verdict.CodeInvalid},
		{name: "not UTF-8", request: query.Request{Service: "s", ID: "\xff"}, code: verdict.CodeInvalid},
		{name: "large payload", request: query.Request{Service: "s", Payload: make([]byte, query.MaxPayloadBytes+1)},
			code: verdict.CodeTooLarge},
		{name: "shards not ascending", request: query.Request{Service: "s", Shards: []uint32{1, 1}}, code: verdict.CodeInvalid},
		{name: "no caller", request: query.Request{Service: "s", NonIdempotent: true, ID: "1"}, code: verdict.CodeInvalid},
		{name: "no identifier", request: query.Request{Service: "s", Profile: "once", Caller: "c"}, code: verdict.CodeInvalid},
		{name: "deadline passed", deadline: -ms, code: verdict.CodeDeadline},
		{name: "no configuration", change: func(w *world) { w.document = nil }, code: verdict.CodeStale},
		{name: "stale", change: func(w *world) { w.stale = true }, code: verdict.CodeStale},
		{name: "stale without an owner", change: func(w *world) { w.stale, w.owner = true, owned("") }, code: verdict.CodeStale},
		{name: "quarantined", change: func(w *world) { w.poison, w.owner = "x", owned("n1") },
			request: query.Request{Service: "s", Payload: []byte("x")}, code: verdict.CodeQuarantined},
		{name: "owner appears", change: func(w *world) { w.owner = moves("", 500*ms, "n2") }, tries: []string{"n2"},
			within: 700 * ms},
		{name: "no owner", change: func(w *world) { w.owner = owned("") }, code: verdict.CodeNoOwner, within: time.Second},
		{name: "owner out of service", change: func(w *world) { w.owner, w.document.ZonesOut["z1"] = owned("n2"), 1 },
			code: verdict.CodeNoOwner, within: time.Second},
		{name: "owner moves", change: func(w *world) {
			w.owner, w.forward = moves("n1", 30*ms, "n2"), func(_ int, to string) error {
				return map[string]error{"n1": notRun(verdict.CodeNoOwner)}[to]
			}
		}, request: once, tries: []string{"n1", "n1", "n2"}, within: 100 * ms},
		{name: "owner moves here", change: func(w *world) {
			w.owner, w.forward = moves("n1", 10*ms, "n0"), failing(notRun(verdict.CodeStopping))
		}, request: once, tries: []string{"n1", "run"}, within: 50 * ms},
		{name: "ownership lost before the run", change: func(w *world) {
			w.owner = moves("n0", 10*ms, "n1")
			w.run = func(context.Context, int) error { return notRun(verdict.CodeNoOwner) }
		}, request: once, tries: []string{"run", "n1"}, within: 50 * ms},
		{name: "owner lost, idempotent", change: func(w *world) {
			w.owner, w.forward = owned("n1"), failing(mayHaveRun(verdict.CodeSessionLost), errors.New("reset"), nil)
		}, tries: []string{"n1", "n1", "n1"}, within: 100 * ms},
		{name: "owner lost, once", change: func(w *world) {
			w.owner, w.forward = owned("n1"), failing(mayHaveRun(verdict.CodeSessionLost), nil)
		}, request: once, code: verdict.CodeSessionLost, mayRun: true, tries: []string{"n1"}},
		{name: "error without a verdict, once", change: func(w *world) {
			w.owner, w.forward = owned("n1"), failing(errors.New("reset"), nil)
		}, request: once, code: verdict.CodeInternal, mayRun: true, tries: []string{"n1"}},
		{name: "lost, then refused", change: func(w *world) {
			w.owner, w.forward = owned("n1"), failing(mayHaveRun(verdict.CodeSessionLost), notRun(verdict.CodeOverloaded))
		}, code: verdict.CodeOverloaded, mayRun: true, tries: []string{"n1", "n1"}, within: 100 * ms},
		{name: "lost, then no owner", change: func(w *world) {
			w.owner, w.forward = moves("n1", 10*ms, ""), failing(mayHaveRun(verdict.CodeSessionLost))
		}, code: verdict.CodeSessionLost, mayRun: true, tries: []string{"n1"}, within: time.Second},
		{name: "owner lost for good", change: func(w *world) {
			w.owner, w.forward = owned("n1"), failing(mayHaveRun(verdict.CodeSessionLost))
		}, code: verdict.CodeSessionLost, mayRun: true, tries: slices.Repeat([]string{"n1"}, 9), within: time.Second},
		{name: "failed at the owner", change: func(w *world) {
			w.owner, w.forward = owned("n1"), failing(mayHaveRun(verdict.CodeCoverage), nil)
		}, code: verdict.CodeCoverage, mayRun: true, tries: []string{"n1"}},
		{name: "forwarded to a node that does not own", change: func(w *world) { w.owner = owned("n1") },
			request: query.Request{Service: "s", Forwarded: true}, code: verdict.CodeNoOwner, within: 300 * ms},
		{name: "forwarded before ownership arrives", change: func(w *world) { w.owner = moves("", 200*ms, "n0") },
			request: query.Request{Service: "s", Forwarded: true}, tries: []string{"run"}, within: 220 * ms},
		{name: "caller's later deadline", deadline: time.Minute, tries: []string{"run"}},
		{name: "caller's earlier deadline", change: func(w *world) { w.owner = owned("") },
			deadline: 100 * ms, code: verdict.CodeNoOwner, within: 100 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld()
				if test.change != nil {
					test.change(w)
				}
				r := test.request
				if r.Service == "" {
					r.Service = "s"
				}
				if test.deadline != 0 {
					r.Deadline = time.Now().Add(test.deadline)
				}
				_, err := w.frontend().Execute(t.Context(), r)
				qt.Check(t, time.Since(w.began) <= test.within, qt.IsTrue, qt.Commentf("took %s", time.Since(w.began)))
				qt.Check(t, w.tries, qt.DeepEquals, test.tries)
				qt.Assert(t, err != nil, qt.Equals, test.code != "", qt.Commentf("%v", err))
				if err != nil {
					qt.Check(t, verdict.CodeOf(err), qt.Equals, test.code)
					qt.Check(t, verdict.Of(err).IsNotRun(), qt.Equals, !test.mayRun, qt.Commentf("%v", err))
				} else {
					qt.Check(t, w.last.NonIdempotent, qt.Equals, r.Profile == "once")
					qt.Check(t, w.last.Deadline, qt.Equals, w.began.Add(time.Second))
				}
			})
		})
	}
}

// Guards against a wait that misses a change and only polls.
func TestChangeEndsTheWait(t *testing.T) {
	for _, channel := range []func(*world) chan struct{}{
		func(w *world) chan struct{} { return w.changed }, func(w *world) chan struct{} { return w.owned },
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld()
			w.owner = moves("", 505*time.Millisecond, "n1")
			time.AfterFunc(505*time.Millisecond, func() { close(channel(w)) })
			_, err := w.frontend().Execute(t.Context(), query.Request{Service: "s"})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, time.Since(w.began), qt.Equals, 505*time.Millisecond)
		})
	}
}

// Guards against unbounded queries, high priorities that low ones crowd out, two runs of one request at once, and a
// stop that aborts running queries.
func TestAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		release := make(chan struct{})
		w.run = func(context.Context, int) error { <-release; return nil }
		for i, name := range []string{"low", "high"} {
			w.document.Profiles[name] = config.Profile{Deadline: config.Duration(time.Minute), Priority: i * config.MaxPriority,
				NonIdempotent: true}
		}
		w.document.Services["s"] = config.Service{Profile: "low", ExtraProfiles: []string{"high"}}
		f := w.frontend()
		codes := make(chan verdict.Code, 100)
		start := func(profile string, ids ...int) (got []verdict.Code) {
			for _, id := range ids {
				go func() {
					_, err := f.Execute(t.Context(), query.Request{Service: "s", Profile: profile, Caller: "c", ID: fmt.Sprint(id)})
					if err != nil {
						qt.Check(t, verdict.Of(err).IsNotRun(), qt.Equals, verdict.CodeOf(err) != verdict.CodeDuplicate)
						codes <- verdict.CodeOf(err)
					}
				}()
				synctest.Wait()
			}
			for len(codes) > 0 {
				got = append(got, <-codes)
			}
			return got
		}
		qt.Assert(t, start("low", 1, 2, 2, 3, 4, 5, 6, 7), qt.DeepEquals, []verdict.Code{verdict.CodeDuplicate})
		qt.Assert(t, start("low", 8), qt.DeepEquals, []verdict.Code{verdict.CodeOverloaded})
		qt.Assert(t, start("high", 9, 10, 11, 12), qt.DeepEquals, []verdict.Code{verdict.CodeOverloaded})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		qt.Assert(t, f.Stop(ctx), qt.ErrorIs, context.DeadlineExceeded)
		qt.Assert(t, start("high", 13), qt.DeepEquals, []verdict.Code{verdict.CodeStopping})
		close(release)
		qt.Assert(t, f.Stop(t.Context()), qt.IsNil)
		qt.Assert(t, w.tries, qt.HasLen, 10)
	})
}

// Guards against addresses of nodes that cannot take queries, against callers that all use the same node or ask at the
// same time, and against answers from a node that may not know who is out of service.
func TestLocate(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *world)
		first  string   // the owner, if it must come first
		zone   []string // members of the own zone that must come next, in any order
		never  []string
		count  int
		code   verdict.Code
	}{
		{name: "owner in another zone", change: func(w *world) { w.owner = owned("n3") }, first: "n3",
			zone: []string{"n0", "n1"}, count: 3},
		{name: "owner here", change: func(w *world) {}, first: "n0", zone: []string{"n1"}, count: 3},
		{name: "no owner", change: func(w *world) { w.owner = owned("") }, zone: []string{"n0", "n1"}, count: 3},
		{name: "owner is stopping", change: func(w *world) { w.owner, w.stopping = owned("n3"), "n3" },
			zone: []string{"n0", "n1"}, never: []string{"n3"}, count: 3},
		{name: "member is dead", change: func(w *world) { w.dead = "n1" }, first: "n0", never: []string{"n1"}, count: 3},
		{name: "zone out", change: func(w *world) { w.owner, w.document.ZonesOut["z1"] = owned("n2"), 1 },
			zone: []string{"n0", "n1"}, never: []string{"n2", "n3"}, count: 2},
		{name: "VM out", change: func(w *world) { w.document.VMsOut["n1"] = 1 }, first: "n0", never: []string{"n1"}, count: 3},
		{name: "unknown service", change: func(w *world) { w.document.Services = nil }, code: verdict.CodeUnknown},
		{name: "stale", change: func(w *world) { w.stale = true }, code: verdict.CodeStale},
		{name: "nobody", change: func(w *world) {
			w.document.ZonesOut = map[string]uint64{"z0": 1, "z1": 1}
		}, code: verdict.CodeNoOwner},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld()
			test.change(w)
			f := w.frontend()
			last, times := map[string]bool{}, map[int64]bool{}
			for range 100 {
				got, err := f.Locate("s")
				if test.code != "" {
					qt.Assert(t, verdict.CodeOf(err), qt.Equals, test.code)
					qt.Assert(t, verdict.Of(err).IsNotRun(), qt.IsTrue)
					return
				}
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, got.Addresses, qt.HasLen, test.count)
				rest := got.Addresses
				if test.first != "" {
					qt.Assert(t, rest[0], qt.Equals, test.first+":80")
					rest = rest[1:]
				}
				for _, id := range test.zone {
					qt.Assert(t, slices.Contains(rest[:len(test.zone)], id+":80"), qt.IsTrue, qt.Commentf("%v", got))
				}
				for _, id := range test.never {
					qt.Assert(t, slices.Contains(got.Addresses, id+":80"), qt.IsFalse)
				}
				last[fmt.Sprint(got.Addresses)], times[got.TTLMillis] = true, true
				ttl := time.Duration(got.TTLMillis) * time.Millisecond
				qt.Assert(t, ttl <= DefaultLocateTTL && ttl >= DefaultLocateTTL*8/10, qt.IsTrue)
			}
			qt.Assert(t, len(last) > 1 && len(times) > 10, qt.IsTrue, qt.Commentf("%d orders, %d times", len(last), len(times)))
		})
	}
}
