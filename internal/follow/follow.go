// Package follow keeps this node's view of the platform's registry up to date. One node at a time does linearizable
// reads of the registry and sends the changes to the other nodes as notices. The number of calls to the registry
// therefore depends neither on the number of nodes nor on the number of changes. Every other node reads the registry
// itself when no notice has confirmed its view in time.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
	"cyclamenstream/internal/decision"
	"cyclamenstream/internal/guard"
)

// Config holds the identity of this node and the follower's timing.
type Config struct {
	// Self is the name of this node's VM. Address is where it listens for its peers. Capacity is its processor time in
	// cores.
	Self     string
	Address  string
	Capacity float64
	// Interval is the time between the reads of the node that reads on behalf of all nodes.
	Interval time.Duration
	// OutageGrace is how long entries may be missing after an outage of the registry before they count as removed.
	OutageGrace time.Duration
	// RestoreGrace is how long a registry that was restored from a copy may lack what operators and leaves have written
	// since the copy, and list what has left since.
	RestoreGrace time.Duration
	// Guard keeps an unexpected error in what others have sent from ending the process.
	Guard guard.Guard
}

const (
	// callTimeout bounds a read. The registry answers in milliseconds.
	callTimeout = time.Second
	// minRetryDelay is the delay after the first failed read. It doubles up to maxRetryDelay, or up to the node's
	// maximum age if that is longer and the node can serve.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// Each rank waits longer than the one before it until it reads the registry itself. The extra wait is rankStep
	// intervals per rank up to firstRanks, and lateRankStep intervals per rank above. maxRankWait bounds the sum, and
	// thus the age of the state that a node acts on.
	rankStep     = 0.35
	firstRanks   = 3
	lateRankStep = 0.03
	maxRankWait  = 1.5
	// minReadInterval is the shortest time between two reads that are caused by notices of unknown changes.
	minReadInterval = 250 * time.Millisecond
	// notifyRanks is the number of ranks, from the first on, that send notices of what they have read.
	notifyRanks = 12
	// notifyAfterGone is how long a node still gets notices after its entry has disappeared. It may still serve callers
	// although the registry refuses it or has dropped its entry.
	notifyAfterGone = 30 * time.Second
	// maxPause is how long the process may be paused without its state being treated as unconfirmed. Notices queued
	// during a longer pause may be out of date.
	maxPause     = 700 * time.Millisecond
	tickInterval = 50 * time.Millisecond
)

// Follower keeps a copy of the registry's state.
type Follower struct {
	registry registry.Registry
	peers    cluster.Peers
	views    cluster.Views
	config   Config
	log      *decision.Log
	skipped  tally.Gauge
	age      tally.Histogram
	onChange func(registry.State)
	// wallClock is replaced by tests of suspended VMs.
	wallClock func() time.Time

	mu       sync.Mutex
	state    registry.State
	hasState bool
	// confirmed is the latest time at which the state is certain to have been the newest; zero if none is certain.
	confirmed time.Time

	// Only the goroutine of Run writes the fields above and uses the fields below.

	// invalidRollouts are those of the latest read, which have been logged.
	invalidRollouts []string

	nextRead   time.Time // earliest time of the next read
	retryDelay time.Duration
	// failing is set if this node's last read failed. The failures began at firstFailure, and the latest one was at
	// lastFailure. outage is set if no node is known to have read the registry since firstFailure.
	failing, outage           bool
	firstFailure, lastFailure time.Time
	// viewRequests counts the requests for views, so that each goes to another node. The next one is due at
	// nextViewRequest.
	viewRequests    int
	nextViewRequest time.Time
	// outageEnd is when the last outage ended. restoredAt is when this node learned that the registry was restored from
	// a copy. rereadAt is when the state ceases to differ from what the registry contains, or zero if it does not differ.
	outageEnd, restoredAt, rereadAt time.Time
	// behind is set if the state is known to be out of date, or may be because the process was paused.
	behind bool
	// rereadUnlisted is set if this node has started, was not listed in the state that it has read, and reads it once more to
	// learn its rank.
	rereadUnlisted bool
	// catchUp is the read that is due because of a notice.
	catchUp catchUp
	// departed holds when entries of leaves and nodes were last removed from the state.
	departed map[entryKey]time.Time
	// wantedVersion is the latest configuration version that another node knew and this node did not.
	wantedVersion uint64
	// lastSeen is when each node's entry was last present, by the address at which the node receives notices.
	lastSeen map[string]time.Time
	// cancelNotices ends the sending of the notices of the latest read.
	cancelNotices context.CancelFunc
	// chains holds the reads whose notices are being received, by their senders.
	chains map[string]noticeChain
	// viewHints receives addresses of nodes that have a state while this node has none.
	viewHints chan string
	lastTick  time.Time
}

// New returns a follower that calls onChange from the goroutine of Run for each change of the state.
func New(r registry.Registry, peers cluster.Peers, views cluster.Views, c Config, log *decision.Log, scope tally.Scope, onChange func(registry.State)) *Follower {
	return &Follower{registry: r, peers: peers, views: views, config: c, log: log, skipped: scope.Gauge("registry_entries_skipped"),
		lastSeen: map[string]time.Time{}, departed: map[entryKey]time.Time{}, chains: map[string]noticeChain{}, cancelNotices: func() {}, viewHints: make(chan string, 1),
		age: scope.Histogram("view_age", tally.MustMakeExponentialDurationBuckets(250*time.Millisecond, 2, 6)), onChange: onChange, wallClock: wallClock}
}

// Serving reports whether this node has a routing configuration and can serve.
func (f *Follower) Serving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasState && f.state.Table != nil
}

// Run keeps the state up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	f.lastTick = time.Now()
	f.nextRead = f.lastTick.Add(f.config.firstDelay())
	for {
		f.checkPause()
		if now := time.Now(); !f.catchUp.due.IsZero() && !now.Before(f.catchUp.due) {
			f.runCatchUp(ctx)
		}
		if now := time.Now(); f.readDue(now) {
			f.read(ctx)
		}
		if now := time.Now(); f.failing && now.Sub(f.confirmed) >= viewRequestAge*f.config.Interval && !now.Before(f.nextViewRequest) {
			f.nextViewRequest = now.Add(viewRequestInterval)
			f.requestView(ctx)
		}
		select {
		case n := <-f.peers.Notices():
			f.checkPause()
			f.handleNotice(ctx, n)
		case address := <-f.viewHints:
			f.fetchView(ctx, address)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readDue reports whether this node has to read the registry itself now.
func (f *Follower) readDue(now time.Time) bool {
	if now.Before(f.nextRead) {
		return false
	}
	return now.Sub(f.confirmed) >= f.maxAge() || !f.rereadAt.IsZero() && !now.Before(f.rereadAt)
}

// checkPause treats the state as unconfirmed after the process was paused or its VM was suspended, and discards queued
// notices. It compares both clocks because the monotonic clock stops while the VM is suspended and the wall clock does
// not.
func (f *Follower) checkPause() {
	now := time.Now()
	monotonic, wallClock := now.Sub(f.lastTick), now.Round(0).Sub(f.lastTick.Round(0))
	f.lastTick = now
	if max(monotonic, wallClock) < maxPause {
		return
	}
	f.log.Info("paused", "monotonic_ms", decision.Millis(monotonic), "wall_ms", decision.Millis(wallClock))
	f.markBehind()
	f.nextRead = time.Time{}
	for {
		select {
		case <-f.peers.Notices():
		default:
			return
		}
	}
}

// markBehind records that the state may be out of date, so that a linearizable read is due.
func (f *Follower) markBehind() {
	f.behind = true
	f.confirm(time.Time{})
}

// maxAge is the time after the last confirmation at which this node reads the registry itself. It grows with the node's
// rank, so that one node reads and the next rank takes over when that node sends no more notices.
func (f *Follower) maxAge() time.Duration {
	rank := f.rank()
	wait := rankStep*float64(min(rank, firstRanks)) + lateRankStep*float64(max(0, rank-firstRanks))
	return f.config.Interval + time.Duration(min(wait, maxRankWait)*float64(f.config.Interval))
}

// rank is the number of nodes that read on behalf of all before this one does. Nodes with more capacity come first,
// since they send their notices sooner. Nodes of equal capacity are ordered by the hash of their names, highest first.
func (f *Follower) rank() int {
	return Rank(f.state.Members, registry.Member{ID: f.config.Self, Capacity: f.config.Capacity})
}

// Rank returns the number of nodes that read the registry before self does, as in Follower. Only the name and the capacity
// of self count.
func Rank(members []registry.Member, self registry.Member) int {
	rank := 0
	for _, m := range members {
		if m.ID != self.ID && readsBefore(m, self) {
			rank++
		}
	}
	return rank
}

func readsBefore(a, b registry.Member) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	return xxhash.Sum64String(a.ID) > xxhash.Sum64String(b.ID)
}

// setState replaces the current state. If the content differs it logs the differences and reports the change.
func (f *Follower) setState(next registry.State, source string) {
	old, first := f.state, !f.hasState
	f.mu.Lock()
	f.state, f.hasState = next, true
	f.mu.Unlock()
	if digest(old) == digest(next) && !first {
		return
	}
	f.recordSeen(old.Members, time.Now())
	f.recordDeparted(old, next, time.Now())
	f.logChanges(old, next, source)
	f.onChange(next)
}
