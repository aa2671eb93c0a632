package fanout

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/cluster"
	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/leaf"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/fanout/budget"
	"cyclamenstream/internal/intent"
)

// answer is what a leaf does with one call.
type answer struct {
	after   time.Duration
	covered float64 // of the shard; 0 stands for 1
	size    int
	err     error  // wraps an error of package backend, or the error of a check before the send
	unsent  bool   // err was found before the send
	crossed string // "id", "snapshot", "shard", or "doubled" for an earlier reply
	stuck   bool   // ignores the end of ctx for a second
}

// pool is a leaf.Pool whose leaves answer as the test scripts.
type pool struct {
	mu        sync.Mutex
	snapshots func() []leaf.Snapshot
	script    func(vm string, c backend.Call) answer
	acquire   func(context.Context) error

	calls     []string                   // "vm/shard" of each send
	delivered map[string]map[uint32]bool // shards answered correctly in time, by snapshot
	ran       bool                       // whether a call may have run
	stopped   time.Time                  // when a call was stopped first
	last      map[string]backend.Reply
	intents   []string
	beginErr  error
	alone     bool // the request is a suspect
}

func (p *pool) Snapshots(string) []leaf.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshots()
}
func (p *pool) Crashes() <-chan leaf.Crash                       { return nil }
func (p *pool) CheckOwned(string) error                          { return nil }
func (p *pool) Owner(string) (cluster.Owner, bool)               { return cluster.Owner{Self: true}, true }
func (p *pool) Owned() ([]cluster.OwnedService, <-chan struct{}) { return nil, nil }
func (p *pool) Fingerprint(string, []byte) string                { return "f" }
func (p *pool) Leave(string, bool)                               {}
func (p *pool) Check() error                                     { return nil }
func (p *pool) Release(context.Context)                          { p.intents = append(p.intents, "release") }
func (p *pool) Done(context.Context)                             { p.intents = append(p.intents, "done") }
func (p *pool) Enter(context.Context, string, string, string, uint32) (bool, error) {
	return p.alone, nil
}

func (p *pool) Begin(context.Context, string, string, string) (intent.Intent, error) {
	p.intents = append(p.intents, "begin")
	return p, p.beginErr
}

func (p *pool) Acquire(ctx context.Context, n leaf.Need) (leaf.Slot, error) {
	if p.acquire != nil {
		if err := p.acquire(ctx); err != nil {
			return nil, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.snapshots() {
		if s.ID != n.Snapshot || n.Alone != p.alone {
			continue
		}
		for _, r := range s.Replicas[n.Shard] {
			if !slices.Contains(n.Exclude, r.VM) {
				return &slot{p, r.VM}, nil
			}
		}
	}
	return nil, verdict.Refusef(verdict.CodeOverloaded, "no replica")
}

type slot struct {
	*pool
	vm string
}

func (s *slot) VM() string               { return s.vm }
func (s *slot) BootID() string           { return "" }
func (s *slot) Latency95() time.Duration { return 10 * time.Millisecond }
func (s *slot) Release()                 {}

func (s *slot) Do(ctx context.Context, c backend.Call) (backend.Reply, error) {
	s.mu.Lock()
	a := s.script(s.vm, c)
	if a.unsent {
		s.mu.Unlock()
		return backend.Reply{}, a.err
	}
	c.Attempt.Begin()
	s.calls = append(s.calls, fmt.Sprintf("%s/%d", s.vm, c.Shard))
	s.mu.Unlock()
	if a.stuck {
		time.Sleep(time.Second)
	}
	if !sleep(ctx, a.after) {
		s.mu.Lock()
		s.ran = true
		if s.stopped.IsZero() {
			s.stopped = time.Now()
		}
		s.mu.Unlock()
		return backend.Reply{}, verdict.Failf(c.Attempt, verdict.CodeDeadline, backend.ErrStopped, "stopped")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.err != nil {
		if errors.Is(a.err, backend.ErrRefused) || errors.Is(a.err, backend.ErrSnapshotGone) {
			c.Attempt.Refused()
		}
		s.ran = s.ran || !c.Attempt.Verdict().IsNotRun()
		return backend.Reply{}, verdict.Failf(c.Attempt, verdict.CodeLeafRefused, a.err, "failed")
	}
	s.ran = true
	c.Attempt.Answered()
	if a.covered == 0 {
		a.covered = 1
	}
	r := backend.Reply{ID: c.ID, Snapshot: c.Snapshot, Shard: c.Shard, Covered: a.covered,
		Data: append(fmt.Appendf(nil, "%s/%d", c.Snapshot, c.Shard), make([]byte, a.size)...)}
	earlier, doubled := s.last[s.vm]
	s.last[s.vm] = r
	switch a.crossed {
	case "id":
		r.ID += "x"
	case "snapshot":
		r.Snapshot += "x"
	case "shard":
		r.Shard++
	case "doubled":
		if doubled {
			return earlier, nil
		}
	}
	if a.crossed == "" || a.crossed == "doubled" {
		if s.delivered[c.Snapshot] == nil {
			s.delivered[c.Snapshot] = map[uint32]bool{}
		}
		s.delivered[c.Snapshot][c.Shard] = true
	}
	return r, nil
}

// snapshot returns a snapshot whose shards are held by the leaves that held names, one text of letters for each shard.
func snapshot(sequence uint64, held ...string) leaf.Snapshot {
	s := leaf.Snapshot{ID: fmt.Sprintf("s%d", sequence), Sequence: sequence, ShardCount: uint32(len(held))}
	for _, vms := range held {
		var replicas []leaf.Replica
		for _, vm := range vms {
			replicas = append(replicas, leaf.Replica{VM: string(vm)})
		}
		s.Replicas = append(s.Replicas, replicas)
	}
	return s
}

func newPool(snapshots ...leaf.Snapshot) *pool {
	return &pool{snapshots: func() []leaf.Snapshot { return snapshots }, delivered: map[string]map[uint32]bool{},
		last: map[string]backend.Reply{}, script: func(string, backend.Call) answer { return answer{after: time.Millisecond} }}
}

// moving returns a pool whose leaves give up snapshot s1 for s2 a while after the first send.
func moving(after time.Duration) *pool {
	p := newPool()
	var first time.Time
	p.snapshots = func() []leaf.Snapshot {
		if len(p.calls) > 0 && first.IsZero() {
			first = time.Now()
		}
		if !first.IsZero() && time.Since(first) >= after {
			return []leaf.Snapshot{snapshot(2, "c", "c")}
		}
		return []leaf.Snapshot{snapshot(1, "a", "b")}
	}
	return p
}

func (p *pool) executor(hedges, retries float64) *Executor {
	return New(Deps{Pool: p, Owners: p, Hedges: budget.New(hedges, 100), Retries: budget.New(retries, 100), Guard: p,
		Intents: p, Recorder: event.Discard{}, Node: "n"})
}

var profile = config.Profile{Deadline: config.Duration(200 * time.Millisecond), LeafTimeout: config.Duration(150 * time.Millisecond),
	LeastCoverage: 50, HedgeBudget: 0.05, RetryBudget: 0.1}

// Guards against mixed snapshots, wrong coverage, sends beyond the budgets or after "not run", second sends of requests
// that must run at most once, and late answers.
func TestRun(t *testing.T) {
	lost := answer{after: time.Millisecond, err: backend.ErrSessionLost}
	refused := answer{after: time.Millisecond, err: backend.ErrRefused}
	gone := answer{after: 2 * time.Millisecond, err: backend.ErrSnapshotGone}
	slow := answer{after: 170 * time.Millisecond}
	on := func(vm string, a answer) func(string, backend.Call) answer {
		return func(v string, _ backend.Call) answer {
			if v == vm {
				return a
			}
			return answer{after: time.Millisecond}
		}
	}
	tests := []struct {
		name      string
		pool      *pool
		script    func(string, backend.Call) answer
		acquire   func(context.Context) error
		beginErr  error
		alone     bool
		hedges    float64
		retries   float64
		request   query.Request
		change    func(*config.Profile)
		code      verdict.Code // empty for an answer
		verdict   verdict.Verdict
		snapshot  string
		percent   float64
		sends     int
		intents   []string
		withinMax time.Duration
		stoppedAt time.Duration // when a call was stopped first
		stuck     bool          // a call ends a second after its query; otherwise all goroutines must end with the query
	}{
		{name: "complete", pool: newPool(snapshot(2, "a", "b"), snapshot(1, "a", "b")), snapshot: "s2", percent: 100,
			verdict: verdict.Completed(), sends: 2},
		{name: "newest whole snapshot", pool: newPool(snapshot(3, "a", ""), snapshot(2, "a", "b")), snapshot: "s2",
			percent: 100, verdict: verdict.Completed(), sends: 2},
		{name: "no whole snapshot", pool: newPool(snapshot(3, "a", "", ""), snapshot(2, "a", "b", "")), snapshot: "s2",
			percent: 66.66, sends: 2},
		{name: "no snapshot", pool: newPool(), code: verdict.CodeNoSnapshot, verdict: notRun},
		{name: "shard beyond the snapshot", pool: newPool(snapshot(1, "a")), request: query.Request{Shards: []uint32{1}},
			code: verdict.CodeInvalid, verdict: notRun},
		{name: "partial answer of a leaf", pool: newPool(snapshot(1, "a", "b")),
			script: on("a", answer{covered: 0.25}), snapshot: "s1", percent: 62.5, verdict: verdict.Completed(), sends: 2},
		{name: "coverage that is no number", pool: newPool(snapshot(1, "a", "b")),
			script: on("a", answer{covered: math.NaN()}), snapshot: "s1", percent: 50, verdict: verdict.Completed(), sends: 2},
		{name: "coverage too low", pool: newPool(snapshot(1, "a", "b", "b")), script: on("b", refused),
			code: verdict.CodeCoverage, sends: 3},
		{name: "straggler within the minimum", pool: newPool(snapshot(1, "a", "b")), script: on("b", answer{after: time.Hour}),
			snapshot: "s1", percent: 50, sends: 2, withinMax: 200 * time.Millisecond},
		{name: "straggler that ignores its end", pool: newPool(snapshot(1, "a", "b")), script: on("b", answer{stuck: true}),
			snapshot: "s1", percent: 50, sends: 2, withinMax: 200 * time.Millisecond, stuck: true},
		{name: "hedge", pool: newPool(snapshot(1, "ab")), script: on("a", slow), hedges: 1, snapshot: "s1", percent: 100,
			verdict: verdict.Completed(), sends: 2, withinMax: 12 * time.Millisecond},
		{name: "loser of a hedge is stopped", pool: newPool(snapshot(1, "ab", "c")), hedges: 1, snapshot: "s1", percent: 100,
			script: func(vm string, _ backend.Call) answer {
				return map[string]answer{"a": slow, "c": {after: 60 * time.Millisecond}}[vm]
			}, verdict: verdict.Completed(), sends: 2 + 1, stoppedAt: 10 * time.Millisecond},
		{name: "hedge without budget", pool: newPool(snapshot(1, "ab")), script: on("a", slow), snapshot: "s1", percent: 100,
			verdict: verdict.Completed(), sends: 1},
		{name: "suspect", pool: newPool(snapshot(1, "ab")), alone: true, script: on("a", slow), hedges: 1, snapshot: "s1",
			percent: 100, verdict: verdict.Completed(), sends: 1},
		{name: "hedge not allowed", pool: newPool(snapshot(1, "ab")), script: on("a", slow), hedges: 1, snapshot: "s1",
			change: func(p *config.Profile) { p.HedgeBudget = 0 }, percent: 100, verdict: verdict.Completed(), sends: 1},
		{name: "retry", pool: newPool(snapshot(1, "ab")), script: on("a", lost), retries: 1, snapshot: "s1", percent: 100,
			verdict: verdict.Completed(), sends: 2},
		{name: "retry without budget", pool: newPool(snapshot(1, "ab")), script: on("a", lost),
			code: verdict.CodeLeafRefused, sends: 1},
		{name: "lost, then refused", pool: newPool(snapshot(1, "ab")), retries: 1, code: verdict.CodeLeafRefused, sends: 2,
			script: func(vm string, _ backend.Call) answer { return map[string]answer{"a": lost, "b": refused}[vm] }},
		{name: "leaf out of service at the send", pool: newPool(snapshot(1, "ab")), snapshot: "s1", percent: 100, sends: 1,
			script:  on("a", answer{unsent: true, err: verdict.Refusef(verdict.CodeOut, "zone out")}),
			verdict: verdict.Completed()},
		{name: "nothing answered without a minimum", pool: newPool(snapshot(1, "a")), script: on("a", lost),
			change: func(p *config.Profile) { p.LeastCoverage = 0 }, code: verdict.CodeLeafRefused, sends: 1},
		{name: "no slot in time", pool: newPool(snapshot(1, "a")), code: verdict.CodeDeadline, verdict: notRun,
			acquire: func(ctx context.Context) error {
				<-ctx.Done()
				return verdict.Refusef(verdict.CodeDeadline, "no slot")
			}, withinMax: 200 * time.Millisecond},
		{name: "all refused", pool: newPool(snapshot(1, "ab")), script: func(string, backend.Call) answer { return refused },
			retries: 1, code: verdict.CodeLeafRefused, verdict: notRun, sends: 2},
		{name: "crossed", pool: newPool(snapshot(1, "a", "b")), script: on("b", answer{crossed: "shard"}), snapshot: "s1",
			percent: 50, sends: 2},
		{name: "too large", pool: newPool(snapshot(1, "a", "b")), script: on("b", answer{after: 2 * time.Millisecond, size: 100}),
			change: func(p *config.Profile) { p.MaxResultBytes = 100 }, code: verdict.CodeTooLarge,
			verdict: verdict.Completed(), sends: 2},
		{name: "check before the send failed", pool: newPool(snapshot(1, "a")), code: verdict.CodeNoOwner, verdict: notRun,
			script: on("a", answer{unsent: true, err: verdict.Refusef(verdict.CodeNoOwner, "lease lost")})},
		{name: "restart", pool: moving(time.Millisecond), script: on("b", gone), snapshot: "s2", percent: 100,
			verdict: verdict.Completed(), sends: 4},
		{name: "restart when the newer snapshot is reported", pool: moving(60 * time.Millisecond), script: on("b", gone),
			snapshot: "s2", percent: 100, verdict: verdict.Completed(), sends: 4},
		{name: "restart, then refused", pool: moving(time.Millisecond), code: verdict.CodeLeafRefused, sends: 4,
			script: func(vm string, _ backend.Call) answer { return map[string]answer{"b": gone, "c": refused}[vm] }},
		{name: "newer snapshot comes too late", pool: moving(250 * time.Millisecond), script: on("b", gone),
			snapshot: "s1", percent: 50, sends: 2, withinMax: 200 * time.Millisecond},
		{name: "once: no restart", pool: moving(time.Millisecond), script: on("b", gone), request: query.Request{NonIdempotent: true},
			snapshot: "s1", percent: 50, sends: 2, intents: []string{"begin", "done"}},
		{name: "once: complete", pool: newPool(snapshot(1, "ab", "b")), request: query.Request{NonIdempotent: true},
			script: on("a", slow), hedges: 9, retries: 9, snapshot: "s1", percent: 100, verdict: verdict.Completed(),
			sends: 2, intents: []string{"begin", "done"}},
		{name: "once: lost", pool: newPool(snapshot(1, "ab")), request: query.Request{NonIdempotent: true},
			script: on("a", lost), hedges: 9, retries: 9, code: verdict.CodeLeafRefused, sends: 1,
			intents: []string{"begin", "done"}},
		{name: "once: refused", pool: newPool(snapshot(1, "ab")), change: func(p *config.Profile) { p.NonIdempotent = true },
			script: on("a", refused), hedges: 9, retries: 9, code: verdict.CodeLeafRefused, verdict: notRun, sends: 1,
			intents: []string{"begin", "release"}},
		{name: "once: one shard refused", pool: newPool(snapshot(1, "a", "b")), request: query.Request{NonIdempotent: true},
			script: on("a", refused), snapshot: "s1", percent: 50, sends: 2, intents: []string{"begin", "done"}},
		{name: "once: straggler that ignores its end", pool: newPool(snapshot(1, "a")),
			request: query.Request{NonIdempotent: true}, script: on("a", answer{stuck: true}), code: verdict.CodeCoverage,
			sends: 1, intents: []string{"begin", "done"}, withinMax: 200 * time.Millisecond, stuck: true},
		{name: "once: duplicate", pool: newPool(snapshot(1, "a")), request: query.Request{NonIdempotent: true},
			beginErr: verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeDuplicate, "held"), code: verdict.CodeDuplicate,
			intents: []string{"begin"}},
		{name: "once: no slot", pool: newPool(snapshot(1, "a")), request: query.Request{NonIdempotent: true},
			acquire: func(context.Context) error { return verdict.Refusef(verdict.CodeOverloaded, "no slot") },
			code:    verdict.CodeOverloaded, verdict: notRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, pr := test.pool, profile
				if test.script != nil {
					p.script = test.script
				}
				if test.change != nil {
					test.change(&pr)
				}
				p.acquire, p.beginErr, p.alone = test.acquire, test.beginErr, test.alone
				began := time.Now()
				got, err := p.executor(test.hedges, test.retries).Run(t.Context(), test.request, pr)
				if test.withinMax > 0 {
					qt.Check(t, time.Since(began) <= test.withinMax, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
				}
				if test.stuck {
					time.Sleep(time.Second)
				}
				synctest.Wait()
				if test.stoppedAt > 0 {
					qt.Check(t, p.stopped.Sub(began), qt.Equals, test.stoppedAt)
				}
				qt.Check(t, p.calls, qt.HasLen, test.sends)
				qt.Check(t, p.intents, qt.DeepEquals, test.intents)
				if test.code != "" {
					qt.Assert(t, err, qt.IsNotNil)
					qt.Check(t, verdict.CodeOf(err), qt.Equals, test.code)
					qt.Check(t, verdict.Of(err), qt.Equals, test.verdict, qt.Commentf("%v", err))
					return
				}
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, got.Snapshot, qt.Equals, test.snapshot)
				qt.Check(t, got.Coverage.Percent(), qt.Equals, test.percent)
				qt.Check(t, got.Verdict, qt.Equals, test.verdict)
				qt.Check(t, int(got.LeafRequests), qt.Equals, test.sends)
			})
		})
	}
}

var notRun = verdict.Parse("not-run")

// Guards against answers that mix snapshots, count coverage wrongly, repeat or lose a shard, come late, or claim "not
// run" for a call that may have run, while leaves change snapshots and answer late, doubled, crossed and partially.
func TestAnswersComeFromOneSnapshot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		counts := rapid.SliceOfN(rapid.IntRange(1, 6), 3, 3).Draw(rt, "shards of each snapshot")
		moves := rapid.SliceOfN(rapid.IntRange(0, 250), 9, 9).Draw(rt, "ms at which leaf i gets snapshot j") // 3 leaves
		keeps := rapid.SliceOfN(rapid.IntRange(0, 100), 9, 9).Draw(rt, "ms for which it keeps the snapshot before")
		faults := rapid.SliceOfN(rapid.SampledFrom([]answer{{}, {}, {after: 3 * time.Millisecond},
			{after: 45 * time.Millisecond}, {after: time.Hour}, {covered: 0.5}, {crossed: "id"}, {crossed: "snapshot"},
			{crossed: "shard"}, {crossed: "doubled"}, {err: backend.ErrSessionLost}, {err: backend.ErrRefused},
		}), 40, 40).Draw(rt, "answers")
		budgets := rapid.IntRange(0, 3).Draw(rt, "hedges and retries")
		once := rapid.Bool().Draw(rt, "non-idempotent")
		least := rapid.SampledFrom([]float64{0, 50, 100}).Draw(rt, "least coverage")
		var problem string
		synctest.Test(t, func(t *testing.T) {
			problem = runModel(t, counts, moves, keeps, faults, budgets, once, least)
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

func runModel(t *testing.T, counts, moves, keeps []int, faults []answer, budgets int, once bool, least float64) string {
	began, n := time.Now(), 0
	holds := func(vm, seq int) bool {
		now := int(time.Since(began).Milliseconds())
		arrives := func(s int) bool { return s == 0 || now >= moves[vm*3+s] }
		return arrives(seq) && (seq == 2 || now < moves[vm*3+seq+1]+keeps[vm*3+seq])
	}
	p := newPool()
	p.snapshots = func() (all []leaf.Snapshot) {
		for seq := 2; seq >= 0; seq-- {
			held := make([]string, counts[seq])
			for i := range held {
				for _, vm := range []int{i % 3, (i + 1) % 3} {
					if holds(vm, seq) {
						held[i] += string(rune('0' + vm))
					}
				}
			}
			all = append(all, snapshot(uint64(seq)+1, held...))
		}
		return all
	}
	p.script = func(vm string, c backend.Call) answer {
		a := faults[n%len(faults)]
		n++
		if !holds(int(vm[0]-'0'), int(c.Snapshot[1]-'1')) {
			return answer{err: backend.ErrSnapshotGone}
		}
		if a.covered == 0.5 && c.Shard%2 == 0 { // all replicas of a shard cover the same part
			a.covered = 1
		}
		if a.covered == 0 {
			a.covered = map[bool]float64{true: 1, false: 0.5}[c.Shard%2 == 0]
		}
		return a
	}
	pr := profile
	pr.LeastCoverage = least
	got, err := p.executor(float64(budgets), float64(budgets)).Run(t.Context(), query.Request{NonIdempotent: once}, pr)
	if d := time.Since(began); d > 200*time.Millisecond {
		return fmt.Sprintf("took %s", d)
	}
	synctest.Wait()
	if once && len(p.calls) != len(slices.Compact(slices.Sorted(slices.Values(p.calls)))) {
		return fmt.Sprintf("a shard was sent twice: %v", p.calls)
	}
	if err != nil {
		if verdict.Of(err).IsNotRun() == p.ran {
			return fmt.Sprintf("a call ran: %v; verdict %s of %v", p.ran, verdict.Of(err), err)
		}
		return ""
	}
	want := query.Coverage{Total: uint32(counts[got.Snapshot[1]-'1'])}
	results := got.Results
	for shard := range want.Total {
		if !p.delivered[got.Snapshot][shard] {
			want.Missing = append(want.Missing, shard)
			continue
		}
		want.Covered += map[bool]float64{true: 1, false: 0.5}[shard%2 == 0]
		if len(results) == 0 || string(results[0].Data) != fmt.Sprintf("%s/%d", got.Snapshot, shard) {
			return fmt.Sprintf("shard %d of %s: results %v", shard, got.Snapshot, got.Results)
		}
		results = results[1:]
	}
	if int(got.LeafRequests) != len(p.calls) {
		return fmt.Sprintf("%d leaf requests counted, %d sent", got.LeafRequests, len(p.calls))
	}
	if len(results) > 0 || fmt.Sprint(want) != fmt.Sprint(got.Coverage) || want.Percent() < least {
		return fmt.Sprintf("counted %v, got %v", want, got.Coverage)
	}
	return ""
}
