// Package intent makes a request that is not idempotent run at most once. Before the request is sent, its intent is
// written to the platform's store by compare-and-swap.
//
// Intents are stored in buckets, one key each. One write commits all waiting intents of a bucket. If two nodes write
// the same request at the same time, the later write conflicts and its node finds the other's attempt. If the response
// to a write is lost, the node reads the attempt identifier back. An attempt that was given up never sends the request,
// so it does no harm if its write takes effect late. The intent is then removed. Before each send the holder checks the
// age of its intent, so that a paused node cannot send when the intent may have expired.
package intent

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"cyclamenstream/api/config"
	"cyclamenstream/api/event"
	"cyclamenstream/api/platform"
	"cyclamenstream/api/verdict"
)

const (
	// Expiry is the time after which an intent may be dropped. Callers resend for at most 5 minutes and a holder sends
	// for at most MaxAge, which leaves 4 minutes for differences between the wall clocks of the nodes.
	Expiry = 10 * time.Minute
	// MaxAge is the longest time between the first write of an intent and a send that relies on it.
	MaxAge = config.MaxDeadline
	// Buckets is the number of keys over which the intents of a service are spread.
	Buckets = 16
	// keyPrefix is the prefix of the store keys of intents. The service and the number of the bucket follow.
	keyPrefix = "cyclamenstream/intent/"
	// maxBucketBytes is slightly below the store's limit. A bucket holds about 22,000 intents of 45 bytes each.
	maxBucketBytes = platform.MaxValueBytes - 32<<10
	// callTimeout bounds a call to the store, so that a lost response is resolved well within usual deadlines.
	callTimeout = 500 * time.Millisecond
	// releaseWait bounds the time that Release waits for the store.
	releaseWait    = 200 * time.Millisecond
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second

	attemptBytes = 12
	requestBytes = 16
)

// Intent is the right to run a request once.
type Intent interface {
	// Check returns nil while the request may be sent, else an error with verdict "not run". It must be called
	// immediately before each send.
	Check() error
	// Release gives up an intent whose request certainly did not run, so that the caller can resend it. It waits a
	// short time for the store; when the store is down, the release is retried in the background.
	Release(ctx context.Context)
	// Done marks that the attempt has ended and may have run.
	Done(ctx context.Context)
}

// Manager writes intents. It is safe for concurrent use.
type Manager struct {
	store    platform.Store
	recorder event.Recorder
	metrics  counters
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu      sync.Mutex
	buckets map[string]*bucket
}

// counters are the metrics under "intent". writes counts the successful writes of buckets and unknown the writes whose
// response was lost. intents counts the written intents, and duplicates the ones refused because another attempt holds
// the request.
type counters struct {
	writes, conflicts, unknown, intents, duplicates, released tally.Counter
}

// New returns a Manager that writes to the store and records events for written intents. If metrics is nil, nothing is
// counted.
func New(store platform.Store, recorder event.Recorder, metrics tally.Scope) *Manager {
	if metrics == nil {
		metrics = tally.NoopScope
	}
	metrics = metrics.SubScope("intent")
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{store: store, recorder: recorder, ctx: ctx, cancel: cancel, buckets: map[string]*bucket{},
		metrics: counters{writes: metrics.Counter("writes"), conflicts: metrics.Counter("conflicts"),
			unknown: metrics.Counter("unknown"), intents: metrics.Counter("intents"),
			duplicates: metrics.Counter("duplicates"), released: metrics.Counter("released")}}
}

// Close stops background work and waits for its end. Intents that are not yet removed stay in the store until they
// expire.
func (m *Manager) Close() {
	m.mu.Lock() // no bucket starts its commit loop after this
	m.cancel()
	m.mu.Unlock()
	m.wg.Wait()
}

// Begin writes the intent of a request. When another attempt holds or has run the request, the error has code
// CodeDuplicate and verdict "may have run". All other errors have verdict "not run". Their code is CodeStoreDown when
// the store fails or does not confirm the intent by the end of ctx, CodeOverloaded when the bucket is full, and
// CodeStopping when the Manager is closed during the wait.
func (m *Manager) Begin(ctx context.Context, caller, requestID, service string) (Intent, error) {
	request := requestHash(caller, requestID)
	c := &claim{
		bucket:      m.bucket(service, request),
		description: fmt.Sprintf("request %q of caller %q to service %q", requestID, caller, service),
		request:     request,
		attempt:     newAttemptID(),
		began:       time.Now(),
		decided:     make(chan struct{}),
		removed:     make(chan struct{}),
	}
	if err := c.bucket.add(c); err != nil {
		m.metrics.duplicates.Inc(1)
		return nil, err
	}
	select {
	case <-c.decided:
	case <-ctx.Done():
		c.bucket.abandon(c)
	}
	if c.err != nil {
		if verdict.CodeOf(c.err) == verdict.CodeDuplicate {
			m.metrics.duplicates.Inc(1)
		}
		return nil, c.err
	}
	return c, nil
}

func (m *Manager) bucket(service, request string) *bucket {
	key := fmt.Sprintf("%s%s/%d", keyPrefix, service, xxhash.Sum64String(request)%Buckets)
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.buckets[key]
	if b == nil {
		b = &bucket{Manager: m, key: key, service: service, local: map[string]*claim{}, toRemove: map[string]*claim{},
			pendingDone: map[string]bool{}, wake: make(chan struct{}, 1)}
		m.buckets[key] = b
	}
	return b
}

// requestHash identifies a request within a service. The length prefix keeps ("ab", "c") and ("a", "bc") apart.
func requestHash(caller, id string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(caller), caller, id))
	return string(sum[:requestBytes])
}

func newAttemptID() string {
	var b [attemptBytes]byte
	rand.Read(b[:]) // crypto/rand.Read never fails
	return string(b[:])
}

// state is the state of an attempt on this node.
type state int

const (
	waiting  state = iota
	held           // in the store; the request may be sent
	ended          // in the store; the request may have run
	refused        // not in the store, or given up and being removed
	released       // given up after it was held, being removed
)

// claim is one attempt to run a request. The bucket's mutex guards state and the fields below it.
type claim struct {
	bucket      *bucket
	description string
	request     string
	attempt     string
	began       time.Time
	decided     chan struct{} // closed when the state is no longer waiting
	removed     chan struct{} // closed when the store certainly no longer holds the attempt

	state state
	err   error
	// bucketRead is set if the bucket was read since the attempt began. Older content may name another attempt that was
	// released in the meantime, so it is no reason to refuse.
	bucketRead bool
	// written is set if a write of the attempt may have taken effect or may still do so. fence is the highest version
	// that such a write expected. Once the key has a higher version, none of these writes can still take effect.
	written bool
	fence   uint64
}

// Check implements Intent. The age is the greater of those on the monotonic and on the wall clock, because the
// monotonic clock stops while a VM is suspended.
func (c *claim) Check() error {
	c.bucket.mu.Lock()
	defer c.bucket.mu.Unlock()
	age := max(time.Since(c.began), time.Now().Round(0).Sub(c.began.Round(0)))
	switch {
	case c.state != held:
		return verdict.Refusef(verdict.CodeDuplicate, "%s: the intent is no longer held", c.description)
	case age > MaxAge:
		return verdict.Refusef(verdict.CodeDeadline, "%s: the intent is %s old, at most %s is allowed", c.description,
			age.Round(time.Millisecond), MaxAge)
	}
	return nil
}

// Release implements Intent.
func (c *claim) Release(ctx context.Context) {
	b := c.bucket
	b.mu.Lock()
	if c.state != held {
		b.mu.Unlock()
		return
	}
	c.state = released
	b.metrics.released.Inc(1)
	b.toRemove[c.attempt] = c
	b.start()
	b.mu.Unlock()
	timer := time.NewTimer(releaseWait)
	defer timer.Stop()
	select {
	case <-c.removed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Done implements Intent. The mark reaches the store with the bucket's next write.
func (c *claim) Done(context.Context) {
	b := c.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.state == held {
		c.state = ended
		b.pendingDone[c.attempt] = true
	}
}
