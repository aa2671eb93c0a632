// Package follow keeps this node's view of the platform's registry. One node at a time reads it exactly and tells the
// others what has changed, so that the number of calls depends neither on the number of nodes nor on that of changes.
// Every other node reads for itself as soon as it has not heard in time that its view is the newest.
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
)

// Config holds the times of the follower.
type Config struct {
	// Self is the name of this node's VM, Address where it listens for its peers, Capacity its processor time in cores.
	Self     string
	Address  string
	Capacity float64
	// Interval is the time between the reads of the node that reads for all.
	Interval time.Duration
	// OutageGrace is how long entries may stay missing after the registry was away before they count as gone.
	OutageGrace time.Duration
}

const (
	// callTimeout bounds a read; the registry answers in milliseconds.
	callTimeout = time.Second
	// firstRetry is the pause after a failed read; it doubles up to maxRetry, and further with the node's rank once it
	// has something to serve with.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 600 * time.Millisecond
	// firstReadEvery is the time between the overlapping reads of a node that knows nothing yet.
	firstReadEvery = 250 * time.Millisecond
	// rankStep is the part of the interval by which each next node waits longer before it reads for itself, and
	// furtherStep that for ranks above stepRanks. maxWait bounds the whole, and so the age of what a node acts on.
	rankStep    = 0.35
	stepRanks   = 3
	furtherStep = 0.03
	maxWait     = 1.5
	// minRead is the shortest time between two reads that notices of unknown changes cause.
	minRead = 250 * time.Millisecond
	// tellRanks is the number of first ranks that tell others what they have read.
	tellRanks = 12
	// tellGone is how long a node is still told news after its entry is gone: the registry may have refused or dropped it
	// while it serves callers.
	tellGone = 30 * time.Second
	// maxPause is how long the process may stand still without doubt on what it knows: notices that waited meanwhile
	// say nothing of the present.
	maxPause = 700 * time.Millisecond
	tick     = 50 * time.Millisecond
)

// Follower follows the registry.
type Follower struct {
	registry registry.Registry
	peers    cluster.Peers
	views    cluster.Views
	config   Config
	log      *decision.Log
	skipped  tally.Gauge
	age      tally.Histogram
	onChange func(registry.State)

	mu    sync.Mutex
	state registry.State
	known bool
	// confirmed is when the state was the newest for certain.
	confirmed time.Time

	// Only the goroutine of Run writes the fields above, and it alone uses those below.

	next  time.Time // earliest time of the next read
	pause time.Duration
	// away says that this node's last read failed, at failedAt and the first time at lostAt; outage that nobody is known to have
	// read the registry since then.
	away, outage     bool
	lostAt, failedAt time.Time
	// asked counts the views that were asked for, so that each next one is asked of another node, at nextAsk.
	asked   int
	nextAsk time.Time
	// returned is when the last outage ended. held says that the state has entries which were missing since then.
	returned time.Time
	held     bool
	// seen is when each node's entry was last there, by the address that receives its notices.
	seen map[string]time.Time
	// hints are addresses of nodes that know something, while this one knows nothing.
	hints    chan string
	lastTick time.Time
}

// New returns a follower that reports each change from its own goroutine.
func New(r registry.Registry, peers cluster.Peers, views cluster.Views, c Config, log *decision.Log, scope tally.Scope, onChange func(registry.State)) *Follower {
	return &Follower{registry: r, peers: peers, views: views, config: c, log: log, skipped: scope.Gauge("registry_entries_skipped"),
		seen: map[string]time.Time{}, hints: make(chan string, 1),
		age: scope.Histogram("view_age", tally.MustMakeExponentialDurationBuckets(250*time.Millisecond, 2, 6)), onChange: onChange}
}

// Serving reports whether this node knows enough to serve.
func (f *Follower) Serving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known && f.state.Table != nil
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	f.lastTick = time.Now()
	for {
		f.checkPause()
		if now := time.Now(); f.due(now) {
			f.read(ctx)
		}
		if now := time.Now(); f.away && now.Sub(f.confirmed) >= askAge*f.config.Interval && !now.Before(f.nextAsk) {
			f.nextAsk = now.Add(askInterval)
			f.ask(ctx)
		}
		select {
		case n := <-f.peers.Notices():
			f.checkPause()
			f.hear(ctx, n)
		case address := <-f.hints:
			f.fetchView(ctx, address)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// due reports whether this node reads for itself now.
func (f *Follower) due(now time.Time) bool {
	if now.Before(f.next) {
		return false
	}
	return now.Sub(f.confirmed) >= f.maxAge() || f.held && !f.holding(now)
}

// holding reports whether entries that are missing may still come back after an outage.
func (f *Follower) holding(now time.Time) bool { return now.Sub(f.returned) < f.config.OutageGrace }

// checkPause doubts the state after the process stood still, or its VM was suspended: the monotonic clock does not count
// the latter, the wall clock does.
func (f *Follower) checkPause() {
	now := time.Now()
	monotonic, wall := now.Sub(f.lastTick), now.Round(0).Sub(f.lastTick.Round(0))
	f.lastTick = now
	if max(monotonic, wall) < maxPause {
		return
	}
	f.log.Info("paused", "monotonic_ms", decision.Millis(monotonic), "wall_ms", decision.Millis(wall))
	f.confirm(time.Time{})
	f.next = time.Time{}
	for {
		select {
		case <-f.peers.Notices():
		default:
			return
		}
	}
}

// maxAge is how long after the last confirmation this node reads for itself. It grows with the node's rank, so that one
// node reads, the next takes over when that one falls silent, and so on.
func (f *Follower) maxAge() time.Duration {
	rank := f.rank()
	wait := rankStep*float64(min(rank, stepRanks)) + furtherStep*float64(max(0, rank-stepRanks))
	return f.config.Interval + time.Duration(min(wait, maxWait)*float64(f.config.Interval))
}

// rank is the number of nodes that read for all before this one does: those with more capacity, which tell the others
// sooner, and of equal ones those with a higher hash.
func (f *Follower) rank() int {
	self := registry.Member{ID: f.config.Self, Capacity: f.config.Capacity}
	rank := 0
	for _, m := range f.state.Members {
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

// adopt makes a state the present one and logs what is different.
func (f *Follower) adopt(next registry.State, source string) {
	old, first := f.state, !f.known
	f.mu.Lock()
	f.state, f.known = next, true
	f.mu.Unlock()
	if digest(old) == digest(next) && !first {
		return
	}
	f.see(old.Members, time.Now())
	f.logChanges(old, next, source)
	f.onChange(next)
}
