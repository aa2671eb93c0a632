// Package admission decides which requests of callers are served at once, which wait, and which are refused while room at the
// leaves of a service, or this node's processor time, is short. It covers services whose leaves state their speed. It has no
// network, clock or goroutine of its own.
package admission

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// statedMemory is the time after which a service whose leaves no longer state their speed is not covered any more.
	statedMemory = 10 * time.Second
	// maxPollInterval bounds the time between two looks at the queue, since room may appear sooner than expected.
	maxPollInterval = 20 * time.Millisecond
	minPollInterval = time.Millisecond
)

// Config holds the dependencies of a Controller.
type Config struct {
	// Now reads the monotonic clock.
	Now func() time.Time
	// Delay returns the average time for which a step of a request waits for this node's processor. It may be nil.
	Delay func() time.Duration
	// Changed is called when room becomes short and when it ceases to be. It must not call the Controller. It may be nil.
	Changed func(Shortage)
}

// Shortage describes a change of the room at a service or of the processor.
type Shortage struct {
	// Resource is the name of the service, or ProcessorResource.
	Resource string
	Short    bool
	// Pressure is the expected wait relative to the acceptable one. PerSecond is the rate at which requests are admitted.
	Pressure, PerSecond float64
	// Waiting is the number of requests that wait for any resource.
	Waiting int
}

// ProcessorResource is the name under which this node's processor appears among the resources.
const ProcessorResource = "(processor)"

// Request is what the decision on a request depends on.
type Request struct {
	// Services holds the services that the request is sent to. Needed is how many of them must have room.
	Services []string
	Needed   int
	// Priority 0 is the highest.
	Priority int
	// Organisation is empty if there is none. Weight is its share relative to others; 0 means that of the largest.
	Organisation string
	Weight       float64
	// Fingerprint identifies the content of the request, so that a caller that returns is recognized.
	Fingerprint uint64
	// Target is the target latency, or 0. Deadline is the latest time of an answer.
	Target   time.Duration
	Deadline time.Time
}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// Late means that the remaining time is shorter than what the work needs at present.
	Late Reason = "late"
	// Crowded means that requests of the same priority cannot all be served in time, and others go first.
	Crowded Reason = "crowded"
)

// Result is the decision on a request.
type Result struct {
	Admitted bool
	// Reason, Resource and RetryAfter are set if the request was refused. Resource is what the request lacked room at.
	Reason     Reason
	Resource   string
	RetryAfter time.Duration
	// Needs is the time that the work was expected to take, and RoomIn the time until room was expected.
	Needs, RoomIn time.Duration
}

// Controller decides on the requests of one node. It is safe for concurrent use.
type Controller struct {
	config Config
	// active is set while room is short at any resource or requests wait. Requests take no lock otherwise.
	active atomic.Bool

	mu        sync.Mutex
	services  map[string]*service
	processor processor
	// nodes is the number of advertised nodes, or 0 if this one is not among them.
	nodes   int
	classes [priorities]class
	// waiting is the number of waiting requests, and closed that of closed gates.
	waiting, closed int
	promises        map[uint64]promise
	// spread is from 0 to 1. It places the returns of callers for whom no room is expected before their deadlines.
	spread float64
	pollAt time.Time
}

// New returns a controller that admits every request until leaves state a shortage.
func New(c Config) *Controller {
	return &Controller{config: c, services: map[string]*service{}, processor: processor{gate: gate{name: ProcessorResource}}, promises: map[uint64]promise{}}
}

// SetNodes sets the number of nodes that callers are sent to, which divide the room. It is 0 if this node is not among them.
func (c *Controller) SetNodes(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = n
}

// Offer decides on a request. If it has to wait, the waiter is not nil and receives the result later.
func (c *Controller) Offer(r Request) (Result, *Waiter) {
	if !c.active.Load() {
		return Result{Admitted: true}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	w := &Waiter{request: r, arrived: now, result: make(chan Result, 1), returned: c.takePromise(r.Fingerprint, now)}
	c.classOf(r.Priority).add(w)
	c.waiting++
	c.run(now)
	if w.done {
		return <-w.result, nil
	}
	return Result{}, w
}

// Poll decides on waiting requests whose time has come and returns the time of the next call.
func (c *Controller) Poll() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.config.Now(); !now.Before(c.pollAt) {
		c.run(now)
	}
	return c.pollAt
}

// Cancel removes a request whose caller has left or whose node stops. It reports whether the request was still waiting.
func (c *Controller) Cancel(w *Waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.done {
		return false
	}
	c.classOf(w.request.Priority).remove(w)
	w.done = true
	c.waiting--
	c.run(c.config.Now())
	return true
}

// Reply is an answer of a leaf.
type Reply struct {
	Service, Leaf string
	// Running, Waiting and Slots are what the leaf states about its load.
	Running, Waiting, Slots int
	// WorkFactor is the time that work takes at the leaf at present, relative to the usual time. It is 0 if the leaf does not
	// state it.
	WorkFactor float64
	// Success is set if the leaf ran the request. Latency is the time from the send to the answer.
	Success bool
	Latency time.Duration
	// Target is the target latency of the request, or 0.
	Target time.Duration
}

// Record records a leaf's answer. Leaves that do not state their speed have no effect.
func (c *Controller) Record(r Reply) {
	if r.WorkFactor <= 0 || r.Slots <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	s := c.services[r.Service]
	if s == nil {
		c.refresh(now) // forgets old services
		s = &service{gate: gate{name: r.Service}, leaves: map[string]statement{}}
		c.services[r.Service] = s
	}
	s.record(r, now)
	c.update(&s.gate, s.pressureAt(now, c.nodes), now)
	if r.Success {
		c.processor.completed.add(1, now)
	}
	c.updateProcessor(now)
	c.setActive()
}

// update adopts the pressure on a gate and reports a change.
func (c *Controller) update(g *gate, pressure float64, now time.Time) {
	if !g.update(pressure, now) {
		return
	}
	if g.closed {
		c.closed++
	} else {
		c.closed--
	}
	if c.config.Changed != nil {
		c.config.Changed(Shortage{Resource: g.name, Short: g.closed, Pressure: g.pressure, PerSecond: g.perSecond, Waiting: c.waiting})
	}
}

// refresh updates the gates, whose pressure fades with the age of the statements.
func (c *Controller) refresh(now time.Time) {
	for name, s := range c.services {
		if s.closed {
			c.update(&s.gate, s.pressureAt(now, c.nodes), now)
		}
		if !s.closed && now.Sub(s.statedAt) > statedMemory {
			delete(c.services, name)
		}
	}
	c.updateProcessor(now)
}

func (c *Controller) setActive() { c.active.Store(c.waiting > 0 || c.closed > 0) }
