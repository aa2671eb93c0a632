package intent

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
	"cyclamenstream/api/verdict"
	"cyclamenstream/gen/intentpb"
)

// freeConflicts is the number of conflicts in a row that are retried at once. More come when many nodes write the bucket,
// or when the store recovers and returns an old version.
const freeConflicts = 2

// idleTime is the time after its last use that a bucket keeps its content in memory, up to about 3 MB. All attempts of
// this node have expired then.
const idleTime = Expiry + time.Second

// eventInterval is the least time between two events of a bucket.
const eventInterval = time.Second

// entryOverhead is the size of an entry's tag and length in a bucket.
const entryOverhead = 2

// bucket is one key of the store with the attempts of this node that concern it.
type bucket struct {
	*Manager
	key     string
	service string
	kick    chan struct{} // ends the wait after a failed call

	mu      sync.Mutex
	running bool     // whether the committer runs
	waiting []*claim // attempts to write
	// local holds the newest attempt of this node for each request until it expires. It answers duplicates also when
	// the store comes back from an older state.
	local map[string]*claim
	order []*claim // the attempts of local by age, for expiry
	// stale holds attempts that were given up and that the store may hold.
	stale map[string]*claim
	done  map[string]bool // attempts whose end the store does not know
	idle  *time.Timer     // frees the memory of a bucket that is not used any more; nil before its first use

	// Used by the committer alone: the last known content.
	loaded  bool
	entries map[string]*intentpb.Entry // by request
	size    int
	version uint64
	// unrecorded counts the intents written since the last event, at recorded.
	unrecorded int
	recorded   time.Time
}

// add queues an attempt unless this node knows of another one for its request.
func (b *bucket) add(c *claim) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireLocal(c.began)
	if prev := b.local[c.request]; prev != nil {
		switch prev.state {
		case waiting, held:
			return duplicate(c, "another attempt is under way", c.began.Sub(prev.began))
		case ended:
			return duplicate(c, "another attempt has ended and may have run", c.began.Sub(prev.began))
		}
	}
	b.local[c.request] = c
	b.order = append(b.order, c)
	b.waiting = append(b.waiting, c)
	b.start()
	return nil
}

func (b *bucket) expireLocal(now time.Time) {
	for len(b.order) > 0 && now.Sub(b.order[0].began) > Expiry {
		c := b.order[0]
		b.order = b.order[1:]
		b.forget(c)
		delete(b.done, c.attempt)
	}
}

func (b *bucket) forget(c *claim) {
	if b.local[c.request] == c {
		delete(b.local, c.request)
	}
}

func duplicate(c *claim, what string, age time.Duration) error {
	return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeDuplicate, "%s: %s; it began %s ago", c.name, what,
		age.Round(time.Millisecond))
}

// abandon gives up a waiting attempt whose caller does not wait any longer.
func (b *bucket) abandon(c *claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refuse(c, verdict.Refusef(verdict.CodeStoreDown, "%s: the store did not confirm the intent in time", c.name))
}

// refuse ends a waiting attempt with an error. What it may have written is removed in the background.
func (b *bucket) refuse(c *claim, err error) {
	if c.state != waiting {
		return
	}
	c.state, c.err = refused, err
	close(c.decided)
	b.waiting = slices.DeleteFunc(b.waiting, func(w *claim) bool { return w == c })
	b.forget(c)
	if c.written {
		b.stale[c.attempt] = c
		b.start()
	}
}

func (b *bucket) confirm(c *claim) {
	if c.state != waiting {
		return // given up in the meantime; it is stale now
	}
	c.state = held
	close(c.decided)
	b.waiting = slices.DeleteFunc(b.waiting, func(w *claim) bool { return w == c })
}

// start makes sure that the committer runs, without waiting after an earlier failure. The bucket's mutex is held.
func (b *bucket) start() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
	if b.running {
		return
	}
	b.Manager.mu.Lock()
	defer b.Manager.mu.Unlock()
	if b.ctx.Err() == nil {
		b.running = true
		if b.idle != nil {
			b.idle.Stop()
		}
		b.wg.Add(1)
		go b.commitAll()
	}
}

// commitAll runs rounds until no attempt waits or is stale.
func (b *bucket) commitAll() {
	defer b.wg.Done()
	backoff, conflicts := minBackoff, 0
	for {
		b.mu.Lock()
		if b.ctx.Err() != nil {
			for len(b.waiting) > 0 {
				b.refuse(b.waiting[0], verdict.Refusef(verdict.CodeStopping, "the node is stopping"))
			}
		}
		if b.ctx.Err() != nil || len(b.waiting)+len(b.stale) == 0 {
			b.running = false
			b.idle = time.AfterFunc(idleTime, b.free)
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		switch err := b.round(); {
		case err == nil:
			backoff, conflicts = minBackoff, 0
			continue
		case errors.Is(err, platform.ErrConflict):
			if conflicts++; conflicts <= freeConflicts {
				continue
			}
		}
		b.pause(backoff/2 + rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

// free drops the known content, and the attempts of this node that have expired.
func (b *bucket) free() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireLocal(time.Now())
	if !b.running {
		b.loaded, b.entries = false, nil
	}
}

func (b *bucket) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.kick:
	case <-b.ctx.Done():
	}
}

// round reads the bucket if its content is not known, merges what is to be written, and writes once.
func (b *bucket) round() error {
	if err := b.load(); err != nil {
		b.storeDown(err)
		return err
	}
	batch, write := b.merge()
	defer func() { b.loaded = b.loaded && !batch.reread }()
	if !write {
		return nil
	}
	value, err := proto.Marshal(&intentpb.Bucket{Entries: slices.Collect(maps.Values(b.entries))})
	if err != nil {
		b.loaded = false
		b.unsend(batch)
		return err
	}
	ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
	defer cancel()
	version, err := b.store.CompareAndSwap(ctx, b.key, b.version, value)
	if err != nil {
		b.loaded = false
		b.failed(batch, err)
		return err
	}
	b.version = version
	b.metrics.writes.Inc(1)
	b.metrics.intents.Inc(int64(len(batch.added)))
	b.record(len(batch.added))
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range batch.added {
		b.confirm(c)
	}
	for _, c := range batch.removed {
		b.drop(c)
	}
	for _, attempt := range batch.done {
		delete(b.done, attempt)
	}
	return nil
}

// record counts written intents and records an event for them at most once in each interval, so that many writes do not
// push everything else out of the time line.
func (b *bucket) record(intents int) {
	b.unrecorded += intents
	if b.unrecorded == 0 || time.Since(b.recorded) < eventInterval {
		return
	}
	b.recorder.Record(event.Event{Kind: event.IntentWritten, Service: b.service,
		Detail: fmt.Sprintf("%d intents in %s, now at version %d", b.unrecorded, b.key, b.version)})
	b.unrecorded, b.recorded = 0, time.Now()
}

// drop forgets a stale attempt that the store certainly does not hold and never will.
func (b *bucket) drop(c *claim) {
	delete(b.stale, c.attempt)
	b.forget(c)
	close(c.removed)
}

func (b *bucket) load() error {
	if b.loaded {
		return nil
	}
	b.mu.Lock()
	for _, c := range b.waiting {
		c.read = true
	}
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
	defer cancel()
	entry, err := b.store.Get(ctx, b.key)
	if err != nil {
		return err
	}
	var content intentpb.Bucket
	if err := proto.Unmarshal(entry.Value, &content); err != nil {
		return err
	}
	b.entries, b.size, b.version, b.loaded = make(map[string]*intentpb.Entry), 0, entry.Version, true
	for _, e := range content.GetEntries() {
		b.put(e)
	}
	return nil
}

func (b *bucket) put(e *intentpb.Entry) {
	b.remove(string(e.GetRequest()))
	b.entries[string(e.GetRequest())] = e
	b.size += proto.Size(e) + entryOverhead
}

func (b *bucket) remove(request string) {
	if e := b.entries[request]; e != nil {
		b.size -= proto.Size(e) + entryOverhead
		delete(b.entries, request)
	}
}

// batch is what one write changes.
type batch struct {
	added   []*claim
	fresh   []*claim // those of added that no earlier write contained
	removed []*claim
	done    []string
	reread  bool // the known content is too old to refuse an attempt
}

// merge applies the waiting and stale attempts to the known content and reports whether a write is needed.
func (b *bucket) merge() (batch, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireEntries()
	var todo batch
	// Stale attempts come first: a new attempt of the same request takes over in the same write.
	for _, c := range b.stale {
		if e := b.entries[c.request]; e != nil && string(e.GetAttempt()) == c.attempt {
			b.remove(c.request)
		} else if b.version > c.fence {
			b.drop(c)
			continue
		}
		// A write is needed even if the entry is absent: it raises the version above the fence, so that the write that
		// was given up cannot take effect later.
		todo.removed = append(todo.removed, c)
	}
	for _, c := range slices.Clone(b.waiting) {
		b.mergeClaim(c, &todo)
	}
	write := len(todo.added)+len(todo.removed) > 0
	if write {
		b.mergeDone(&todo)
	}
	return todo, write
}

func (b *bucket) mergeClaim(c *claim, todo *batch) {
	if e := b.entries[c.request]; e != nil {
		if string(e.GetAttempt()) == c.attempt {
			b.confirm(c)
			return
		}
		if !c.read {
			todo.reread = true
			return
		}
		what := "another attempt holds the request"
		if e.GetDone() {
			what = "another attempt has ended and may have run"
		}
		b.refuse(c, duplicate(c, what, time.Since(time.UnixMilli(e.GetCreatedMs()))))
		return
	}
	e := &intentpb.Entry{Request: []byte(c.request), Attempt: []byte(c.attempt), CreatedMs: c.began.UnixMilli()}
	if full := b.size+proto.Size(e)+entryOverhead > maxBucketBytes; full && !c.read {
		todo.reread = true
		return
	} else if full {
		b.refuse(c, verdict.Refusef(verdict.CodeOverloaded,
			"%s: the intents of the last %s fill their bucket of %d bytes", c.name, Expiry, maxBucketBytes))
		return
	}
	b.put(e)
	todo.added = append(todo.added, c)
	if !c.written {
		todo.fresh = append(todo.fresh, c)
	}
	c.written, c.fence = true, max(c.fence, b.version)
}

func (b *bucket) mergeDone(todo *batch) {
	if len(b.done) == 0 {
		return
	}
	for _, e := range b.entries {
		if attempt := string(e.GetAttempt()); b.done[attempt] {
			e.Done = true
			todo.done = append(todo.done, attempt)
		}
	}
}

func (b *bucket) expireEntries() {
	oldest := time.Now().Add(-Expiry).UnixMilli()
	for request, e := range b.entries {
		if e.GetCreatedMs() < oldest {
			b.remove(request)
		}
	}
}

// failed handles a write that was not confirmed.
func (b *bucket) failed(todo batch, err error) {
	switch {
	case errors.Is(err, platform.ErrConflict):
		b.metrics.conflicts.Inc(1)
		b.unsend(todo)
	case errors.Is(err, platform.ErrTooLarge):
		b.unsend(todo)
		b.refuseUnwritten(verdict.CodeOverloaded, err)
	case errors.Is(err, platform.ErrNotSent):
		b.unsend(todo)
		b.storeDown(err)
	default:
		b.metrics.unknown.Inc(1)
	}
}

// unsend notes that the write of a batch certainly had no effect. Attempts that were given up meanwhile stay stale.
func (b *bucket) unsend(todo batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range todo.fresh {
		if c.state == waiting {
			c.written = false
		}
	}
}

func (b *bucket) storeDown(err error) { b.refuseUnwritten(verdict.CodeStoreDown, err) }

// refuseUnwritten refuses the attempts that no write can have stored. The others wait until a read tells.
func (b *bucket) refuseUnwritten(code verdict.Code, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range slices.Clone(b.waiting) {
		if !c.written {
			b.refuse(c, verdict.Refusef(code, "%s: the intent cannot be stored: %v", c.name, err))
		}
	}
}
