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

// fakeCluster implements all dependencies of a frontend on node n0. Nodes n0 and n1 are in zone z0, n2 and n3 in z1.
type fakeCluster struct {
	cluster.Membership // methods that the frontend does not use
	cluster.Ownership
	mu          sync.Mutex
	document    *config.Document
	staleErr    error            // returned by CheckFresh
	quarantined map[string]error // returned by Check, by payload
	owner       func(at time.Duration) string
	began       time.Time
	changed     chan struct{} // members
	owned       chan struct{}
	stopping    string
	lostMember  string
	hanging     string            // a forward to this node ends with its context
	fail        func(i int) error // the error of attempt i, counted from 0
	attempts    []string
	last        query.Request
}

func (c *fakeCluster) Current() *config.Document { return c.document }
func (c *fakeCluster) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
func (c *fakeCluster) Self() platform.VM { return vm("n0") }
func (c *fakeCluster) Members() []cluster.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []cluster.Member
	for _, id := range []string{"n0", "n1", "n2", "n3"} {
		all = append(all, cluster.Member{VM: vm(id), Alive: id != c.lostMember, Stopping: id == c.stopping})
	}
	return all
}
func (c *fakeCluster) Fingerprint(_ string, p []byte) string            { return string(p) }
func (c *fakeCluster) Owned() ([]cluster.OwnedService, <-chan struct{}) { return nil, c.owned }
func (c *fakeCluster) CheckFresh() error                                { return c.staleErr }
func (c *fakeCluster) Check(fingerprint string) error                   { return c.quarantined[fingerprint] }

func (c *fakeCluster) Owner(string) (cluster.Owner, bool) {
	id := c.owner(time.Since(c.began))
	return cluster.Owner{VM: vm(id), Self: id == "n0"}, id != ""
}

func (c *fakeCluster) attempt(node string, r query.Request) (query.Answer, error) {
	c.mu.Lock()
	c.attempts, c.last = append(c.attempts, node), r
	i := len(c.attempts) - 1
	c.mu.Unlock()
	return query.Answer{}, c.fail(i)
}

func (c *fakeCluster) Run(_ context.Context, r query.Request, _ config.Profile) (query.Answer, error) {
	return c.attempt("n0", r)
}

func (c *fakeCluster) Forward(ctx context.Context, to platform.VM, r query.Request) (query.Answer, error) {
	if to.ID == c.hanging {
		_, _ = c.attempt(to.ID, r)
		<-ctx.Done()
		return query.Answer{}, verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeDeadline, "no answer")
	}
	return c.attempt(to.ID, r)
}

func vm(id string) platform.VM {
	return platform.VM{ID: id, Zone: map[bool]string{false: "z0", true: "z1"}[id >= "n2"], CallerAddress: id + ":80"}
}

var errStale = verdict.Refusef(verdict.CodeStale, "stale")

func ownedBy(id string) func(time.Duration) string { return func(time.Duration) string { return id } }

// movingOwner returns an owner function whose owner changes at the given time.
func movingOwner(from string, at time.Duration, to string) func(time.Duration) string {
	return func(t time.Duration) string { return map[bool]string{true: from, false: to}[t < at] }
}

func newFakeCluster() *fakeCluster {
	profile := config.Profile{Deadline: config.Duration(time.Second), Priority: 5}
	once := profile
	once.NonIdempotent = true
	return &fakeCluster{fail: func(int) error { return nil }, owner: ownedBy("n0"), began: time.Now(),
		changed: make(chan struct{}), owned: make(chan struct{}), document: &config.Document{
			Profiles: map[string]config.Profile{"p": profile, "once": once, "other": profile},
			Services: map[string]config.Service{"s": {Profile: "p", ExtraProfiles: []string{"once", "missing"}}},
			ZonesOut: map[string]uint64{}, VMsOut: map[string]uint64{}}}
}

func (c *fakeCluster) frontend() *Frontend {
	return New(Deps{Config: c, Members: c, Owners: c, Runner: c, Forwarder: c, Quarantine: c, MaxQueries: 10})
}

// Guards against requests that are not checked, sends after a refusal, second runs of requests that must run at most
// once, refusals while ownership moves, and forwarding loops.
func TestExecute(t *testing.T) {
	const ms = time.Millisecond
	notRun := func(code verdict.Code) error { return verdict.Refusef(code, "refused") }
	mayHaveRun := func(code verdict.Code) error { return verdict.WithVerdict(verdict.MayHaveRun(), code, "lost") }
	owner := func(by func(time.Duration) string, errs ...error) func(*fakeCluster) { // the attempts fail in turn with errs
		return func(c *fakeCluster) {
			c.owner = by
			c.fail = func(i int) error { return append(errs, nil)[min(i, len(errs))] }
		}
	}
	afterSignal := func(change func(*fakeCluster)) func(*fakeCluster) { // between two polls
		return func(c *fakeCluster) {
			c.owner = movingOwner("", 500*ms, "n2")
			time.AfterFunc(500*ms, func() { change(c) })
		}
	}
	hangsUntilLost := func(c *fakeCluster) { // n1 does not answer, and is no longer alive after 400 ms
		c.hanging, c.owner = "n1", movingOwner("n1", 400*ms, "n2")
		time.AfterFunc(400*ms, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.lostMember = "n1"
			close(c.changed)
			c.changed = make(chan struct{})
		})
	}
	lost, reset := mayHaveRun(verdict.CodeSessionLost), errors.New("reset")
	once := query.Request{Service: "s", Profile: "once", Caller: "c", ID: "1"}
	forwarded, none := query.Request{Service: "s", Forwarded: true}, query.Request{Service: "s"}
	long := strings.Repeat("x", query.MaxIdentifierBytes+1)
	tests := []struct {
		name     string
		request  query.Request
		deadline time.Duration // of the request, from now; 0 for none
		change   func(c *fakeCluster)
		want     string        // the nodes tried, then the error's code and verdict
		within   time.Duration // 0: at once
	}{
		{"owner", none, 0, nil, "n0", 0},
		{"forward", none, 0, owner(ownedBy("n1")), "n1", 0},
		{"unknown service", query.Request{Service: "x"}, 0, nil, "unknown_service not-run", 0},
		{"profile not allowed", query.Request{Service: "s", Profile: "other"}, 0, nil, "invalid_request not-run", 0},
		{"profile missing", query.Request{Service: "s", Profile: "missing"}, 0, nil, "invalid_request not-run", 0},
		{"long caller", query.Request{Service: "s", Caller: long}, 0, nil, "invalid_request not-run", 0},
		{"long identifier", query.Request{Service: "s", ID: long}, 0, nil, "invalid_request not-run", 0},
		{"not UTF-8", query.Request{Service: "s", ID: "\xff"}, 0, nil, "invalid_request not-run", 0},
		{"large payload", query.Request{Service: "s", Payload: make([]byte, query.MaxPayloadBytes+1)}, 0, nil,
			"too_large not-run", 0},
		{"shards twice", query.Request{Service: "s", Shards: []uint32{1, 1}}, 0, nil, "invalid_request not-run", 0},
		{"no caller", query.Request{Service: "s", NonIdempotent: true, ID: "1"}, 0, nil, "invalid_request not-run", 0},
		{"no identifier", query.Request{Service: "s", Profile: "once", Caller: "c"}, 0, nil,
			"invalid_request not-run", 0},
		{"deadline passed", none, -ms, nil, "deadline_exceeded not-run", 0},
		{"no configuration", none, 0, func(c *fakeCluster) { c.document = nil }, "stale_node not-run", 0},
		{"stale without an owner", none, 0, func(c *fakeCluster) { c.staleErr, c.owner = errStale, ownedBy("") },
			"stale_node not-run", 0},
		{"quarantined", query.Request{Service: "s", Payload: []byte("x")}, 0, func(c *fakeCluster) {
			c.quarantined, c.owner = map[string]error{"x": notRun(verdict.CodeQuarantined)}, ownedBy("n1")
		}, "quarantined not-run", 0},
		{"members change", none, 0, afterSignal(func(c *fakeCluster) { close(c.changed) }), "n2", 500 * ms},
		{"ownership changes", none, 0, afterSignal(func(c *fakeCluster) { close(c.owned) }), "n2", 500 * ms},
		{"change is not signalled", none, 0, owner(movingOwner("", 500*ms, "n2")), "n2", 700 * ms},
		{"no owner", none, 0, owner(ownedBy("")), "no_owner not-run", time.Second},
		{"owner out of service", none, 0, func(c *fakeCluster) { c.owner, c.document.ZonesOut["z1"] = ownedBy("n2"), 1 },
			"no_owner not-run", time.Second},
		{"owner moves", once, 0, owner(movingOwner("n1", 30*ms, "n2"), notRun(verdict.CodeNoOwner), notRun(verdict.CodeNoOwner)),
			"n1 n1 n2", 100 * ms},
		{"owner moves here", once, 0, owner(movingOwner("n1", 10*ms, "n0"), notRun(verdict.CodeStopping)), "n1 n0", 50 * ms},
		{"ownership lost before the run", once, 0, owner(movingOwner("n0", 10*ms, "n1"), notRun(verdict.CodeNoOwner)),
			"n0 n1", 50 * ms},
		{"owner lost, idempotent", none, 0, owner(ownedBy("n1"), lost, reset), "n1 n1 n1", 100 * ms},
		{"owner lost, once", once, 0, owner(ownedBy("n1"), lost), "n1 session_lost may-have-run", 0},
		{"no verdict, once", once, 0, owner(ownedBy("n1"), reset), "n1 internal may-have-run", 0},
		{"lost, then refused", none, 0, owner(ownedBy("n1"), lost, notRun(verdict.CodeOverloaded)),
			"n1 n1 overloaded may-have-run", 100 * ms},
		{"lost, then no owner", none, 0, owner(movingOwner("n1", 10*ms, ""), lost),
			"n1 session_lost may-have-run", time.Second},
		{"owner lost for good", none, 0, owner(ownedBy("n1"), slices.Repeat([]error{lost}, 99)...),
			"n1 n1 n1 n1 n1 n1 n1 n1 n1 session_lost may-have-run", time.Second},
		{"owner no longer alive", none, 0, hangsUntilLost, "n1 n2", 420 * ms},
		{"owner no longer alive, once", once, 0, hangsUntilLost, "n1 deadline_exceeded may-have-run", time.Second},
		{"failed at the owner", none, 0, owner(ownedBy("n1"), mayHaveRun(verdict.CodeCoverage)),
			"n1 coverage_too_low may-have-run", 0},
		{"forwarded to another node", forwarded, 0, owner(ownedBy("n1")), "no_owner not-run", 300 * ms},
		{"forwarded before ownership arrives", forwarded, 0, owner(movingOwner("", 200*ms, "n0")), "n0", 220 * ms},
		{"caller's later deadline", none, time.Minute, nil, "n0", 0},
		{"caller's earlier deadline", none, 100 * ms, owner(ownedBy("")), "no_owner not-run", 100 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFakeCluster()
				if test.change != nil {
					test.change(c)
				}
				r := test.request
				if test.deadline != 0 {
					r.Deadline = time.Now().Add(test.deadline)
				}
				_, err := c.frontend().Execute(t.Context(), r)
				qt.Check(t, time.Since(c.began) <= test.within, qt.IsTrue, qt.Commentf("took %s", time.Since(c.began)))
				got := c.attempts
				if err != nil {
					got = append(got, string(verdict.CodeOf(err)), verdict.Of(err).String())
				} else {
					qt.Check(t, c.last.NonIdempotent, qt.Equals, r.Profile == "once")
					qt.Check(t, c.last.ID, qt.Not(qt.Equals), "")
					qt.Check(t, c.last.Deadline, qt.Equals, c.began.Add(time.Second))
				}
				qt.Check(t, strings.Join(got, " "), qt.Equals, test.want, qt.Commentf("%v", err))
			})
		})
	}
}

// Guards against unbounded queries, high priorities that are starved by low ones, two concurrent runs of one request,
// and a stop that aborts running queries.
func TestAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster()
		release := make(chan struct{})
		c.fail = func(int) error { <-release; return nil }
		for i, name := range []string{"low", "high"} {
			c.document.Profiles[name] = config.Profile{Deadline: config.Duration(time.Minute), Priority: i * config.MaxPriority,
				NonIdempotent: true}
		}
		c.document.Services["s"] = config.Service{Profile: "low", ExtraProfiles: []string{"high"}}
		f := c.frontend()
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
		qt.Assert(t, c.attempts, qt.HasLen, 10)
	})
}

// Guards against addresses of nodes that cannot take queries, against callers that all use the same node or ask at the
// same time, and against answers from a node that may not know which VMs are out of service.
func TestLocate(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *fakeCluster)
		want   []string // the members that may come at each position
		code   verdict.Code
	}{
		{"owner in another zone", func(c *fakeCluster) { c.owner = ownedBy("n3") }, []string{"n3", "n0n1", "n0n1"}, ""},
		{"owner here", func(c *fakeCluster) {}, []string{"n0", "n1", "n2n3"}, ""},
		{"no owner", func(c *fakeCluster) { c.owner = ownedBy("") }, []string{"n0n1", "n0n1", "n2n3"}, ""},
		{"owner is stopping", func(c *fakeCluster) { c.owner, c.stopping = ownedBy("n3"), "n3" }, []string{"n0n1", "n0n1", "n2"}, ""},
		{"member is not alive", func(c *fakeCluster) { c.lostMember = "n1" }, []string{"n0", "n2n3", "n2n3"}, ""},
		{"zone out", func(c *fakeCluster) { c.owner, c.document.ZonesOut["z1"] = ownedBy("n2"), 1 }, []string{"n0n1", "n0n1"}, ""},
		{"VM out", func(c *fakeCluster) { c.document.VMsOut["n1"] = 1 }, []string{"n0", "n2n3", "n2n3"}, ""},
		{"unknown service", func(c *fakeCluster) { c.document.Services = nil }, nil, verdict.CodeUnknownService},
		{"stale", func(c *fakeCluster) { c.staleErr = errStale }, nil, verdict.CodeStale},
		{"nobody", func(c *fakeCluster) { c.document.ZonesOut = map[string]uint64{"z0": 1, "z1": 1} }, nil, verdict.CodeNoOwner},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			test.change(c)
			f, seen, times := c.frontend(), make([]string, len(test.want)), map[int64]bool{}
			for range 100 {
				got, err := f.Locate("s")
				qt.Assert(t, err != nil, qt.Equals, test.code != "", qt.Commentf("%v", err))
				if err != nil {
					qt.Assert(t, verdict.CodeOf(err), qt.Equals, test.code)
					qt.Assert(t, verdict.Of(err).IsNotRun(), qt.IsTrue)
					return
				}
				qt.Assert(t, got.Addresses, qt.HasLen, len(test.want))
				for i, address := range got.Addresses {
					id := strings.TrimSuffix(address, ":80")
					qt.Assert(t, strings.Contains(test.want[i], id), qt.IsTrue, qt.Commentf("%v", got.Addresses))
					seen[i] = strings.ReplaceAll(seen[i], id, "") + id
				}
				times[got.TTLMillis] = true
				ttl := time.Duration(got.TTLMillis) * time.Millisecond
				qt.Assert(t, ttl <= DefaultLocateTTL && ttl >= DefaultLocateTTL*8/10, qt.IsTrue)
			}
			qt.Assert(t, len(times) > 10, qt.IsTrue)
			for i, ids := range test.want { // each of these members must be at position i in some answers
				qt.Assert(t, seen[i], qt.HasLen, len(ids))
			}
		})
	}
}
