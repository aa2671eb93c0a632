// Package platform is a stand-in for the platform: an in-memory key-value store and list of VMs with injected faults.
// It is used by tests only.
package platform

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/platform"
)

// Errors that the stand-in returns besides those of the port.
var (
	// ErrLost says that the call or its answer was lost.
	ErrLost = errors.New("call lost")
	// ErrRateLimited says that the platform refused the call because of its rate.
	ErrRateLimited = errors.New("rate limit exceeded")
)

// Faults is what goes wrong at present. The zero value is a healthy platform. Counts fall with each use.
type Faults struct {
	// Down refuses every call; over gRPC all connections are cut too.
	Down bool `json:"down"`
	// Hang leaves every call unanswered until it is reset.
	Hang bool `json:"hang"`
	// Delay is added to each call.
	Delay config.Duration `json:"delay"`
	// LateWrites lets a write that is delayed or hangs take effect later although its caller has given up.
	LateWrites bool `json:"late_writes"`
	// LoseAfter loses the answers of the next calls after the write took effect.
	LoseAfter int `json:"lose_after"`
	// LoseBefore loses the next calls before they take effect.
	LoseBefore int `json:"lose_before"`
	// Conflicts lets another writer win before the next writes: the value stays, its version grows.
	Conflicts int `json:"conflicts"`
	// StaleBy makes reads and the version checks of watches return the state of that long ago.
	StaleBy config.Duration `json:"stale_by"`
	// WritesPerSecond and ReadsPerSecond bound the calls; 0 means no bound. A waiting watch counts once.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
	// ListLag is how long the list of VMs lags behind changes.
	ListLag config.Duration `json:"list_lag"`
}

// Counters counts calls.
type Counters struct {
	Gets         int `json:"gets"`
	Writes       int `json:"writes"`
	Conflicts    int `json:"conflicts"`
	Watches      int `json:"watches"`
	WatchesOpen  int `json:"watches_open"`
	Lists        int `json:"lists"`
	RateLimited  int `json:"rate_limited"`
	Failed       int `json:"failed"`
	BytesWritten int `json:"bytes_written"`
	BytesRead    int `json:"bytes_read"`
}

// Platform implements platform.Store and platform.Inventory. It is safe for concurrent use.
type Platform struct {
	mu       sync.Mutex
	faults   Faults
	counters Counters
	keys     map[string][]written // oldest first, never empty
	fleets   []listed             // oldest first, never empty
	shown    platform.Fleet       // the newest list returned; a longer lag never brings an older one back
	changed  chan struct{}        // closed and replaced at each change of keys or faults
	reads    window
	writes   window
	onFaults []func(Faults)
}

// maxKept bounds the versions kept of a key, for stale reads and Rollback.
const maxKept = 64

type written struct {
	entry platform.Entry
	at    time.Time
}

type listed struct {
	fleet platform.Fleet
	at    time.Time
}

// New returns an empty, healthy platform.
func New() *Platform {
	return &Platform{keys: map[string][]written{}, fleets: []listed{{}}, changed: make(chan struct{})}
}

// Faults returns the present faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Update changes the faults.
func (p *Platform) Update(change func(*Faults)) {
	p.mu.Lock()
	change(&p.faults)
	now, hooks := p.faults, slices.Clone(p.onFaults)
	p.wake()
	p.mu.Unlock()
	for _, hook := range hooks {
		hook(now)
	}
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Counters returns the counts so far.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// Rollback makes a key come back with the value and version that it had steps writes ago.
func (p *Platform) Rollback(key string, steps int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.keys[key]
	if steps <= 0 || steps >= len(kept) {
		return false
	}
	p.keys[key] = kept[:len(kept)-steps]
	p.wake()
	return true
}

// Get implements platform.Store.
func (p *Platform) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := p.enter(ctx, &p.counters.Gets, &p.reads, readRate); err != nil {
		return platform.Entry{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.take(&p.faults.LoseAfter) {
		return platform.Entry{}, p.fail(ErrLost)
	}
	e := p.visible(key)
	p.counters.BytesRead += len(e.Value)
	return e, nil
}

// CompareAndSwap implements platform.Store.
func (p *Platform) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	value = slices.Clone(value)
	if !p.Faults().LateWrites {
		return p.compareAndSwap(ctx, key, expected, value)
	}
	type result struct {
		version uint64
		err     error
	}
	done := make(chan result, 1)
	go func() {
		version, err := p.compareAndSwap(context.WithoutCancel(ctx), key, expected, value)
		done <- result{version, err}
	}()
	select {
	case r := <-done:
		return r.version, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (p *Platform) compareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	if err := p.enter(ctx, &p.counters.Writes, &p.writes, writeRate); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.latest(key)
	if p.take(&p.faults.Conflicts) {
		if current.Version > 0 {
			p.write(key, current.Version+1, current.Value)
		}
		p.counters.Conflicts++
		return 0, platform.ErrConflict
	}
	if current.Version != expected {
		p.counters.Conflicts++
		return 0, platform.ErrConflict
	}
	p.write(key, expected+1, value)
	p.counters.BytesWritten += len(value)
	if p.take(&p.faults.LoseAfter) {
		return 0, p.fail(ErrLost)
	}
	return expected + 1, nil
}

// Watch implements platform.Store.
func (p *Platform) Watch(ctx context.Context, key string, after uint64) (platform.Entry, error) {
	if err := p.enter(ctx, &p.counters.Watches, &p.reads, readRate); err != nil {
		return platform.Entry{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.WatchesOpen++
	defer func() { p.counters.WatchesOpen-- }()
	for {
		if p.faults.Down {
			return platform.Entry{}, p.fail(platform.ErrNotSent)
		}
		if e := p.visible(key); e.Version > after && !p.faults.Hang {
			p.counters.BytesRead += len(e.Value)
			return e, nil
		}
		if err := p.wait(ctx, p.staleWait()); err != nil {
			return platform.Entry{}, err
		}
	}
}

// staleWait returns the time after which a stale read may show something new, 0 if reads are not stale.
func (p *Platform) staleWait() time.Duration { return time.Duration(p.faults.StaleBy) / 4 }

// wait releases the lock until something changes, limit (if positive) has passed or ctx ends.
func (p *Platform) wait(ctx context.Context, limit time.Duration) error {
	changed := p.changed
	p.mu.Unlock()
	defer p.mu.Lock()
	var timer <-chan time.Time
	if limit > 0 {
		timer = time.After(limit)
	}
	select {
	case <-changed:
	case <-timer:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// List implements platform.Inventory.
func (p *Platform) List(ctx context.Context) (platform.Fleet, error) {
	if err := p.enter(ctx, &p.counters.Lists, &p.reads, readRate); err != nil {
		return platform.Fleet{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.take(&p.faults.LoseAfter) {
		return platform.Fleet{}, p.fail(ErrLost)
	}
	until := time.Now().Add(-time.Duration(p.faults.ListLag))
	for _, l := range p.fleets {
		if !l.at.After(until) && l.fleet.Revision > p.shown.Revision {
			p.shown = l.fleet
		}
	}
	return platform.Fleet{Revision: p.shown.Revision, VMs: slices.Clone(p.shown.VMs)}, nil
}

// PutVM adds a VM or replaces the one with its identifier.
func (p *Platform) PutVM(vm platform.VM) {
	p.changeFleet(func(vms []platform.VM) []platform.VM { return append(without(vms, vm.ID), vm) })
}

// RemoveVM removes a VM.
func (p *Platform) RemoveVM(id string) {
	p.changeFleet(func(vms []platform.VM) []platform.VM { return without(vms, id) })
}

// SetState marks a VM as live or leaving and reports whether it is listed.
func (p *Platform) SetState(id string, state platform.State) bool {
	found := false
	p.changeFleet(func(vms []platform.VM) []platform.VM {
		for i := range vms {
			if vms[i].ID == id {
				vms[i].State, found = state, true
			}
		}
		return vms
	})
	return found
}

func without(vms []platform.VM, id string) []platform.VM {
	return slices.DeleteFunc(vms, func(vm platform.VM) bool { return vm.ID == id })
}

func (p *Platform) changeFleet(change func([]platform.VM) []platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.fleets[len(p.fleets)-1].fleet
	vms := change(slices.Clone(last.VMs))
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	p.fleets = append(p.fleets, listed{platform.Fleet{Revision: last.Revision + 1, VMs: vms}, time.Now()})
}

// enter counts a call and applies the faults that come before its effect.
func (p *Platform) enter(ctx context.Context, count *int, rate *window, limit func(*Faults) int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	*count++
	if p.faults.Down {
		return p.fail(platform.ErrNotSent)
	}
	if !rate.admit(limit(&p.faults)) {
		p.counters.RateLimited++
		return p.fail(ErrRateLimited)
	}
	if err := p.pause(ctx); err != nil {
		return err
	}
	if p.take(&p.faults.LoseBefore) {
		return p.fail(ErrLost)
	}
	return nil
}

// pause waits for the delay and while the platform hangs.
func (p *Platform) pause(ctx context.Context) error {
	if until := time.Now().Add(time.Duration(p.faults.Delay)); p.faults.Delay > 0 {
		for time.Now().Before(until) {
			if err := p.wait(ctx, time.Until(until)); err != nil {
				return p.fail(err)
			}
		}
	}
	for p.faults.Hang {
		if err := p.wait(ctx, 0); err != nil {
			return p.fail(err)
		}
	}
	if p.faults.Down {
		return p.fail(ErrLost)
	}
	return nil
}

func (p *Platform) fail(err error) error {
	p.counters.Failed++
	return err
}

func (p *Platform) take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (p *Platform) write(key string, version uint64, value []byte) {
	kept := append(p.keys[key], written{platform.Entry{Key: key, Value: value, Version: version}, time.Now()})
	if len(kept) > maxKept {
		kept = slices.Clone(kept[len(kept)-maxKept:])
	}
	p.keys[key] = kept
	p.wake()
}

func (p *Platform) latest(key string) platform.Entry {
	kept := p.keys[key]
	if len(kept) == 0 {
		return platform.Entry{Key: key}
	}
	return kept[len(kept)-1].entry
}

// visible returns what a read sees: the latest value, or an older one while reads are stale. The value is a copy.
func (p *Platform) visible(key string) platform.Entry {
	until := time.Now().Add(-time.Duration(p.faults.StaleBy))
	shown := platform.Entry{Key: key}
	for _, w := range p.keys[key] {
		if !w.at.After(until) {
			shown = w.entry
		}
	}
	shown.Value = slices.Clone(shown.Value)
	return shown
}

func readRate(f *Faults) int  { return f.ReadsPerSecond }
func writeRate(f *Faults) int { return f.WritesPerSecond }

// window counts calls in seconds.
type window struct {
	start time.Time
	used  int
}

func (w *window) admit(limit int) bool {
	if now := time.Now(); now.Sub(w.start) >= time.Second {
		w.start, w.used = now, 0
	}
	w.used++
	return limit <= 0 || w.used <= limit
}
