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

// Outcome is the state of a call in the log.
type Outcome string

// The outcomes of calls. Running is the outcome until a call ends.
const (
	Running Outcome = "running"
	Done    Outcome = "done"
	Stopped Outcome = "stopped"
	Crashed Outcome = "crashed"
)

// Execution is the log entry of a call that the leaf started.
type Execution struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Payload  []byte `json:"payload"`
	Shard    uint32 `json:"shard"`
	Snapshot string `json:"snapshot"`
	BootID   string `json:"boot_id"`
	// Timeout is the time limit that the call set.
	Timeout config.Duration `json:"timeout"`
	Start   time.Time       `json:"start"`
	// End is the zero time while the call is running.
	End     time.Time `json:"end"`
	Outcome Outcome   `json:"outcome"`
	// Concurrent is the number of running calls right after this one started, including this one.
	Concurrent int  `json:"concurrent"`
	Cold       bool `json:"cold"`
	// Covered is the share of the shard that was searched. It is set only if Outcome is Done.
	Covered float64 `json:"covered"`
}

// Counters holds the counts since the leaf's process started.
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
	// OverloadedCold and OverloadedWarm count the calls that exceeded the limits ColdSlots and Slots.
	OverloadedCold int `json:"overloaded_cold"`
	OverloadedWarm int `json:"overloaded_warm"`
	// Duplicates counts the calls with an identifier that the leaf had already run.
	Duplicates int `json:"duplicates"`
}

// errDown means that the leaf has crashed and has not restarted yet.
var errDown = errors.New("leaf is down")

// Request is a call that the leaf receives.
type Request struct {
	ID       string
	Service  string
	Snapshot string
	Shard    uint32
	Payload  []byte
	Timeout  time.Duration
}

// Answer is the leaf's answer to a call.
type Answer struct {
	ID       string
	Snapshot string
	Shard    uint32
	BootID   string
	Data     []byte
	Covered  float64
	// Err is nil or wraps one of the errors of package backend.
	Err error
}

// Leaf is a stand-in for one backend server. It is safe for concurrent use.
type Leaf struct {
	mu        sync.Mutex
	config    Config
	faults    Faults
	counters  Counters
	random    *rand.Rand
	log       []Execution
	loggedIDs map[string]bool // identifiers of the calls in the log
	onLog     func(Execution)
	// The fields from here to statusAt belong to the current boot.
	bootCount  int
	started    time.Time
	completed  int
	running    map[string]*runningCall
	cancelled  map[string]bool // identifiers of calls that were cancelled before they arrived
	crashed    chan struct{}   // closed when the leaf crashes
	down       bool
	status     backend.Status
	statusAt   time.Time
	swapOffers chan swapOffer
	crashHooks []func(down bool)
}

// maxCancelled limits the cancellations that are kept for calls that have not arrived.
const maxCancelled = 4096

// maxSwapWait limits how long an answer waits for a second one to be swapped with.
const maxSwapWait = 500 * time.Millisecond

type runningCall struct {
	cancel chan struct{} // closed when the call is cancelled
	ended  chan struct{} // closed when the call has ended
	once   sync.Once
}

type swapOffer struct {
	answer Answer
	reply  chan Answer
}

// New returns a cold leaf.
func New(c Config) *Leaf {
	l := &Leaf{config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), swapOffers: make(chan swapOffer), loggedIDs: map[string]bool{}}
	l.startBoot()
	return l
}

// startBoot starts a new boot: the leaf is cold and has a new boot identifier.
func (l *Leaf) startBoot() {
	l.bootCount++
	l.started, l.completed, l.down = time.Now(), 0, false
	l.running, l.cancelled = map[string]*runningCall{}, map[string]bool{}
	l.crashed = make(chan struct{})
	l.statusAt = time.Time{}
}

// bootID returns an identifier that is unique across boots and processes.
func (l *Leaf) bootID() string {
	return fmt.Sprintf("%s-%d-%d", l.config.VM, l.started.UnixNano(), l.bootCount)
}

// BootID returns the identifier of the current boot.
func (l *Leaf) BootID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bootID()
}

// Config returns the leaf's configuration.
func (l *Leaf) Config() Config {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.config
}

// Faults returns the current faults.
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

// SetSnapshots replaces the snapshots that the leaf holds. Running calls continue.
func (l *Leaf) SetSnapshots(snapshots []backend.SnapshotInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config.Snapshots = snapshots
}

// Counters returns the current counts.
func (l *Leaf) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// Log returns all calls that the leaf started, in the order of their start.
func (l *Leaf) Log() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.log)
}

// Cold reports whether the leaf is still cold.
func (l *Leaf) Cold() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold()
}

func (l *Leaf) cold() bool {
	return l.completed < l.config.ColdCalls || time.Since(l.started) < time.Duration(l.config.ColdTime)
}

// Status returns the leaf's status. It may be as old as Faults.StatusLag.
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

// Cancel stops a call and returns when it has ended. A call that has not arrived yet will be refused.
func (l *Leaf) Cancel(ctx context.Context, id string) error {
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		return errDown
	}
	l.counters.Cancels++
	call, crashed := l.running[id], l.crashed
	if call == nil && !l.loggedIDs[id] && len(l.cancelled) < maxCancelled {
		l.cancelled[id] = true
	}
	l.mu.Unlock()
	if call == nil {
		return nil
	}
	call.once.Do(func() { close(call.cancel) })
	select {
	case <-call.ended:
		return nil
	case <-crashed:
		return errDown
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run executes a call and returns its answer. It returns an error if the leaf is down or crashes during the call.
func (l *Leaf) Run(request Request) (Answer, error) {
	index, call, crashed, answer, err := l.start(request)
	if err != nil || call == nil {
		return answer, err
	}
	serviceTimer := time.NewTimer(l.serviceTime())
	defer serviceTimer.Stop()
	timeout := time.NewTimer(request.Timeout)
	defer timeout.Stop()
	outcome := Done
	select {
	case <-serviceTimer.C:
	case <-timeout.C:
		outcome = Stopped
	case <-call.cancel:
		outcome = Stopped
	case <-crashed:
		return Answer{}, errDown
	}
	if hasCrashPrefix(l.Faults().CrashPrefix, request.Payload) && outcome == Done {
		l.Crash()
		return Answer{}, errDown
	}
	execution, ok := l.finish(index, call, crashed, outcome)
	if !ok {
		return Answer{}, errDown
	}
	return l.deliver(answerOf(execution), crashed)
}

// start admits a call and returns its index in the log. If the returned call is nil, the answer is final.
func (l *Leaf) start(request Request) (int, *runningCall, chan struct{}, Answer, error) {
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
	call := &runningCall{cancel: make(chan struct{}), ended: make(chan struct{})}
	l.countStart(request.ID, cold)
	l.running[request.ID] = call
	l.log = append(l.log, Execution{ID: request.ID, Service: request.Service, Payload: request.Payload, Shard: request.Shard,
		Snapshot: request.Snapshot, BootID: l.bootID(), Timeout: config.Duration(request.Timeout), Start: time.Now(), Outcome: Running, Concurrent: len(l.running), Cold: cold})
	index := len(l.log) - 1
	l.notifyLog(index)
	if l.overloaded(cold) && l.config.CrashOnOverload {
		l.crashLocked()
		return 0, nil, nil, Answer{}, errDown
	}
	return index, call, l.crashed, answer, nil
}

// refusal returns the reason not to run the call, or nil.
func (l *Leaf) refusal(request Request) error {
	if l.cancelled[request.ID] {
		delete(l.cancelled, request.ID)
		l.counters.Refused++
		return fmt.Errorf("%w: cancelled before it started", backend.ErrRefused)
	}
	if l.faults.Refuse {
		l.counters.Refused++
		return fmt.Errorf("%w: load shedding", backend.ErrRefused)
	}
	if l.running[request.ID] != nil {
		l.counters.Refused++
		return fmt.Errorf("%w: a call with this ID is already running", backend.ErrRefused)
	}
	for _, s := range l.config.Snapshots {
		if s.ID == request.Snapshot && slices.Contains(s.Shards, request.Shard) {
			return nil
		}
	}
	l.counters.SnapshotGone++
	return fmt.Errorf("%w: snapshot %q, shard %d", backend.ErrSnapshotGone, request.Snapshot, request.Shard)
}

// countStart updates the counters for a call that is about to start.
func (l *Leaf) countStart(id string, cold bool) {
	l.counters.Started++
	if l.loggedIDs[id] {
		l.counters.Duplicates++
	}
	l.loggedIDs[id] = true
	highest := &l.counters.HighestWarm
	if cold {
		highest = &l.counters.HighestCold
	}
	*highest = max(*highest, len(l.running)+1)
}

// overloaded reports whether more calls are running than the leaf has slots, and counts the overload.
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

// serviceTime returns a random service time for a call.
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

// finish records the end of a call. It returns false if the leaf crashed first.
func (l *Leaf) finish(index int, call *runningCall, crashed chan struct{}, outcome Outcome) (Execution, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashed != crashed || l.down {
		return Execution{}, false
	}
	execution := &l.log[index]
	execution.End, execution.Outcome = time.Now(), outcome
	if outcome == Done {
		execution.Covered = l.covered(execution.Shard)
	}
	l.notifyLog(index)
	delete(l.running, execution.ID)
	close(call.ended)
	if outcome == Done {
		l.completed++
		l.counters.Completed++
	} else {
		l.counters.Stopped++
	}
	return *execution, true
}

// covered returns the share of a shard that the leaf searches, from 0 to 1.
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

// deliver returns the answer after applying the faults AnswerDelay and Swap.
func (l *Leaf) deliver(a Answer, crashed chan struct{}) (Answer, error) {
	if delay := time.Duration(l.Faults().AnswerDelay); delay > 0 {
		select {
		case <-time.After(delay):
		case <-crashed:
			return Answer{}, errDown
		}
	}
	if !l.consumeSwap() {
		return a, nil
	}
	offer := swapOffer{answer: a, reply: make(chan Answer, 1)}
	select {
	case l.swapOffers <- offer:
		return <-offer.reply, nil
	case other := <-l.swapOffers:
		other.reply <- a
		return other.answer, nil
	case <-time.After(maxSwapWait):
		return a, nil
	case <-crashed:
		return Answer{}, errDown
	}
}

// consumeSwap reports whether to swap this answer with another one. If so, it decrements Faults.Swap.
func (l *Leaf) consumeSwap() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Swap <= 0 {
		return false
	}
	l.faults.Swap--
	return true
}

// Crash ends the current boot and all connections. The leaf restarts cold after Config.RestartAfter.
func (l *Leaf) Crash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashLocked()
}

func (l *Leaf) crashLocked() {
	if l.down {
		return
	}
	l.down = true
	l.counters.Crashes++
	for i := range l.log {
		if l.log[i].Outcome == Running {
			l.log[i].Outcome, l.log[i].End = Crashed, time.Now()
			l.notifyLog(i)
		}
	}
	close(l.crashed)
	hooks := slices.Clone(l.crashHooks)
	go func() {
		for _, hook := range hooks {
			hook(true)
		}
		time.Sleep(time.Duration(l.Config().RestartAfter))
		l.mu.Lock()
		l.startBoot()
		l.mu.Unlock()
		for _, hook := range hooks {
			hook(false)
		}
	}()
}

// notifyLog passes a log entry to the function set by OnLog.
func (l *Leaf) notifyLog(index int) {
	if l.onLog != nil {
		l.onLog(l.log[index])
	}
}

// OnLog sets a function that receives each log entry when its call starts and again when it ends. It must be called
// before the leaf is used.
func (l *Leaf) OnLog(f func(Execution)) { l.onLog = f }
