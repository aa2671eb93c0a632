package leafset

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cyclamenstream/api/backend"
	"cyclamenstream/api/event"
	"cyclamenstream/api/leaf"
	"cyclamenstream/api/platform"
)

const (
	// statusInterval is the interval between status calls to a leaf.
	statusInterval = 250 * time.Millisecond
	// statusTimeout and maxStatusFailures bound how long a leaf that answers no status call keeps its session. The
	// bound is 4 s.
	statusTimeout     = time.Second
	maxStatusFailures = 4
	// dialTimeout bounds one dial. A new connection takes about 6 ms plus two trips of 20 ms each between regions.
	dialTimeout = time.Second
	// initialBackoff and maxBackoff are the first and the longest backoff between dials to one leaf. Each pause is
	// drawn at random between half the backoff and the backoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// backoffResetAfter is how long a session must have lasted to reset the backoff, so that a leaf that drops each new
	// session does not spend its time on handshakes.
	backoffResetAfter = 10 * time.Second
)

// worker maintains one session to one leaf until its context ends.
type worker struct {
	service *service
	vm      platform.VM
	cancel  context.CancelFunc

	previous *conn // the previous session; nil before the first one has ended
}

func (w *worker) run(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		if c, status := w.dial(ctx); c != nil {
			start := time.Now()
			w.serve(ctx, c, status)
			w.previous = c
			if time.Since(start) > backoffResetAfter {
				backoff = initialBackoff
			}
		}
		pause := backoff/2 + rand.N(backoff/2)
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// mayDial reports whether a new connection is allowed now.
func (w *worker) mayDial() bool {
	deps := w.service.set.deps
	return deps.Ownership.CheckOwned(w.service.name) == nil && deps.Membership.CheckFresh() == nil &&
		deps.Membership.LeafAllowed(w.vm)
}

// dial opens a session and asks for the first status. It returns nil if either fails.
func (w *worker) dial(ctx context.Context) (*conn, backend.Status) {
	select {
	case w.service.set.dialLimit <- struct{}{}:
		defer func() { <-w.service.set.dialLimit }()
	case <-ctx.Done():
		return nil, backend.Status{}
	}
	if !w.mayDial() {
		return nil, backend.Status{}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := w.service.set.deps.Dialer.Dial(ctx, w.vm.Address)
	if err != nil {
		return nil, backend.Status{}
	}
	status, err := session.Status(ctx)
	if err != nil {
		_ = session.Close() // the session was not used
		return nil, backend.Status{}
	}
	return &conn{vm: w.vm, session: session, bootID: status.BootID, running: map[string]bool{}, statusRequested: make(chan struct{}, 1)}, status
}

// serve uses a session until it is lost or ctx ends. In the latter case it waits for the calls to end.
func (w *worker) serve(ctx context.Context, c *conn, status backend.Status) {
	svc := w.service
	if w.previous != nil {
		svc.set.reportCrash(leaf.Crash{Service: svc.name, VM: w.vm.ID, Running: w.previous.runningCalls(),
			SameBoot: w.previous.bootID == c.bootID})
	}
	svc.record(event.LeafConnected, w.vm.ID, c.bootID)
	svc.storeReport(w.vm, &status)
	svc.slots.Connect(w.vm.ID, w.vm.Zone, c.bootID, c)
	svc.slots.SetDraining(w.vm.ID, status.Draining)
	svc.slots.ReplicasChanged()
	w.pollStatus(ctx, c)
	svc.slots.Disconnect(w.vm.ID)
	svc.updateReport(w.vm, nil)
	if ctx.Err() != nil {
		select {
		case <-c.drained():
		case <-c.session.Done():
		case <-svc.set.drain.Done():
		}
	} else {
		svc.record(event.LeafLost, w.vm.ID, c.bootID)
	}
	_ = c.session.Close() // nothing can be done if closing fails
}

// pollStatus requests the leaf's status until the session is lost, the leaf has stopped answering or ctx ends.
func (w *worker) pollStatus(ctx context.Context, c *conn) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for failures := 0; failures < maxStatusFailures; {
		select {
		case <-ctx.Done():
			return
		case <-c.session.Done():
			return
		case <-ticker.C:
		case <-c.statusRequested:
		}
		epoch := w.service.slots.Epoch(w.vm.ID)
		statusCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		status, err := c.session.Status(statusCtx)
		cancel()
		if err != nil {
			failures++
			continue
		}
		failures = 0
		c.bootID = status.BootID
		w.service.slots.ObserveBootID(w.vm.ID, status.BootID, epoch)
		w.service.updateReport(w.vm, &status)
	}
}

// conn is one session and the calls on it.
type conn struct {
	vm              platform.VM
	session         backend.Session
	bootID          string        // the last one shown in a status; used by the worker only
	statusRequested chan struct{} // requests a status before the next one is due

	mu           sync.Mutex
	running      map[string]bool // identifiers of the calls in flight and of those lost with the session
	unresponsive bool            // a call's time has passed without a response while the session stood
	active       int
	idle         chan struct{} // not nil once drained was called; closed when active is 0
}

func (c *conn) requestStatus() {
	select {
	case c.statusRequested <- struct{}{}:
	default:
	}
}

// isUnresponsive reports whether a call has ended because the leaf did not respond and not because the session was
// lost. timedOut reports whether the call's timeout has passed.
func (c *conn) isUnresponsive(timedOut bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.session.Done():
	default:
		c.unresponsive = c.unresponsive || timedOut
	}
	return c.unresponsive
}

func (c *conn) begin(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[id] = true
	c.active++
}

// end notes that a call has returned. A lost call stays among those that are reported with a crash.
func (c *conn) end(id string, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !lost {
		delete(c.running, id)
	}
	c.active--
	c.closeIfIdle()
}

func (c *conn) closeIfIdle() {
	if c.idle != nil && c.active == 0 {
		select {
		case <-c.idle:
		default:
			close(c.idle)
		}
	}
}

// drained returns a channel that is closed when no call is in flight.
func (c *conn) drained() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = make(chan struct{})
	c.closeIfIdle()
	return c.idle
}

func (c *conn) runningCalls() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.running))
}
