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
	// stepAnswers is the number of answers after which a ramping leaf may get one more call.
	stepAnswers = 8
)

// fakeLeaf is a leaf that notes every call beyond what its ramp allows, counted from its own answers.
type fakeLeaf struct {
	vm platform.VM

	mu           sync.Mutex
	boot         int
	running      map[*fakeCall]bool
	sessions     []*fakeSession
	answers      int       // since the last session or boot identifier
	unknownUntil time.Time // until then the owner may not know of the present boot identifier
	draining     bool
	gone         bool          // has dropped the snapshot of its last status
	stopTime     time.Duration // between a cancellation and the end of the call
	workTime     time.Duration // of one call
	paused       chan struct{} // closed at the end of a pause; nil without one
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
	if l.gone {
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

// pause stops the leaf: what it is sent waits until it goes on, and its timers end no call before.
func (l *fakeLeaf) pause(d time.Duration) {
	l.change(func(l *fakeLeaf) { l.paused = make(chan struct{}) })
	time.Sleep(d)
	l.change(func(l *fakeLeaf) {
		close(l.paused)
		l.paused, l.unknownUntil = nil, time.Now().Add(callTimeout+backend.EndGrace) // calls sent before come on top
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
		if l.gone {
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
	cancelled, silent := ctx.Done(), time.After(call.Timeout+backend.EndGrace)
	for {
		select {
		case <-silent:
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

// run is the leaf's part of a call; it goes on when the session is lost.
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
		if l.running[c] { // else the process that ran it is gone
			delete(l.running, c)
			l.answers++
		}
	})
	time.Sleep(oneWay)
	ended <- err
}

// testEnv is the surroundings of a Set: leaves, membership, ownership and configuration.
type testEnv struct {
	t      *testing.T
	leaves []*fakeLeaf
	set    *Set

	mu       sync.Mutex
	owned    []cluster.OwnedService
	out      map[string]bool
	stale    bool
	changed  chan struct{}
	document *config.Document
}

func newTestEnv(t *testing.T, leaves int) *testEnv {
	w := &testEnv{
		t: t, out: map[string]bool{}, changed: make(chan struct{}),
		owned:    []cluster.OwnedService{{Service: "svc"}},
		document: &config.Document{Services: map[string]config.Service{"svc": {Slots: 3, ColdSlots: 1, Connections: 30}}},
	}
	for i := range leaves {
		id := fmt.Sprint("leaf", i)
		vm := platform.VM{ID: id, Address: id, Service: "svc"}
		w.leaves = append(w.leaves, &fakeLeaf{vm: vm, running: map[*fakeCall]bool{}, workTime: serveTime})
	}
	w.set = New(Deps{Dialer: w, Membership: w, Ownership: w, Config: w, Recorder: event.Discard{}, Scope: tally.NoopScope})
	qt.Assert(t, w.set.Start(t.Context()), qt.IsNil)
	t.Cleanup(w.stop)
	return w
}

// changeUnannounced applies a change to the surroundings that is not announced.
func (w *testEnv) changeUnannounced(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// change applies a change to the surroundings and announces it.
func (w *testEnv) change(f func()) {
	w.changeUnannounced(func() {
		f()
		close(w.changed)
		w.changed = make(chan struct{})
	})
}

func (w *testEnv) Changed() (c <-chan struct{}) {
	w.changeUnannounced(func() { c = w.changed })
	return c
}

func (w *testEnv) Dial(_ context.Context, address string) (backend.Session, error) {
	time.Sleep(2 * oneWay)
	l := w.leaves[slices.IndexFunc(w.leaves, func(l *fakeLeaf) bool { return l.vm.Address == address })]
	s := &fakeSession{leaf: l, done: make(chan struct{})}
	l.change(func(l *fakeLeaf) { l.sessions, l.seen.dials, l.answers = append(l.sessions, s), l.seen.dials+1, 0 })
	return s, nil
}

func (w *testEnv) Self() platform.VM         { return platform.VM{ID: "node", Zone: "z1"} }
func (w *testEnv) Members() []cluster.Member { return nil }

func (w *testEnv) Leaves(string) (vms []platform.VM) {
	w.changeUnannounced(func() {
		for _, l := range w.leaves {
			if !w.out[l.vm.ID] {
				vms = append(vms, l.vm)
			}
		}
	})
	return vms
}

func (w *testEnv) refuse(code verdict.Code, when func() bool) (err error) {
	w.changeUnannounced(func() {
		if when() {
			err = verdict.Refusef(code, "refused")
		}
	})
	return err
}

func (w *testEnv) CheckFresh() error {
	return w.refuse(verdict.CodeStale, func() bool { return w.stale })
}

func (w *testEnv) LeafAllowed(vm platform.VM) bool {
	return w.refuse(verdict.CodeOutOfService, func() bool { return w.out[vm.ID] }) == nil
}

func (w *testEnv) Owner(string) (cluster.Owner, bool) { return cluster.Owner{}, false }

func (w *testEnv) CheckOwned(string) error {
	return w.refuse(verdict.CodeNoOwner, func() bool { return len(w.owned) == 0 })
}

func (w *testEnv) Owned() ([]cluster.OwnedService, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.owned), w.changed
}

func (w *testEnv) Current() *config.Document { return w.document }

var lastID atomic.Int64

func newCall(timeout time.Duration) backend.Call {
	id := fmt.Sprint("call", lastID.Add(1))
	return backend.Call{ID: id, Service: "svc", Snapshot: "s1", Timeout: timeout, Attempt: &verdict.Attempt{}}
}

func (w *testEnv) mustAcquire() leaf.Slot {
	slot, err := w.acquire(w.t.Context())
	qt.Assert(w.t, err, qt.IsNil)
	return slot
}

func (w *testEnv) acquire(ctx context.Context) (leaf.Slot, error) {
	return w.set.Acquire(ctx, leaf.SlotRequest{Service: "svc", Snapshot: "s1", Deadline: time.Now().Add(3 * time.Second)})
}

// load sends calls from n callers without a pause until stop is set. Calls are given up after the times in turn.
func (w *testEnv) load(n int, stop *atomic.Bool, giveUp [3]time.Duration) *sync.WaitGroup {
	var callers sync.WaitGroup
	for range n {
		callers.Go(func() {
			for i := 0; !stop.Load(); i++ {
				w.call(giveUp[i%len(giveUp)])
			}
		})
	}
	return &callers
}

func (w *testEnv) call(giveUp time.Duration) {
	slot, err := w.acquire(context.Background())
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cmp.Or(giveUp, time.Hour))
	defer stop()
	if _, err := slot.Do(ctx, newCall(callTimeout)); err != nil && verdict.Of(err).IsNotRun() {
		time.Sleep(time.Millisecond)
	}
}

func (w *testEnv) stop() { qt.Check(w.t, w.set.Stop(context.Background()), qt.IsNil) }
