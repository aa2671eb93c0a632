package leaf

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/config"
)

// Outcome tells how a call ended on the leaf.
type Outcome string

// The outcomes of calls in the log.
const (
	Running Outcome = "running"
	Done    Outcome = "done"
	Stopped Outcome = "stopped"
	Crashed Outcome = "crashed"
)

// Execution is a call that the leaf began to run.
type Execution struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Payload  []byte `json:"payload"`
	Shard    uint32 `json:"shard"`
	Snapshot string `json:"snapshot"`
	BootID   string `json:"boot_id"`
	// Timeout is what the call allowed the leaf to spend.
	Timeout config.Duration `json:"timeout"`
	Start   time.Time       `json:"start"`
	// End is zero while the call runs.
	End     time.Time `json:"end"`
	Outcome Outcome   `json:"outcome"`
	// Concurrent is the number of calls that ran after the start of this one, itself included.
	Concurrent int  `json:"concurrent"`
	Cold       bool `json:"cold"`
	// Covered is the share of the shard that was searched, if the call is done.
	Covered float64 `json:"covered"`
}

// Counters counts what the leaf saw since its process started.
type Counters struct {
	Started      int `json:"started"`
	Completed    int `json:"completed"`
	Stopped      int `json:"stopped"`
	Refused      int `json:"refused"`
	SnapshotGone int `json:"gone"`
	Cancels      int `json:"cancels"`
	Statuses     int `json:"statuses"`
	Crashes      int `json:"crashes"`
	HighestCold  int `json:"highest_cold"`
	HighestWarm  int `json:"highest_warm"`
	// OverloadedCold and OverloadedWarm count the calls that came on top of what the leaf bears.
	OverloadedCold int `json:"overloaded_cold"`
	OverloadedWarm int `json:"overloaded_warm"`
	// Duplicates counts calls with an identifier that the leaf has run before.
	Duplicates int `json:"duplicates"`
}

// errDown says that the leaf does not run at present.
var errDown = errors.New("leaf is down")

// Request is a call as the leaf receives it.
type Request struct {
	ID       string
	Service  string
	Snapshot string
	Shard    uint32
	Payload  []byte
	Timeout  time.Duration
}

// Answer is what the leaf sends back.
type Answer struct {
	ID       string
	Snapshot string
	Shard    uint32
	BootID   string
	Data     []byte
	Covered  float64
	// Err is nil or wraps one of the port's errors.
	Err error
}

// Leaf is one stand-in backend server. It is safe for concurrent use.
type Leaf struct {
	mu       sync.Mutex
	config   Config
	faults   Faults
	counters Counters
	random   *rand.Rand
	log      []Execution
	seen     map[string]bool // identifiers in the log
	onLog    func(Execution)
	// The fields below are those of the present life of the leaf.
	boot      int
	started   time.Time
	completed int
	running   map[string]*running
	cancelled map[string]bool // calls that were cancelled before they arrived
	crash     chan struct{}   // closed when the leaf crashes
	down      bool
	status    backend.Status
	statusAt  time.Time
	swap      chan swapped
	onCrash   []func(down bool)
}

// maxCancelled bounds the cancellations kept for calls that have not arrived.
const maxCancelled = 4096

// swapWait bounds how long an answer waits for one to be exchanged with.
const swapWait = 500 * time.Millisecond

type running struct {
	cancel chan struct{} // closed by a cancellation
	ended  chan struct{} // closed when the call no longer runs
	once   sync.Once
}

type swapped struct {
	answer Answer
	back   chan Answer
}

// New returns a cold leaf.
func New(c Config) *Leaf {
	l := &Leaf{config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), swap: make(chan swapped), seen: map[string]bool{}}
	l.begin()
	return l
}

// begin starts a life of the leaf: cold, with a new boot identifier.
func (l *Leaf) begin() {
	l.boot++
	l.started, l.completed, l.down = time.Now(), 0, false
	l.running, l.cancelled = map[string]*running{}, map[string]bool{}
	l.crash = make(chan struct{})
	l.statusAt = time.Time{}
}

// bootID is unique over lives and processes.
func (l *Leaf) bootID() string {
	return fmt.Sprintf("%s-%d-%d", l.config.VM, l.started.UnixNano(), l.boot)
}

// BootID returns the identifier of the present life.
func (l *Leaf) BootID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bootID()
}

// Config returns the leaf's nature.
func (l *Leaf) Config() Config {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.config
}

// Faults returns the present faults.
func (l *Leaf) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Update changes the faults.
func (l *Leaf) Update(change func(*Faults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
}

// SetSnapshots replaces the snapshots that the leaf holds; calls under way go on.
func (l *Leaf) SetSnapshots(snapshots []backend.SnapshotInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config.Snapshots = snapshots
}

// Counters returns the counts so far.
func (l *Leaf) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// Log returns everything that the leaf began to run, in order of the starts.
func (l *Leaf) Log() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.log)
}

// Cold reports whether the leaf is in cold start.
func (l *Leaf) Cold() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold()
}

func (l *Leaf) cold() bool {
	return l.completed < l.config.ColdCalls || time.Since(l.started) < time.Duration(l.config.ColdTime)
}

// Status returns the leaf's report, which may lag.
func (l *Leaf) Status() (backend.Status, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return backend.Status{}, errDown
	}
	l.counters.Statuses++
	if l.statusAt.IsZero() || time.Since(l.statusAt) >= time.Duration(l.faults.StatusLag) {
		l.status = backend.Status{BootID: l.bootID(), Snapshots: slices.Clone(l.config.Snapshots),
			InFlight: uint32(len(l.running)), Draining: l.faults.Draining}
		l.statusAt = time.Now()
	}
	return l.status, nil
}

// Cancel stops a call and returns when it no longer runs. A call that has not arrived yet will not run.
func (l *Leaf) Cancel(ctx context.Context, id string) error {
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		return errDown
	}
	l.counters.Cancels++
	r, crash := l.running[id], l.crash
	if r == nil && !l.seen[id] && len(l.cancelled) < maxCancelled {
		l.cancelled[id] = true
	}
	l.mu.Unlock()
	if r == nil {
		return nil
	}
	r.once.Do(func() { close(r.cancel) })
	select {
	case <-r.ended:
		return nil
	case <-crash:
		return errDown
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run executes a call and returns its answer; the error is not nil if the leaf crashed meanwhile.
func (l *Leaf) Run(request Request) (Answer, error) {
	entry, r, crash, answer, err := l.start(request)
	if err != nil || r == nil {
		return answer, err
	}
	timer := time.NewTimer(l.serviceTime())
	defer timer.Stop()
	timeout := time.NewTimer(request.Timeout)
	defer timeout.Stop()
	outcome := Done
	select {
	case <-timer.C:
	case <-timeout.C:
		outcome = Stopped
	case <-r.cancel:
		outcome = Stopped
	case <-crash:
		return Answer{}, errDown
	}
	if crashes(l.Faults().CrashPrefix, request.Payload) && outcome == Done {
		l.Crash()
		return Answer{}, errDown
	}
	e, ok := l.finish(entry, r, crash, outcome)
	if !ok {
		return Answer{}, errDown
	}
	return l.deliver(answerOf(e), crash)
}

// start admits a call. A nil running means that it is answered at once.
func (l *Leaf) start(request Request) (int, *running, chan struct{}, Answer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, nil, nil, Answer{}, errDown
	}
	answer := Answer{ID: request.ID, Snapshot: request.Snapshot, Shard: request.Shard, BootID: l.bootID()}
	if answer.Err = l.refusal(request); answer.Err != nil {
		return 0, nil, nil, answer, nil
	}
	cold := l.cold()
	r := &running{cancel: make(chan struct{}), ended: make(chan struct{})}
	l.count(request.ID, cold)
	l.running[request.ID] = r
	l.log = append(l.log, Execution{ID: request.ID, Service: request.Service, Payload: request.Payload, Shard: request.Shard,
		Snapshot: request.Snapshot, BootID: l.bootID(), Timeout: config.Duration(request.Timeout), Start: time.Now(), Outcome: Running, Concurrent: len(l.running), Cold: cold})
	entry := len(l.log) - 1
	l.note(entry)
	if l.overloaded(cold) && l.config.CrashOnOverload {
		l.fall()
		return 0, nil, nil, Answer{}, errDown
	}
	return entry, r, l.crash, answer, nil
}

// refusal returns why the call does not run, or nil.
func (l *Leaf) refusal(request Request) error {
	if l.cancelled[request.ID] {
		delete(l.cancelled, request.ID)
		l.counters.Refused++
		return fmt.Errorf("%w: cancelled before it began", backend.ErrRefused)
	}
	if l.faults.Refuse {
		l.counters.Refused++
		return fmt.Errorf("%w: load shedding", backend.ErrRefused)
	}
	if l.running[request.ID] != nil {
		l.counters.Refused++
		return fmt.Errorf("%w: a call with this identifier runs", backend.ErrRefused)
	}
	for _, s := range l.config.Snapshots {
		if s.ID == request.Snapshot && slices.Contains(s.Shards, request.Shard) {
			return nil
		}
	}
	l.counters.SnapshotGone++
	return fmt.Errorf("%w: snapshot %q, shard %d", backend.ErrSnapshotGone, request.Snapshot, request.Shard)
}

// count updates the counters for a call that is about to join the running ones.
func (l *Leaf) count(id string, cold bool) {
	l.counters.Started++
	if l.seen[id] {
		l.counters.Duplicates++
	}
	l.seen[id] = true
	highest := &l.counters.HighestWarm
	if cold {
		highest = &l.counters.HighestCold
	}
	*highest = max(*highest, len(l.running)+1)
}

// overloaded counts and reports whether more calls run than the leaf bears.
func (l *Leaf) overloaded(cold bool) bool {
	switch {
	case cold && len(l.running) > l.config.ColdSlots:
		l.counters.OverloadedCold++
		return true
	case !cold && len(l.running) > l.config.Slots:
		l.counters.OverloadedWarm++
		return true
	}
	return false
}

// serviceTime draws the time that a call takes.
func (l *Leaf) serviceTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	tail, straggles := l.random.ExpFloat64(), l.random.Float64() < l.config.StragglerShare
	if straggles {
		return time.Duration(l.config.StragglerLatency)
	}
	t := float64(l.config.Latency) * (1 + tail)
	if l.cold() && l.config.ColdFactor > 0 {
		t *= l.config.ColdFactor
	}
	return time.Duration(t)
}

// finish notes the end of a call; it reports false if the leaf crashed first.
func (l *Leaf) finish(entry int, r *running, crash chan struct{}, outcome Outcome) (Execution, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crash != crash || l.down {
		return Execution{}, false
	}
	e := &l.log[entry]
	e.End, e.Outcome = time.Now(), outcome
	if outcome == Done {
		e.Covered = l.covered(e.Shard)
	}
	l.note(entry)
	delete(l.running, e.ID)
	close(r.ended)
	if outcome == Done {
		l.completed++
		l.counters.Completed++
	} else {
		l.counters.Stopped++
	}
	return *e, true
}

// covered returns the share of a shard that the leaf searches.
func (l *Leaf) covered(shard uint32) float64 {
	if share, ok := l.faults.Partial[shard]; ok {
		return share
	}
	return 1
}

// answerOf returns the answer to a call that has ended.
func answerOf(e Execution) Answer {
	a := Answer{ID: e.ID, Snapshot: e.Snapshot, Shard: e.Shard, BootID: e.BootID}
	if e.Outcome == Stopped {
		a.Err = backend.ErrStopped
		return a
	}
	a.Covered, a.Data = e.Covered, Data(e.Service, e.Snapshot, e.Shard, e.Payload)
	return a
}

// deliver applies the faults on the way back.
func (l *Leaf) deliver(a Answer, crash chan struct{}) (Answer, error) {
	if delay := time.Duration(l.Faults().AnswerDelay); delay > 0 {
		select {
		case <-time.After(delay):
		case <-crash:
			return Answer{}, errDown
		}
	}
	if !l.takeSwap() {
		return a, nil
	}
	mine := swapped{answer: a, back: make(chan Answer, 1)}
	select {
	case l.swap <- mine:
		return <-mine.back, nil
	case other := <-l.swap:
		other.back <- a
		return other.answer, nil
	case <-time.After(swapWait):
		return a, nil
	case <-crash:
		return Answer{}, errDown
	}
}

// takeSwap reports whether the answer of this call is to be exchanged.
func (l *Leaf) takeSwap() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Swap <= 0 {
		return false
	}
	l.faults.Swap--
	return true
}

// Crash ends the present life: all connections break and the leaf is back, cold, after the configured time.
func (l *Leaf) Crash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fall()
}

func (l *Leaf) fall() {
	if l.down {
		return
	}
	l.down = true
	l.counters.Crashes++
	for i := range l.log {
		if l.log[i].Outcome == Running {
			l.log[i].Outcome, l.log[i].End = Crashed, time.Now()
			l.note(i)
		}
	}
	close(l.crash)
	hooks := slices.Clone(l.onCrash)
	go func() {
		for _, hook := range hooks {
			hook(true)
		}
		time.Sleep(time.Duration(l.Config().RestartAfter))
		l.mu.Lock()
		l.begin()
		l.mu.Unlock()
		for _, hook := range hooks {
			hook(false)
		}
	}()
}

// note hands an entry of the log to the observer.
func (l *Leaf) note(entry int) {
	if l.onLog != nil {
		l.onLog(l.log[entry])
	}
}

// OnLog sets a function that gets each entry of the log at its start and at its end. It must be set before first use.
func (l *Leaf) OnLog(f func(Execution)) { l.onLog = f }
