package leafset

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

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
	oneWay    = 2 * time.Millisecond
	serveTime = 10 * time.Millisecond
	// stepAnswers is the number of answers after which a ramping leaf may get one more call.
	stepAnswers = 8
)

// fakeLeaf is a leaf that notes every call beyond what its ramp allows, counted from its own answers.
type fakeLeaf struct {
	vm platform.VM

	mu        sync.Mutex
	boot      int
	running   map[*fakeCall]bool
	sessions  []*fakeSession
	answers   int       // since the last session or boot identifier
	unknownTo time.Time // until then the owner may not know of the present boot identifier
	dials     int
	draining  bool
	refuse    bool
	stopTime  time.Duration // between a cancellation and the end of the call
	work      time.Duration // of one call
	sendDelay time.Duration // between the session's Do and the send
	arrived   int
	most      int
	overload  []string
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

func (l *fakeLeaf) times() (work, stop time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.work, l.stopTime
}

func (l *fakeLeaf) limit() int { return min(3, 1+l.answers/stepAnswers) }

func (l *fakeLeaf) bootID() string { return fmt.Sprint(l.vm.ID, "/", l.boot) }

func (l *fakeLeaf) arrive(c *fakeCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived++
	if l.refuse {
		return false
	}
	l.running[c] = true
	l.most = max(l.most, len(l.running))
	if n := len(l.running); n > l.limit() && time.Now().After(l.unknownTo) {
		l.overload = append(l.overload, fmt.Sprintf("%s runs %d at limit %d", c.id, n, l.limit()))
	}
	return true
}

func (l *fakeLeaf) leave(c *fakeCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, c)
	l.answers++
}

// turnCold changes the boot identifier while sessions and calls go on.
func (l *fakeLeaf) turnCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.boot++
	l.answers = 0
	l.unknownTo = time.Now().Add(serveTime + 2*oneWay)
}

// drop ends all sessions. A restart also ends all calls and changes the boot identifier.
func (l *fakeLeaf) drop(restart bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if restart {
		l.boot++
		l.running = map[*fakeCall]bool{}
	}
	for _, s := range l.sessions {
		s.lose()
	}
	l.sessions = nil
}

func (l *fakeLeaf) counts() (arrived, dials, most int, overload []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrived, l.dials, l.most, slices.Clone(l.overload)
}

type fakeSession struct {
	leaf *fakeLeaf
	done chan struct{}
	once sync.Once
}

func (s *fakeSession) lose()                 { s.once.Do(func() { close(s.done) }) }
func (s *fakeSession) Done() <-chan struct{} { return s.done }
func (s *fakeSession) Close() error          { s.lose(); return nil }

func (s *fakeSession) Status(ctx context.Context) (backend.Status, error) {
	time.Sleep(2 * oneWay)
	s.leaf.mu.Lock()
	defer s.leaf.mu.Unlock()
	return backend.Status{
		BootID: s.leaf.bootID(), Draining: s.leaf.draining,
		Snapshots: []backend.SnapshotInfo{{ID: "s1", Sequence: 1, ShardCount: 1, Shards: []uint32{0}}},
	}, ctx.Err()
}

func (s *fakeSession) Do(ctx context.Context, call backend.Call) (backend.Reply, error) {
	select {
	case <-s.done:
		return backend.Reply{}, backend.ErrSessionLost
	default:
	}
	s.leaf.mu.Lock()
	delay := s.leaf.sendDelay
	s.leaf.mu.Unlock()
	time.Sleep(delay)
	call.Attempt.Begin()
	c := &fakeCall{id: call.ID, stop: make(chan struct{})}
	ended := make(chan error, 1)
	go s.run(c, call, ended)
	cancelled := ctx.Done()
	for {
		select {
		case <-s.done:
			return backend.Reply{}, backend.ErrSessionLost
		case <-cancelled:
			cancelled = nil
			time.AfterFunc(oneWay, func() { close(c.stop) })
		case err := <-ended:
			if errors.Is(err, backend.ErrRefused) {
				call.Attempt.Refused()
			}
			if err != nil {
				return backend.Reply{}, err
			}
			call.Attempt.Answered()
			s.leaf.mu.Lock()
			defer s.leaf.mu.Unlock()
			return backend.Reply{ID: call.ID, Snapshot: call.Snapshot, Shard: call.Shard, BootID: s.leaf.bootID()}, nil
		}
	}
}

// run is the leaf's part of a call; it goes on when the session is lost.
func (s *fakeSession) run(c *fakeCall, call backend.Call, ended chan<- error) {
	time.Sleep(oneWay)
	if !s.leaf.arrive(c) {
		time.Sleep(oneWay)
		ended <- backend.ErrRefused
		return
	}
	var err error
	work, stopTime := s.leaf.times()
	select {
	case <-time.After(work):
	case <-time.After(call.Timeout):
		err = backend.ErrStopped
	case <-c.stop:
		time.Sleep(stopTime)
		err = backend.ErrStopped
	}
	s.leaf.leave(c)
	time.Sleep(oneWay)
	ended <- err
}

// world is the surroundings of a Set: leaves, membership, ownership and configuration.
type world struct {
	t      *testing.T
	leaves []*fakeLeaf
	set    *Set
	events []event.Kind

	mu       sync.Mutex
	owned    []cluster.OwnedService
	out      map[string]bool
	stale    bool
	changed  chan struct{}
	document *config.Document
}

func newWorld(t *testing.T, leaves int) *world {
	w := &world{
		t: t, out: map[string]bool{}, changed: make(chan struct{}),
		owned:    []cluster.OwnedService{{Service: "svc"}},
		document: &config.Document{Services: map[string]config.Service{"svc": {Slots: 3, ColdSlots: 1, Connections: 30}}},
	}
	for i := range leaves {
		id := fmt.Sprint("leaf", i)
		w.leaves = append(w.leaves, &fakeLeaf{
			vm: platform.VM{ID: id, Address: id, Service: "svc"}, running: map[*fakeCall]bool{}, work: serveTime,
		})
	}
	w.set = New(Deps{Dialer: w, Membership: w, Ownership: w, Config: w, Recorder: w, Scope: tally.NoopScope})
	if err := w.set.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return w
}

// quietly applies a change to the surroundings that is not announced.
func (w *world) quietly(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// change applies a change to the surroundings and announces it.
func (w *world) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

func (w *world) Dial(_ context.Context, address string) (backend.Session, error) {
	time.Sleep(2 * oneWay)
	for _, l := range w.leaves {
		if l.vm.Address == address {
			l.mu.Lock()
			defer l.mu.Unlock()
			s := &fakeSession{leaf: l, done: make(chan struct{})}
			l.sessions = append(l.sessions, s)
			l.dials++
			l.answers = 0
			return s, nil
		}
	}
	return nil, errors.New("no such leaf")
}

func (w *world) Self() platform.VM         { return platform.VM{ID: "node", Zone: "z1"} }
func (w *world) Members() []cluster.Member { return nil }

func (w *world) Leaves(string) []platform.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	var vms []platform.VM
	for _, l := range w.leaves {
		if !w.out[l.vm.ID] {
			vms = append(vms, l.vm)
		}
	}
	return vms
}

func (w *world) CheckFresh() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stale {
		return verdict.Refusef(verdict.CodeStale, "stale")
	}
	return nil
}

func (w *world) LeafAllowed(vm platform.VM) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.out[vm.ID]
}

func (w *world) Owner(string) (cluster.Owner, bool) { return cluster.Owner{}, false }

func (w *world) CheckOwned(string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.owned) == 0 {
		return verdict.Refusef(verdict.CodeNoOwner, "not owned")
	}
	return nil
}

func (w *world) Owned() ([]cluster.OwnedService, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.owned), w.changed
}

func (w *world) Current() *config.Document { return w.document }

func (w *world) Record(e event.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e.Kind)
}

var lastID struct {
	sync.Mutex
	n int
}

func newCall(timeout time.Duration) backend.Call {
	lastID.Lock()
	defer lastID.Unlock()
	lastID.n++
	return backend.Call{
		ID: fmt.Sprint("call", lastID.n), Service: "svc", Snapshot: "s1", Timeout: timeout, Attempt: &verdict.Attempt{},
	}
}

func (w *world) acquire(ctx context.Context) (leaf.Slot, error) {
	return w.set.Acquire(ctx, leaf.Need{Service: "svc", Snapshot: "s1", Deadline: time.Now().Add(3 * time.Second)})
}

// load sends calls from n callers without a pause until stop is closed. Cancel returns the time after which a caller
// gives a call up, 0 for never.
func (w *world) load(n int, stop <-chan struct{}, cancel func(i int) time.Duration) *sync.WaitGroup {
	var callers sync.WaitGroup
	for range n {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				w.call(cancel(i))
			}
		})
	}
	return &callers
}

func (w *world) call(giveUp time.Duration) {
	slot, err := w.acquire(context.Background())
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if giveUp > 0 {
		timer := time.AfterFunc(giveUp, stop)
		defer timer.Stop()
	}
	call := newCall(200 * time.Millisecond)
	if _, err := slot.Do(ctx, call); err != nil && verdict.Of(err).IsNotRun() {
		time.Sleep(time.Millisecond)
	}
}

func (w *world) stop() {
	if err := w.set.Stop(context.Background()); err != nil {
		w.t.Error(err)
	}
}
