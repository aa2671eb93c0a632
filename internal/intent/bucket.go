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

// immediateRetries is the number of consecutive conflicts that are retried without a backoff. More of them occur when
// many nodes write the bucket, or when the store recovers and returns an old version.
const immediateRetries = 2

// idleTimeout is the time for which an unused bucket keeps its content in memory, up to about 3 MB. After it, all
// attempts of this node have expired.
const idleTimeout = Expiry + time.Second

// eventInterval is the least time between two events of a bucket.
const eventInterval = time.Second

// entryOverhead is the size of an entry's tag and length in a bucket.
const entryOverhead = 2

// bucket is one key of the store, with the attempts of this node that belong to it.
type bucket struct {
	*Manager
	key     string
	service string
	wake    chan struct{} // ends the backoff after a failed call

	mu      sync.Mutex
	running bool     // whether the commit loop runs
	waiting []*claim // attempts to write
	// local holds the newest attempt of this node for each request until it expires. With it, duplicates are refused
	// even if the store returned to an older state.
	local map[string]*claim
	order []*claim // the attempts of local, oldest first, for expiry
	// toRemove holds attempts that were given up or released and that the store may still hold.
	toRemove    map[string]*claim
	pendingDone map[string]bool // ended attempts that are not yet marked done in the store
	idleTimer   *time.Timer     // releases the memory of an unused bucket; nil before its first use

	// The last known content. Only the commit loop and releaseMemory use these fields.
	loaded  bool
	entries map[string]*intentpb.Entry // by request
	size    int
	version uint64
	// unrecorded counts the intents written since lastEvent, the time of the last event.
	unrecorded int
	lastEvent  time.Time
}

// add queues an attempt unless this node knows of another one for the same request.
func (b *bucket) add(c *claim) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireLocal(c.began)
	if prev := b.local[c.request]; prev != nil {
		switch prev.state {
		case waiting, held:
			return duplicate(c, "another attempt is in progress", c.began.Sub(prev.began))
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
		delete(b.pendingDone, c.attempt)
	}
}

func (b *bucket) forget(c *claim) {
	if b.local[c.request] == c {
		delete(b.local, c.request)
	}
}

func duplicate(c *claim, reason string, age time.Duration) error {
	return verdict.WithVerdict(verdict.MayHaveRun(), verdict.CodeDuplicate, "%s: %s; it began %s ago", c.description, reason,
		age.Round(time.Millisecond))
}

// abandon gives up a waiting attempt whose caller no longer waits.
func (b *bucket) abandon(c *claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refuse(c, verdict.Refusef(verdict.CodeStoreDown, "%s: the store did not confirm the intent in time", c.description))
}

// refuse ends a waiting attempt with an error. If it may have been written, it is removed in the background.
func (b *bucket) refuse(c *claim, err error) {
	if c.state != waiting {
		return
	}
	c.state, c.err = refused, err
	close(c.decided)
	b.waiting = slices.DeleteFunc(b.waiting, func(w *claim) bool { return w == c })
	b.forget(c)
	if c.written {
		b.toRemove[c.attempt] = c
		b.start()
	}
}

func (b *bucket) confirm(c *claim) {
	if c.state != waiting {
		return // given up in the meantime; it is in toRemove now
	}
	c.state = held
	close(c.decided)
	b.waiting = slices.DeleteFunc(b.waiting, func(w *claim) bool { return w == c })
}

// start makes sure that the commit loop runs and ends its backoff after an earlier failure. The caller holds the
// bucket's mutex.
func (b *bucket) start() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
	if b.running {
		return
	}
	b.Manager.mu.Lock()
	defer b.Manager.mu.Unlock()
	if b.ctx.Err() == nil {
		b.running = true
		if b.idleTimer != nil {
			b.idleTimer.Stop()
		}
		b.wg.Add(1)
		go b.commitLoop()
	}
}

// commitLoop reads and writes the bucket until no attempt is left to write or to remove.
func (b *bucket) commitLoop() {
	defer b.wg.Done()
	backoff, conflicts := initialBackoff, 0
	for {
		b.mu.Lock()
		if b.ctx.Err() != nil {
			for len(b.waiting) > 0 {
				b.refuse(b.waiting[0], verdict.Refusef(verdict.CodeStopping, "the node is stopping"))
			}
		}
		if b.ctx.Err() != nil || len(b.waiting)+len(b.toRemove) == 0 {
			b.running = false
			b.idleTimer = time.AfterFunc(idleTimeout, b.releaseMemory)
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		switch err := b.commitOnce(); {
		case err == nil:
			backoff, conflicts = initialBackoff, 0
			continue
		case errors.Is(err, platform.ErrConflict):
			if conflicts++; conflicts <= immediateRetries {
				continue
			}
		}
		b.pause(backoff/2 + rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

// releaseMemory drops the known content and the expired attempts of this node.
func (b *bucket) releaseMemory() {
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
	case <-b.wake:
	case <-b.ctx.Done():
	}
}

// commitOnce reads the bucket if its content is not known, merges the pending changes into it, and writes it once.
func (b *bucket) commitOnce() error {
	if err := b.load(); err != nil {
		b.storeDown(err)
		return err
	}
	changes, write := b.merge()
	defer func() { b.loaded = b.loaded && !changes.reread }()
	if !write {
		return nil
	}
	value, err := proto.Marshal(&intentpb.Bucket{Entries: slices.Collect(maps.Values(b.entries))})
	if err != nil {
		b.loaded = false
		b.markNotWritten(changes)
		return err
	}
	ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
	defer cancel()
	version, err := b.store.CompareAndSwap(ctx, b.key, b.version, value)
	if err != nil {
		b.loaded = false
		b.writeFailed(changes, err)
		return err
	}
	b.version = version
	b.metrics.writes.Inc(1)
	b.metrics.intents.Inc(int64(len(changes.added)))
	b.recordEvent(len(changes.added))
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range changes.added {
		b.confirm(c)
	}
	for _, c := range changes.removed {
		b.finishRemoval(c)
	}
	for _, attempt := range changes.done {
		delete(b.pendingDone, attempt)
	}
	return nil
}

// recordEvent counts written intents and records an event for them at most once in each eventInterval. Otherwise many
// writes would push all other events out of the timeline.
func (b *bucket) recordEvent(intents int) {
	b.unrecorded += intents
	if b.unrecorded == 0 || time.Since(b.lastEvent) < eventInterval {
		return
	}
	b.recorder.Record(event.Event{Kind: event.IntentWritten, Service: b.service,
		Detail: fmt.Sprintf("%d intents in %s, now at version %d", b.unrecorded, b.key, b.version)})
	b.unrecorded, b.lastEvent = 0, time.Now()
}

// finishRemoval ends the removal of an attempt that the store does not hold and can no longer receive.
func (b *bucket) finishRemoval(c *claim) {
	delete(b.toRemove, c.attempt)
	b.forget(c)
	close(c.removed)
}

func (b *bucket) load() error {
	if b.loaded {
		return nil
	}
	b.mu.Lock()
	for _, c := range b.waiting {
		c.bucketRead = true
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

// batch holds the changes of one write.
type batch struct {
	added       []*claim
	firstWrites []*claim // those of added that were in no earlier write
	removed     []*claim
	done        []string
	reread      bool // the known content is too old to refuse an attempt, so it must be read again
}

// merge applies the waiting attempts and the removals to the known content and reports whether a write is needed.
func (b *bucket) merge() (batch, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireEntries()
	var changes batch
	// Removals come first, so that the same write can add a new attempt of the same request.
	for _, c := range b.toRemove {
		if e := b.entries[c.request]; e != nil && string(e.GetAttempt()) == c.attempt {
			b.remove(c.request)
		} else if b.version > c.fence {
			b.finishRemoval(c)
			continue
		}
		// A write is needed even if the entry is absent. It raises the version above the fence, so that the earlier
		// write cannot take effect later.
		changes.removed = append(changes.removed, c)
	}
	for _, c := range slices.Clone(b.waiting) {
		b.mergeClaim(c, &changes)
	}
	write := len(changes.added)+len(changes.removed) > 0
	if write {
		b.mergeDone(&changes)
	}
	return changes, write
}

func (b *bucket) mergeClaim(c *claim, changes *batch) {
	if e := b.entries[c.request]; e != nil {
		if string(e.GetAttempt()) == c.attempt {
			b.confirm(c)
			return
		}
		if !c.bucketRead {
			changes.reread = true
			return
		}
		reason := "another attempt holds the request"
		if e.GetDone() {
			reason = "another attempt has ended and may have run"
		}
		b.refuse(c, duplicate(c, reason, time.Since(time.UnixMilli(e.GetCreatedMs()))))
		return
	}
	e := &intentpb.Entry{Request: []byte(c.request), Attempt: []byte(c.attempt), CreatedMs: c.began.UnixMilli()}
	if full := b.size+proto.Size(e)+entryOverhead > maxBucketBytes; full && !c.bucketRead {
		changes.reread = true
		return
	} else if full {
		b.refuse(c, verdict.Refusef(verdict.CodeOverloaded,
			"%s: the intents of the last %s fill their bucket of %d bytes", c.description, Expiry, maxBucketBytes))
		return
	}
	b.put(e)
	changes.added = append(changes.added, c)
	if !c.written {
		changes.firstWrites = append(changes.firstWrites, c)
	}
	c.written, c.fence = true, max(c.fence, b.version)
}

func (b *bucket) mergeDone(changes *batch) {
	if len(b.pendingDone) == 0 {
		return
	}
	for _, e := range b.entries {
		if attempt := string(e.GetAttempt()); b.pendingDone[attempt] {
			e.Done = true
			changes.done = append(changes.done, attempt)
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

// writeFailed handles a write that the store did not confirm.
func (b *bucket) writeFailed(changes batch, err error) {
	switch {
	case errors.Is(err, platform.ErrConflict):
		b.metrics.conflicts.Inc(1)
		b.markNotWritten(changes)
	case errors.Is(err, platform.ErrTooLarge):
		b.markNotWritten(changes)
		b.refuseUnwritten(verdict.CodeOverloaded, err)
	case errors.Is(err, platform.ErrNotSent):
		b.markNotWritten(changes)
		b.storeDown(err)
	default:
		b.metrics.unknown.Inc(1)
	}
}

// markNotWritten marks that the write of a batch certainly had no effect. Attempts that were given up in the meantime
// stay in toRemove.
func (b *bucket) markNotWritten(changes batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range changes.firstWrites {
		if c.state == waiting {
			c.written = false
		}
	}
}

func (b *bucket) storeDown(err error) { b.refuseUnwritten(verdict.CodeStoreDown, err) }

// refuseUnwritten refuses the waiting attempts that no write can have stored. The others wait until a read shows
// whether they are in the store.
func (b *bucket) refuseUnwritten(code verdict.Code, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range slices.Clone(b.waiting) {
		if !c.written {
			b.refuse(c, verdict.Refusef(code, "%s: the intent cannot be stored: %v", c.description, err))
		}
	}
}
