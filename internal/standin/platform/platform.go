// Package platform implements a stand-in for the platform: an in-memory key-value store and list of VMs with injected
// faults. It is used by tests only.
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

// Errors that the stand-in returns in addition to those of api/platform.
var (
	// ErrLost means that the call or its answer was lost.
	ErrLost = errors.New("call lost")
	// ErrRateLimited means that the call exceeded the rate limit and was refused.
	ErrRateLimited = errors.New("rate limit exceeded")
)

// Faults are the faults that the platform injects. The zero value injects none. LoseAfter, LoseBefore and Conflicts
// decrease by one with each use.
type Faults struct {
	// Down makes the platform refuse every call. A Server also closes all connections.
	Down bool `json:"down"`
	// Hang leaves every call unanswered until Hang is reset.
	Hang bool `json:"hang"`
	// Delay delays each call.
	Delay config.Duration `json:"delay"`
	// LateWrites lets a delayed or hanging write take effect after its caller has given up.
	LateWrites bool `json:"late_writes"`
	// LoseAfter is the number of upcoming calls whose answer is lost. Their writes take effect.
	LoseAfter int `json:"lose_after"`
	// LoseBefore is the number of upcoming calls that are lost before they take effect.
	LoseBefore int `json:"lose_before"`
	// Conflicts is the number of upcoming writes that fail because another writer came first. That writer keeps the
	// value and increments the version.
	Conflicts int `json:"conflicts"`
	// StaleBy is the age of the state that reads and watches see.
	StaleBy config.Duration `json:"stale_by"`
	// WritesPerSecond and ReadsPerSecond limit the rate of calls. 0 means no limit. A waiting watch counts once.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
	// ListLag is the delay before a change shows in the list of VMs.
	ListLag config.Duration `json:"list_lag"`
}

// Counters holds the counts of calls, their failures and the bytes of values.
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
	mu          sync.Mutex
	faults      Faults
	counters    Counters
	keys        map[string][]keyVersion // oldest first, never empty
	fleets      []fleetVersion          // oldest first, never empty
	lastListed  platform.Fleet          // the newest list returned; a longer ListLag never returns an older one
	changed     chan struct{}           // closed and replaced when keys or faults change
	readWindow  rateWindow
	writeWindow rateWindow
	faultHooks  []func(Faults)
}

// maxVersions limits the versions of a key that are kept for stale reads and Rollback.
const maxVersions = 64

type keyVersion struct {
	entry platform.Entry
	at    time.Time
}

type fleetVersion struct {
	fleet platform.Fleet
	at    time.Time
}

// New returns an empty, healthy platform.
func New() *Platform {
	return &Platform{keys: map[string][]keyVersion{}, fleets: []fleetVersion{{}}, changed: make(chan struct{})}
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Update changes the faults.
func (p *Platform) Update(change func(*Faults)) {
	p.mu.Lock()
	change(&p.faults)
	current, hooks := p.faults, slices.Clone(p.faultHooks)
	p.notifyChanged()
	p.mu.Unlock()
	for _, hook := range hooks {
		hook(current)
	}
}

func (p *Platform) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Counters returns the current counts.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// Rollback restores the value and version that a key had steps writes ago. It returns false if they are not kept.
func (p *Platform) Rollback(key string, steps int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.keys[key]
	if steps <= 0 || steps >= len(versions) {
		return false
	}
	p.keys[key] = versions[:len(versions)-steps]
	p.notifyChanged()
	return true
}

// Get implements platform.Store.
func (p *Platform) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := p.beginCall(ctx, &p.counters.Gets, &p.readWindow, readLimit); err != nil {
		return platform.Entry{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.consume(&p.faults.LoseAfter) {
		return platform.Entry{}, p.countFailure(ErrLost)
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
	if err := p.beginCall(ctx, &p.counters.Writes, &p.writeWindow, writeLimit); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.latest(key)
	if p.consume(&p.faults.Conflicts) {
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
	if p.consume(&p.faults.LoseAfter) {
		return 0, p.countFailure(ErrLost)
	}
	return expected + 1, nil
}

// Watch implements platform.Store.
func (p *Platform) Watch(ctx context.Context, key string, after uint64) (platform.Entry, error) {
	if err := p.beginCall(ctx, &p.counters.Watches, &p.readWindow, readLimit); err != nil {
		return platform.Entry{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.WatchesOpen++
	defer func() { p.counters.WatchesOpen-- }()
	for {
		if p.faults.Down {
			return platform.Entry{}, p.countFailure(platform.ErrNotSent)
		}
		if e := p.visible(key); e.Version > after && !p.faults.Hang {
			p.counters.BytesRead += len(e.Value)
			return e, nil
		}
		if err := p.wait(ctx, p.staleReadInterval()); err != nil {
			return platform.Entry{}, err
		}
	}
}

// staleReadInterval returns how often to repeat a stale read. It is 0 if reads are not stale.
func (p *Platform) staleReadInterval() time.Duration { return time.Duration(p.faults.StaleBy) / 4 }

// wait releases the lock until keys or faults change, limit (if positive) has passed or ctx ends.
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
	if err := p.beginCall(ctx, &p.counters.Lists, &p.readWindow, readLimit); err != nil {
		return platform.Fleet{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.consume(&p.faults.LoseAfter) {
		return platform.Fleet{}, p.countFailure(ErrLost)
	}
	cutoff := time.Now().Add(-time.Duration(p.faults.ListLag))
	for _, f := range p.fleets {
		if !f.at.After(cutoff) && f.fleet.Revision > p.lastListed.Revision {
			p.lastListed = f.fleet
		}
	}
	return platform.Fleet{Revision: p.lastListed.Revision, VMs: slices.Clone(p.lastListed.VMs)}, nil
}

// PutVM adds a VM or replaces the VM with the same identifier.
func (p *Platform) PutVM(vm platform.VM) {
	p.changeFleet(func(vms []platform.VM) []platform.VM { return append(without(vms, vm.ID), vm) })
}

// RemoveVM removes a VM.
func (p *Platform) RemoveVM(id string) {
	p.changeFleet(func(vms []platform.VM) []platform.VM { return without(vms, id) })
}

// SetState sets the state of a VM and reports whether the VM is in the list.
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
	p.fleets = append(p.fleets, fleetVersion{platform.Fleet{Revision: last.Revision + 1, VMs: vms}, time.Now()})
}

// beginCall counts a call and applies the faults that precede its effect.
func (p *Platform) beginCall(ctx context.Context, count *int, window *rateWindow, limit func(*Faults) int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	*count++
	if p.faults.Down {
		return p.countFailure(platform.ErrNotSent)
	}
	if !window.allow(limit(&p.faults)) {
		p.counters.RateLimited++
		return p.countFailure(ErrRateLimited)
	}
	if err := p.applyDelays(ctx); err != nil {
		return err
	}
	if p.consume(&p.faults.LoseBefore) {
		return p.countFailure(ErrLost)
	}
	return nil
}

// applyDelays waits for Faults.Delay, and for as long as Faults.Hang is set.
func (p *Platform) applyDelays(ctx context.Context) error {
	if until := time.Now().Add(time.Duration(p.faults.Delay)); p.faults.Delay > 0 {
		for time.Now().Before(until) {
			if err := p.wait(ctx, time.Until(until)); err != nil {
				return p.countFailure(err)
			}
		}
	}
	for p.faults.Hang {
		if err := p.wait(ctx, 0); err != nil {
			return p.countFailure(err)
		}
	}
	if p.faults.Down {
		return p.countFailure(ErrLost)
	}
	return nil
}

func (p *Platform) countFailure(err error) error {
	p.counters.Failed++
	return err
}

func (p *Platform) consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (p *Platform) write(key string, version uint64, value []byte) {
	versions := append(p.keys[key], keyVersion{platform.Entry{Key: key, Value: value, Version: version}, time.Now()})
	if len(versions) > maxVersions {
		versions = slices.Clone(versions[len(versions)-maxVersions:])
	}
	p.keys[key] = versions
	p.notifyChanged()
}

func (p *Platform) latest(key string) platform.Entry {
	versions := p.keys[key]
	if len(versions) == 0 {
		return platform.Entry{Key: key}
	}
	return versions[len(versions)-1].entry
}

// visible returns the entry that a read sees: the latest, or an older one while reads are stale. The value is a copy.
func (p *Platform) visible(key string) platform.Entry {
	cutoff := time.Now().Add(-time.Duration(p.faults.StaleBy))
	entry := platform.Entry{Key: key}
	for _, v := range p.keys[key] {
		if !v.at.After(cutoff) {
			entry = v.entry
		}
	}
	entry.Value = slices.Clone(entry.Value)
	return entry
}

func readLimit(f *Faults) int  { return f.ReadsPerSecond }
func writeLimit(f *Faults) int { return f.WritesPerSecond }

// rateWindow counts the calls of the current second.
type rateWindow struct {
	start time.Time
	count int
}

func (w *rateWindow) allow(limit int) bool {
	if now := time.Now(); now.Sub(w.start) >= time.Second {
		w.start, w.count = now, 0
	}
	w.count++
	return limit <= 0 || w.count <= limit
}
