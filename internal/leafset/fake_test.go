package leafset

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/cluster"
	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/leaf"
	"cyclamenstream/api/platform"
	"cyclamenstream/api/verdict"
)

const (
	oneWay      = 2 * time.Millisecond
	serveTime   = 10 * time.Millisecond
	callTimeout = 200 * time.Millisecond
	// stepAnswers is the number of answers after which a ramping leaf may run one more call.
	stepAnswers = 8
)

// fakeLeaf is a leaf that notes every call above its limit. It derives the limit from the answers that it has given.
type fakeLeaf struct {
	vm platform.VM

	mu           sync.Mutex
	boot         int
	running      map[*fakeCall]bool
	sessions     []*fakeSession
	answers      int       // since the last session or boot identifier
	unknownUntil time.Time // until then the owner may not know the current boot identifier
	draining     bool
	snapshotGone bool          // the leaf has dropped the snapshot of its last status
	stopTime     time.Duration // between a cancellation and the end of the call
	workTime     time.Duration // of one call
	paused       chan struct{} // closed at the end of a pause; nil if not paused
	sendDelay    time.Duration // between the session's Do and the send; set before the first call
	seen         leafCounts
}

type leafCounts struct {
	dials, arrived, maxRunning int
	overloads                  []string
}

type fakeCall struct {
	id   string
	stop chan struct{}
}

func (l *fakeLeaf) change(f func(*fakeLeaf)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

func (l *fakeLeaf) limit() int     { return min(3, 1+l.answers/stepAnswers) }
func (l *fakeLeaf) bootID() string { return fmt.Sprint(l.vm.ID, "/", l.boot) }

func (l *fakeLeaf) arrive(c *fakeCall) (work, stopTime time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen.arrived++
	if l.snapshotGone {
		return 0, 0, false
	}
	l.running[c] = true
	l.seen.maxRunning = max(l.seen.maxRunning, len(l.running))
	if n := len(l.running); n > l.limit() && time.Now().After(l.unknownUntil) {
		l.seen.overloads = append(l.seen.overloads, fmt.Sprintf("%s runs %d at limit %d", c.id, n, l.limit()))
	}
	return l.workTime, l.stopTime, true
}

// turnCold changes the boot identifier while sessions and calls go on.
func (l *fakeLeaf) turnCold() {
	l.change(func(l *fakeLeaf) { l.boot, l.answers, l.unknownUntil = l.boot+1, 0, time.Now().Add(serveTime+2*oneWay) })
}

// pause pauses the leaf. Calls sent to it wait until it resumes, and its timers end no call before that.
func (l *fakeLeaf) pause(d time.Duration) {
	l.change(func(l *fakeLeaf) { l.paused = make(chan struct{}) })
	time.Sleep(d)
	l.change(func(l *fakeLeaf) {
		close(l.paused)
		l.paused, l.unknownUntil = nil, time.Now().Add(callTimeout+backend.EndGrace) // earlier calls run in addition
	})
}

func (l *fakeLeaf) awaitPause(ctx context.Context) {
	var paused chan struct{}
	l.change(func(l *fakeLeaf) { paused = l.paused })
	if paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
		}
	}
}

// dropSessions ends all sessions. A restart also ends all calls and changes the boot identifier.
func (l *fakeLeaf) dropSessions(restart bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if restart {
		l.boot++
		l.running = map[*fakeCall]bool{}
	}
	for _, s := range l.sessions {
		_ = s.Close()
	}
	l.sessions = nil
}

func (l *fakeLeaf) counts() (c leafCounts) {
	l.change(func(l *fakeLeaf) { c = l.seen })
	return c
}

type fakeSession struct {
	leaf *fakeLeaf
	done chan struct{}
	once sync.Once
}

func (s *fakeSession) Done() <-chan struct{} { return s.done }
func (s *fakeSession) Close() error          { s.once.Do(func() { close(s.done) }); return nil }

func (s *fakeSession) Status(ctx context.Context) (backend.Status, error) {
	time.Sleep(2 * oneWay)
	s.leaf.awaitPause(ctx)
	info := backend.SnapshotInfo{ID: "s1", Sequence: 1, ShardCount: 1, Shards: []uint32{0}}
	var status backend.Status
	s.leaf.change(func(l *fakeLeaf) {
		if l.snapshotGone {
			info.ID = "s2"
		}
		status = backend.Status{BootID: l.bootID(), Draining: l.draining, Snapshots: []backend.SnapshotInfo{info}}
	})
	return status, ctx.Err()
}

func (s *fakeSession) Do(ctx context.Context, call backend.Call) (backend.Reply, error) {
	select {
	case <-s.done: // nothing is sent
		return backend.Reply{}, backend.ErrSessionLost
	default:
	}
	time.Sleep(s.leaf.sendDelay)
	call.Attempt.Begin()
	c := &fakeCall{id: call.ID, stop: make(chan struct{})}
	ended := make(chan error, 1)
	go s.run(c, call, ended)
	cancelled, expired := ctx.Done(), time.After(call.Timeout+backend.EndGrace)
	for {
		select {
		case <-expired:
			return backend.Reply{}, backend.ErrSessionLost
		case <-s.done:
			return backend.Reply{}, backend.ErrSessionLost
		case <-cancelled:
			cancelled = nil
			time.AfterFunc(oneWay, func() { close(c.stop) })
		case err := <-ended:
			if errors.Is(err, backend.ErrSnapshotGone) {
				call.Attempt.Refused()
			}
			if err != nil {
				return backend.Reply{}, err
			}
			call.Attempt.Answered()
			reply := backend.Reply{ID: call.ID, Snapshot: call.Snapshot, Shard: call.Shard}
			s.leaf.change(func(l *fakeLeaf) { reply.BootID = l.bootID() })
			return reply, nil
		}
	}
}

// run is the leaf's part of a call. It goes on when the session is lost.
func (s *fakeSession) run(c *fakeCall, call backend.Call, ended chan<- error) {
	time.Sleep(oneWay)
	s.leaf.awaitPause(context.Background())
	work, stopTime, ok := s.leaf.arrive(c)
	if !ok {
		time.Sleep(oneWay)
		ended <- backend.ErrSnapshotGone
		return
	}
	var err error
	select {
	case <-time.After(work):
	case <-time.After(call.Timeout):
		err = backend.ErrStopped
	case <-c.stop:
		time.Sleep(stopTime)
		err = backend.ErrStopped
	}
	s.leaf.awaitPause(context.Background())
	s.leaf.change(func(l *fakeLeaf) {
		if l.running[c] { // otherwise the process that ran it has ended
			delete(l.running, c)
			l.answers++
		}
	})
	time.Sleep(oneWay)
	ended <- err
}

// testEnv fakes the dependencies of a Set: leaves, membership, ownership and configuration.
type testEnv struct {
	t      *testing.T
	leaves []*fakeLeaf
	set    *Set

	mu           sync.Mutex
	owned        []cluster.OwnedService
	outOfService map[string]bool
	stale        bool
	changed      chan struct{}
	document     *config.Document
}

func newTestEnv(t *testing.T, leaves int) *testEnv {
	env := &testEnv{
		t: t, outOfService: map[string]bool{}, changed: make(chan struct{}),
		owned:    []cluster.OwnedService{{Service: "svc"}},
		document: &config.Document{Services: map[string]config.Service{"svc": {Slots: 3, ColdSlots: 1, Connections: 30}}},
	}
	for i := range leaves {
		id := fmt.Sprint("leaf", i)
		vm := platform.VM{ID: id, Address: id, Service: "svc"}
		env.leaves = append(env.leaves, &fakeLeaf{vm: vm, running: map[*fakeCall]bool{}, workTime: serveTime})
	}
	env.set = New(Deps{Dialer: env, Membership: env, Ownership: env, Config: env, Recorder: event.Discard{}, Scope: tally.NoopScope})
	qt.Assert(t, env.set.Start(t.Context()), qt.IsNil)
	t.Cleanup(env.stop)
	return env
}

// withLock runs f under the lock. A change that f makes is not announced.
func (env *testEnv) withLock(f func()) {
	env.mu.Lock()
	defer env.mu.Unlock()
	f()
}

// change changes the environment and announces the change.
func (env *testEnv) change(f func()) {
	env.withLock(func() {
		f()
		close(env.changed)
		env.changed = make(chan struct{})
	})
}

func (env *testEnv) Changed() (c <-chan struct{}) {
	env.withLock(func() { c = env.changed })
	return c
}

func (env *testEnv) Dial(_ context.Context, address string) (backend.Session, error) {
	time.Sleep(2 * oneWay)
	l := env.leaves[slices.IndexFunc(env.leaves, func(l *fakeLeaf) bool { return l.vm.Address == address })]
	s := &fakeSession{leaf: l, done: make(chan struct{})}
	l.change(func(l *fakeLeaf) { l.sessions, l.seen.dials, l.answers = append(l.sessions, s), l.seen.dials+1, 0 })
	return s, nil
}

func (env *testEnv) Self() platform.VM         { return platform.VM{ID: "node", Zone: "z1"} }
func (env *testEnv) Members() []cluster.Member { return nil }

func (env *testEnv) Leaves(string) (vms []platform.VM) {
	env.withLock(func() {
		for _, l := range env.leaves {
			if !env.outOfService[l.vm.ID] {
				vms = append(vms, l.vm)
			}
		}
	})
	return vms
}

func (env *testEnv) refuse(code verdict.Code, when func() bool) (err error) {
	env.withLock(func() {
		if when() {
			err = verdict.Refusef(code, "refused")
		}
	})
	return err
}

func (env *testEnv) CheckFresh() error {
	return env.refuse(verdict.CodeStale, func() bool { return env.stale })
}

func (env *testEnv) LeafAllowed(vm platform.VM) bool {
	return env.refuse(verdict.CodeOutOfService, func() bool { return env.outOfService[vm.ID] }) == nil
}

func (env *testEnv) Owner(string) (cluster.Owner, bool) { return cluster.Owner{}, false }

func (env *testEnv) CheckOwned(string) error {
	return env.refuse(verdict.CodeNoOwner, func() bool { return len(env.owned) == 0 })
}

func (env *testEnv) Owned() ([]cluster.OwnedService, <-chan struct{}) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.owned), env.changed
}

func (env *testEnv) Current() *config.Document { return env.document }

var lastID atomic.Int64

func newCall(timeout time.Duration) backend.Call {
	id := fmt.Sprint("call", lastID.Add(1))
	return backend.Call{ID: id, Service: "svc", Snapshot: "s1", Timeout: timeout, Attempt: &verdict.Attempt{}}
}

func (env *testEnv) mustAcquire() leaf.Slot {
	slot, err := env.acquire(env.t.Context())
	qt.Assert(env.t, err, qt.IsNil)
	return slot
}

func (env *testEnv) acquire(ctx context.Context) (leaf.Slot, error) {
	return env.set.Acquire(ctx, leaf.SlotRequest{Service: "svc", Snapshot: "s1", Deadline: time.Now().Add(3 * time.Second)})
}

// load sends calls from n callers without a pause until stop is set. Each caller cancels its calls after the durations
// of cancelAfter in turn; 0 means never.
func (env *testEnv) load(n int, stop *atomic.Bool, cancelAfter [3]time.Duration) *sync.WaitGroup {
	var callers sync.WaitGroup
	for range n {
		callers.Go(func() {
			for i := 0; !stop.Load(); i++ {
				env.call(cancelAfter[i%len(cancelAfter)])
			}
		})
	}
	return &callers
}

func (env *testEnv) call(cancelAfter time.Duration) {
	slot, err := env.acquire(context.Background())
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cmp.Or(cancelAfter, time.Hour))
	defer stop()
	if _, err := slot.Do(ctx, newCall(callTimeout)); err != nil && verdict.Of(err).IsNotRun() {
		time.Sleep(time.Millisecond)
	}
}

func (env *testEnv) stop() { qt.Check(env.t, env.set.Stop(context.Background()), qt.IsNil) }
