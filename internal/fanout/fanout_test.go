package fanout

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
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
	"cyclamenstream/internal/clock"
	"cyclamenstream/internal/fanout/budget"
	"cyclamenstream/internal/intent"
	"cyclamenstream/internal/quarantine"
	"cyclamenstream/internal/timeline"
)

const ms = time.Millisecond

var (
	_ Guard   = (*quarantine.List)(nil)
	_ Intents = (*intent.Manager)(nil)
)

// leafAnswer says how a leaf handles one call.
type leafAnswer struct {
	after   time.Duration
	covered float64 // share of the shard; 0 means 1
	size    int
	err     error // wraps an error of package backend, or the error of a check before the send
	unsent  bool  // err occurs before the send
	stuck   bool  // ignores cancellation for a second
	// corrupt changes the reply. earlier is the leaf's previous reply.
	corrupt func(r *backend.Reply, earlier backend.Reply)
}

// pool is a leaf.Pool whose leaves answer according to the test's script.
type pool struct {
	leaf.Pool // for the methods that fanout does not use
	cluster.Ownership
	mu        sync.Mutex
	snapshots func() []leaf.Snapshot
	script    func(vm string, c backend.Call) leafAnswer
	acquire   func(context.Context) error

	calls       []string        // "vm/shard" of each send
	delivered   map[string]bool // "snapshot/shard" of each correct answer in time
	mayHaveRun  bool            // whether a call may have run
	stopped     time.Time       // when a call was first cancelled
	lastReplies map[string]backend.Reply
	intents     []string
	beginErr    error
	alone       bool // the request is suspected of crashing leaves
	// lost lists the leaves whose session was lost during a call, reported those that were reported to Lost.
	lost, reported []string
}

func (p *pool) Snapshots(string) []leaf.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshots()
}
func (p *pool) CheckOwned(string) error           { return nil }
func (p *pool) Fingerprint(string, []byte) string { return "f" }
func (p *pool) Leave(string, bool)                {}
func (p *pool) Check() error                      { return nil }
func (p *pool) Release(context.Context)           { p.intents = append(p.intents, "release") }
func (p *pool) Done(context.Context)              { p.intents = append(p.intents, "done") }

func (p *pool) Enter(_ context.Context, _, _, _ string, _ uint32) (bool, error) { return p.alone, nil }

func (p *pool) SessionLost(_, vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported = append(p.reported, vm)
}

func (p *pool) Begin(context.Context, string, string, string) (intent.Intent, error) {
	p.intents = append(p.intents, "begin")
	return p, p.beginErr
}

func (p *pool) Acquire(ctx context.Context, request leaf.SlotRequest) (leaf.Slot, error) {
	if p.acquire != nil {
		if err := p.acquire(ctx); err != nil {
			return nil, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.snapshots() {
		if s.ID != request.Snapshot || request.Alone != p.alone {
			continue
		}
		for _, r := range s.Replicas[request.Shard] {
			if !slices.Contains(request.Exclude, r.VM) {
				return &slot{p, r.VM}, nil
			}
		}
	}
	return nil, verdict.Refusef(verdict.CodeOverloaded, "no replica")
}

var codes = map[error]verdict.Code{backend.ErrRefused: verdict.CodeLeafRefused,
	backend.ErrSnapshotGone: verdict.CodeSnapshotGone, backend.ErrSessionLost: verdict.CodeSessionLost,
	backend.ErrStopped: verdict.CodeDeadline}

type slot struct {
	*pool
	vm string
}

func (s *slot) VM() string               { return s.vm }
func (s *slot) BootID() string           { return "" }
func (s *slot) Latency95() time.Duration { return 10 * ms }
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
		defer s.mu.Unlock()
		s.mayHaveRun = true
		s.stopped = cmp.Or(s.stopped, time.Now())
		return backend.Reply{}, verdict.Failf(c.Attempt, verdict.CodeDeadline, backend.ErrStopped, "stopped")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.err != nil {
		if errors.Is(a.err, backend.ErrRefused) || errors.Is(a.err, backend.ErrSnapshotGone) {
			c.Attempt.Refused()
		}
		if errors.Is(a.err, backend.ErrSessionLost) {
			s.lost = append(s.lost, s.vm)
		}
		s.mayHaveRun = s.mayHaveRun || !c.Attempt.Verdict().IsNotRun()
		return backend.Reply{}, verdict.Failf(c.Attempt, codes[a.err], a.err, "failed")
	}
	s.mayHaveRun = true
	c.Attempt.Answered()
	r := backend.Reply{ID: c.ID, Snapshot: c.Snapshot, Shard: c.Shard, Covered: cmp.Or(a.covered, 1),
		Data: append(fmt.Appendf(nil, "%s/%d", c.Snapshot, c.Shard), make([]byte, a.size)...)}
	earlier := s.lastReplies[s.vm]
	s.lastReplies[s.vm] = r
	if a.corrupt != nil {
		a.corrupt(&r, earlier)
	} else {
		s.delivered[string(r.Data)] = true
	}
	return r, nil
}

// snapshot returns a snapshot with the given holders. Each text in held has the one-letter names of a shard's leaves.
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
	return &pool{snapshots: func() []leaf.Snapshot { return snapshots }, delivered: map[string]bool{},
		lastReplies: map[string]backend.Reply{}, script: func(string, backend.Call) leafAnswer { return leafAnswer{after: ms} }}
}

func otherShard(r *backend.Reply, _ backend.Reply)          { r.Shard++ }
func repeatedReply(r *backend.Reply, earlier backend.Reply) { *r = earlier }

// newMovingPool returns a pool whose leaves replace snapshot s1 by s2 some time after the first send.
func newMovingPool(after time.Duration) *pool {
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

var profile = config.Profile{Deadline: config.Duration(200 * ms), LeafTimeout: config.Duration(150 * ms),
	LeastCoverage: 50, HedgeBudget: 0.05, RetryBudget: 0.1}

// setup describes the differences from an idempotent query of all shards without budgets.
type setup struct {
	request         query.Request
	change          func(*config.Profile)
	hedges, retries float64 // initial budgets
	alone           bool
	acquire         func(context.Context) error
	beginErr        error
}

// Guards against mixed snapshots, wrong coverage, sends beyond the budgets or after "not run", second sends of requests
// that must run at most once, and late answers.
func TestRun(t *testing.T) {
	lost, refused := leafAnswer{after: ms, err: backend.ErrSessionLost}, leafAnswer{after: ms, err: backend.ErrRefused}
	gone, slow := leafAnswer{after: 2 * ms, err: backend.ErrSnapshotGone}, leafAnswer{after: 170 * ms}
	out := leafAnswer{unsent: true, err: verdict.Refusef(verdict.CodeOutOfService, "zone out")}
	noOwner := leafAnswer{unsent: true, err: verdict.Refusef(verdict.CodeNoOwner, "lease lost")}
	on := func(answers map[string]leafAnswer) func(string, backend.Call) leafAnswer {
		return func(vm string, _ backend.Call) leafAnswer {
			if a, ok := answers[vm]; ok {
				return a
			}
			return leafAnswer{after: ms}
		}
	}
	a := func(x leafAnswer) func(string, backend.Call) leafAnswer { return on(map[string]leafAnswer{"a": x}) }
	b := func(x leafAnswer) func(string, backend.Call) leafAnswer { return on(map[string]leafAnswer{"b": x}) }
	once := setup{request: query.Request{NonIdempotent: true}, hedges: 9, retries: 9}
	duplicate, noSlot, tooLong := once, once, setup{acquire: func(ctx context.Context) error {
		<-ctx.Done()
		return verdict.Refusef(verdict.CodeDeadline, "no slot")
	}}
	duplicate.beginErr = verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeDuplicate, "held")
	noSlot.acquire = func(context.Context) error { return verdict.Refusef(verdict.CodeOverloaded, "no slot") }
	slots, longer := 0, setup{retries: 1, change: func(p *config.Profile) { p.Deadline *= 2 }}
	oneSlot := setup{acquire: func(context.Context) error {
		if slots++; slots > 1 {
			return verdict.Refusef(verdict.CodeOverloaded, "no slot")
		}
		return nil
	}}
	noHedges := setup{hedges: 1, change: func(p *config.Profile) { p.HedgeBudget = 0 }}
	noMinimum := setup{change: func(p *config.Profile) { p.LeastCoverage = 0 }}
	small := setup{change: func(p *config.Profile) { p.MaxResultBytes = 100 }}
	onceByProfile := setup{change: func(p *config.Profile) { p.NonIdempotent = true }, retries: 9}
	one, two, either := snapshot(1, "a"), snapshot(1, "a", "b"), snapshot(1, "ab")
	half, stuck := leafAnswer{covered: 0.5}, leafAnswer{stuck: true}
	tests := []struct {
		name   string
		pool   *pool
		script func(string, backend.Call) leafAnswer
		setup  setup
		want   string        // snapshot and coverage in percent, or error code; then verdict, sends and intent calls
		within time.Duration // 0 for the deadline
	}{
		{"complete", newPool(snapshot(2, "a", "b"), two), nil, setup{}, "s2 100 completed 2", 2 * ms},
		{"newest complete snapshot", newPool(snapshot(3, "a", ""), snapshot(2, "a", "b")), nil, setup{}, "s2 100 completed 2", 2 * ms},
		{"no complete snapshot", newPool(snapshot(3, "a", "", ""), snapshot(2, "a", "b", "")), nil, setup{},
			"s2 66.66 may-have-run 2", 0},
		{"no snapshot", newPool(), nil, setup{}, "no_snapshot not-run 0", 0},
		{"no such shard", newPool(one), nil, setup{request: query.Request{Shards: []uint32{1}}},
			"invalid_request not-run 0", 0},
		{"partial answer of a leaf", newPool(two), a(half), setup{}, "s1 75 completed 2", 0},
		{"coverage is not a number", newPool(two), a(leafAnswer{covered: math.NaN()}), setup{}, "s1 50 completed 2", 0},
		{"coverage too low", newPool(snapshot(1, "a", "b", "b")), b(refused), setup{},
			"coverage_too_low may-have-run 3", 0},
		{"straggler", newPool(two), b(leafAnswer{after: time.Hour}), setup{}, "s1 50 may-have-run 2", 0},
		{"straggler that ignores cancellation", newPool(two), b(stuck), setup{}, "s1 50 may-have-run 2", 0},
		{"hedge", newPool(either), a(slow), setup{hedges: 1}, "s1 100 completed 2", 12 * ms},
		{"loser of a hedge is stopped", newPool(snapshot(1, "ab", "c")),
			on(map[string]leafAnswer{"a": slow, "b": {}, "c": {after: 60 * ms}}), setup{hedges: 1}, "s1 100 completed 3", 0},
		{"hedge without budget", newPool(either), a(slow), setup{}, "s1 100 completed 1", 0},
		{"suspect is not hedged", newPool(either), a(slow), setup{alone: true, hedges: 1}, "s1 100 completed 1", 0},
		{"hedge not allowed", newPool(either), a(slow), noHedges, "s1 100 completed 1", 0},
		{"retry", newPool(either), a(lost), setup{retries: 1}, "s1 100 completed 2", 0},
		{"retry without budget", newPool(either), a(lost), setup{}, "coverage_too_low may-have-run 1", 0},
		{"lost, then refused", newPool(either), on(map[string]leafAnswer{"a": lost, "b": refused}), setup{retries: 1},
			"leaf_refused may-have-run 2", 0},
		{"leaf out of service at the send", newPool(either), a(out), setup{}, "s1 100 completed 1", 0},
		{"leaf out of service, no slot on the other", newPool(either), a(out), oneSlot, "overloaded not-run 0", 2 * ms},
		{"leaf stops at its timeout", newPool(either), a(leafAnswer{after: 155 * ms, err: backend.ErrStopped}), longer,
			"s1 100 completed 2", 160 * ms},
		{"nothing answered", newPool(one), a(lost), noMinimum, "coverage_too_low may-have-run 1", 0},
		{"no slot in time", newPool(one), nil, tooLong, "deadline_exceeded not-run 0", 0},
		{"all refused", newPool(either), on(map[string]leafAnswer{"a": refused, "b": refused}), setup{retries: 1},
			"leaf_refused not-run 2", 0},
		{"crossed", newPool(two), b(leafAnswer{corrupt: otherShard}), setup{}, "s1 50 may-have-run 2", 0},
		{"too large", newPool(two), b(leafAnswer{after: 2 * ms, size: 100}), small, "too_large completed 2", 0},
		{"ownership lost", newPool(one), a(noOwner), setup{}, "no_owner not-run 0", 0},
		{"ownership lost after some shards", newPool(two), b(noOwner), noMinimum, "no_owner may-have-run 1", 0},
		{"ownership lost too late for a repetition", newPool(two), on(map[string]leafAnswer{"a": {after: 140 * ms}, "b": noOwner}),
			noMinimum, "s1 50 may-have-run 1", 0},
		{"restart", newMovingPool(ms), b(gone), setup{}, "s2 100 completed 4", 15 * ms},
		{"newer snapshot is reported late", newMovingPool(60 * ms), b(gone), setup{}, "s2 100 completed 4", 80 * ms},
		{"restart beside a straggler", newMovingPool(30 * ms), on(map[string]leafAnswer{"a": slow, "b": gone}), setup{},
			"s2 100 completed 4", 60 * ms},
		{"restart, then refused", newMovingPool(ms), on(map[string]leafAnswer{"b": gone, "c": refused}), setup{},
			"leaf_refused may-have-run 4", 0},
		{"newer snapshot comes too late", newMovingPool(250 * ms), b(gone), setup{}, "s1 50 may-have-run 2", 0},
		{"once: complete", newPool(snapshot(1, "ab", "b")), a(slow), once, "s1 100 completed 2 begin done", 0},
		{"once: lost", newPool(either), a(lost), once, "coverage_too_low may-have-run 1 begin done", 0},
		{"once: refused", newPool(either), a(refused), onceByProfile, "leaf_refused not-run 1 begin release", 0},
		{"once: one shard refused", newPool(two), a(refused), once, "s1 50 may-have-run 2 begin done", 0},
		{"once: no restart", newMovingPool(ms), b(gone), once, "s1 50 may-have-run 2 begin done", 0},
		{"once: straggler that ignores cancellation", newPool(one), a(stuck), once,
			"coverage_too_low may-have-run 1 begin done", 0},
		{"once: duplicate", newPool(one), nil, duplicate, "duplicate_request may-have-run 0 begin", 0},
		{"once: no slot", newPool(one), nil, noSlot, "overloaded not-run 0", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, pr, began := test.pool, profile, time.Now()
				if test.script != nil {
					p.script = test.script
				}
				if test.setup.change != nil {
					test.setup.change(&pr)
				}
				p.acquire, p.beginErr, p.alone = test.setup.acquire, test.setup.beginErr, test.setup.alone
				answer, err := p.executor(test.setup.hedges, test.setup.retries).Run(t.Context(), test.setup.request, pr)
				took := time.Since(began)
				qt.Check(t, took <= cmp.Or(test.within, time.Duration(pr.Deadline)), qt.IsTrue, qt.Commentf("took %s", took))
				if strings.Contains(test.name, "ignores cancellation") { // all other goroutines end with the query
					time.Sleep(time.Second)
				}
				synctest.Wait()
				if strings.Contains(test.name, "loser") {
					qt.Check(t, p.stopped.Sub(began), qt.Equals, 10*ms)
				}
				qt.Check(t, p.reported, qt.DeepEquals, p.lost) // otherwise a request that crashes leaves is suspected too late
				got := fmt.Sprint(answer.Snapshot, " ", answer.Coverage.Percent(), " ", answer.Verdict)
				if err != nil {
					got = fmt.Sprint(verdict.CodeOf(err), " ", verdict.Of(err))
				} else {
					qt.Check(t, p.calls, qt.HasLen, int(answer.LeafRequests))
				}
				got = fmt.Sprint(got, " ", len(p.calls), " ", strings.Join(p.intents, " "))
				qt.Check(t, strings.TrimSpace(got), qt.Equals, test.want, qt.Commentf("%v", err))
			})
		})
	}
}

// Guards against a burst of failed queries that pushes all other events out of the timeline.
func TestEventsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		buffer, e := timeline.NewBuffer(clock.New(time.Now), "n", "z", 1000), newPool(snapshot(1, "a")).executor(0, 0)
		e.Recorder = buffer
		for began := time.Now(); time.Since(began) < time.Second; time.Sleep(ms) {
			e.Run(t.Context(), query.Request{Shards: []uint32{7}}, profile)
		}
		qt.Assert(t, buffer.Events(), qt.HasLen, int(time.Second/eventInterval))
	})
}

// Guards against answers that mix snapshots, count coverage wrongly, repeat or lose a shard, come late, or claim "not
// run" for a call that may have run. Meanwhile leaves change snapshots, answer late or partially, repeat replies and
// return replies to other calls.
func TestAnswersComeFromOneSnapshot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		counts := rapid.SliceOfN(rapid.IntRange(1, 6), 3, 3).Draw(rt, "shards of each snapshot")
		moves := rapid.SliceOfN(rapid.IntRange(0, 250), 9, 9).Draw(rt, "ms at which leaf i gets snapshot j") // 3 leaves
		keeps := rapid.SliceOfN(rapid.IntRange(0, 100), 9, 9).Draw(rt, "ms for which it keeps the snapshot before")
		faults := rapid.SliceOfN(rapid.SampledFrom([]leafAnswer{{}, {}, {after: 3 * ms},
			{after: 45 * ms}, {after: time.Hour}, {corrupt: otherShard}, {corrupt: repeatedReply},
			{corrupt: func(r *backend.Reply, _ backend.Reply) { r.ID += "x" }},
			{corrupt: func(r *backend.Reply, _ backend.Reply) { r.Snapshot += "x" }}, {err: backend.ErrSessionLost}, {err: backend.ErrRefused},
		}), 40, 40).Draw(rt, "answers")
		budgets := rapid.IntRange(0, 3).Draw(rt, "hedges and retries")
		once := rapid.Bool().Draw(rt, "non-idempotent")
		least := rapid.SampledFrom([]float64{0, 50, 100}).Draw(rt, "least coverage")
		var problem string
		synctest.Test(t, func(t *testing.T) { problem = runModel(t, counts, moves, keeps, faults, budgets, once, least) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

func runModel(t *testing.T, counts, moves, keeps []int, faults []leafAnswer, budgets int, once bool, least float64) string {
	began, n := time.Now(), 0
	covered := func(shard uint32) float64 { return 1 - float64(shard%2)/2 } // by all replicas of the shard
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
	p.script = func(vm string, c backend.Call) leafAnswer {
		a := faults[n%len(faults)]
		n++
		if !holds(int(vm[0]-'0'), int(c.Snapshot[1]-'1')) {
			return leafAnswer{err: backend.ErrSnapshotGone}
		}
		a.covered = covered(c.Shard)
		return a
	}
	pr := profile
	pr.LeastCoverage = least
	got, err := p.executor(float64(budgets), float64(budgets)).Run(t.Context(), query.Request{NonIdempotent: once}, pr)
	if d := time.Since(began); d > 200*ms {
		return fmt.Sprintf("took %s", d)
	}
	synctest.Wait()
	if once && len(p.calls) != len(slices.Compact(slices.Sorted(slices.Values(p.calls)))) {
		return fmt.Sprintf("a shard was sent twice: %v", p.calls)
	}
	if err != nil {
		if verdict.Of(err).IsNotRun() == p.mayHaveRun {
			return fmt.Sprintf("a call may have run: %v, but the verdict is %s: %v", p.mayHaveRun, verdict.Of(err), err)
		}
		return ""
	}
	want := query.Coverage{Total: uint32(counts[got.Snapshot[1]-'1'])}
	results := got.Results
	for shard := range want.Total {
		data := fmt.Sprintf("%s/%d", got.Snapshot, shard)
		if !p.delivered[data] {
			want.Missing = append(want.Missing, shard)
			continue
		}
		want.Covered += covered(shard)
		if len(results) == 0 || string(results[0].Data) != data {
			return fmt.Sprintf("shard %d of %s: results %v", shard, got.Snapshot, got.Results)
		}
		results = results[1:]
	}
	if int(got.LeafRequests) != len(p.calls) {
		return fmt.Sprintf("%d leaf requests counted, but %d sent", got.LeafRequests, len(p.calls))
	}
	if len(results) > 0 || fmt.Sprint(want) != fmt.Sprint(got.Coverage) || want.Percent() < least {
		return fmt.Sprintf("want coverage %v, got %v", want, got.Coverage)
	}
	return ""
}
