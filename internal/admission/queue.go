package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// priorities is the number of priorities that are told apart. Lower ones count as the lowest.
	priorities = 16
	// patienceShare is the share of the target latency for which a request waits while its class is crowded.
	patienceShare = 0.2
	// idleCredit is the time for which an organisation may make up for room that it has not used, so that requests of a small
	// organisation which arrive close to each other are not refused.
	idleCredit = time.Second
)

// Waiter is a request that waits for room.
type Waiter struct {
	request  Request
	arrived  time.Time
	returned bool
	// gate is what holds the request back, or nil.
	gate   *gate
	done   bool
	result chan Result
}

// due returns until when the answer must be ready to count as in time, if it could be at the given time: the target latency, or
// the deadline if the target cannot be met any more.
func (w *Waiter) due(earliest time.Time) time.Time {
	if target := w.arrived.Add(w.request.Target); w.request.Target > 0 && earliest.Before(target) {
		return target
	}
	return w.request.Deadline
}

// Result receives the decision.
func (w *Waiter) Result() <-chan Result { return w.result }

// class holds the waiting requests of one priority.
type class struct {
	index   int
	waiters []*Waiter
	// shares holds the use of each organisation as a virtual time: each request advances it by the inverse of the weight.
	// The one that is most behind is next.
	shares map[string]float64
	// virtual is the virtual time of the latest admitted request. An organisation that was idle starts at floor, which is that
	// of one to two idleCredits ago.
	virtual, floor, mark float64
	markedAt             time.Time
	maxWeight            float64
}

func (c *Controller) classOf(priority int) *class {
	index := min(max(0, priority), priorities-1)
	cl := &c.classes[index]
	if cl.shares == nil {
		cl.index, cl.shares = index, map[string]float64{}
	}
	return cl
}

func (cl *class) add(w *Waiter) {
	cl.waiters = append(cl.waiters, w)
	cl.maxWeight = max(cl.maxWeight, w.request.Weight, 1)
}

func (cl *class) remove(w *Waiter) {
	cl.waiters = slices.DeleteFunc(cl.waiters, func(o *Waiter) bool { return o == w })
}

// step returns by how much a request advances the virtual time of its organisation.
func (cl *class) step(r *Request) float64 {
	if r.Weight <= 0 {
		return 1 / cl.maxWeight
	}
	return 1 / r.Weight
}

// start returns the virtual time of an organisation's next request.
func (cl *class) start(organisation string) float64 { return max(cl.shares[organisation], cl.floor) }

// charge records that a request was admitted.
func (cl *class) charge(r *Request, now time.Time) {
	start := cl.start(r.Organisation)
	cl.virtual = max(cl.virtual, start)
	cl.shares[r.Organisation] = start + cl.step(r)
	if now.Sub(cl.markedAt) < idleCredit {
		return
	}
	cl.floor, cl.mark, cl.markedAt = cl.mark, cl.virtual, now
	maps.DeleteFunc(cl.shares, func(_ string, used float64) bool { return used <= cl.floor })
}

// compare orders the requests of one organisation: callers that return as they were told come first, then the newest ones if
// the class is crowded, else the earliest deadlines.
func (cl *class) compare(now time.Time) func(a, b *Waiter) int {
	key := func(w *Waiter) int64 {
		if w.gate != nil && w.gate.crowded(cl.index, now) {
			return -w.arrived.Sub(now.Add(-time.Hour)).Nanoseconds()
		}
		return w.request.Deadline.Sub(now.Add(-time.Hour)).Nanoseconds()
	}
	return func(a, b *Waiter) int {
		if a.returned != b.returned {
			if a.returned {
				return -1
			}
			return 1
		}
		return cmp.Compare(key(a), key(b))
	}
}

// ordered returns the requests in the order in which they are admitted.
func (cl *class) ordered(now time.Time) []*Waiter {
	sorted := slices.Clone(cl.waiters)
	slices.SortStableFunc(sorted, cl.compare(now))
	next := map[string]float64{}
	tags := make(map[*Waiter]float64, len(sorted))
	for _, w := range sorted {
		name := w.request.Organisation
		start, known := next[name]
		if !known {
			start = cl.start(name)
		}
		tags[w], next[name] = start, start+cl.step(&w.request)
	}
	slices.SortStableFunc(sorted, func(a, b *Waiter) int { return cmp.Compare(tags[a], tags[b]) })
	return sorted
}

// run decides on all waiting requests.
func (c *Controller) run(now time.Time) {
	c.refresh(now)
	for c.pass(now) {
	}
	c.setActive()
}

// pass goes through the waiting requests in their order. It returns true early if a class has turned out to be crowded, which
// changes the order.
func (c *Controller) pass(now time.Time) bool {
	ahead := map[*gate]float64{}
	c.pollAt = now.Add(maxPollInterval)
	for i := range c.classes {
		cl := &c.classes[i]
		if len(cl.waiters) == 0 {
			continue
		}
		for _, w := range cl.ordered(now) {
			if c.decide(cl, w, ahead, now) {
				return true
			}
		}
	}
	return false
}

// decide admits or refuses a request, or lets it wait behind others. It returns true if the class has turned out to be crowded.
func (c *Controller) decide(cl *class, w *Waiter, ahead map[*gate]float64, now time.Time) bool {
	r := &w.request
	needs, remaining := c.needs(r, now), r.Deadline.Sub(now)
	gates := c.gatesOf(r)
	g, wait := c.bottleneck(r, gates, ahead, now)
	w.gate = g
	result := Result{Needs: needs, RoomIn: wait}
	if g != nil {
		g.heldBackAt = now
	}
	switch {
	case remaining < needs:
		result.Reason = Late
	case g == nil:
		c.admit(cl, r, gates, now)
		result.Admitted = true
	case w.due(now.Add(needs)).Before(now.Add(needs+wait)) && !g.crowded(cl.index, now):
		g.crowdedUntil[cl.index] = now.Add(calmTime)
		return true
	case remaining < needs+wait, g.crowded(cl.index, now) && now.Add(wait).After(w.arrived.Add(c.patience(r, g))):
		g.refuse(cl.index, now)
		result.Reason = Crowded
	default:
		c.queueBehind(r, gates, ahead, wait, now)
		c.pollAt = minTime(c.pollAt, now.Add(max(wait, minPollInterval)))
		return false
	}
	c.finish(cl, w, result, now)
	return false
}

// finish removes the request from the queue and delivers the result.
func (c *Controller) finish(cl *class, w *Waiter, result Result, now time.Time) {
	if !result.Admitted {
		if w.gate != nil {
			result.Resource = w.gate.name
		}
		result.RetryAfter = c.returnDelay(cl.index, w, result, now)
	}
	cl.remove(w)
	c.waiting--
	w.done = true
	w.result <- result
}

// patience returns how long a request waits while its class is crowded. The most urgent one waits for the next room.
func (c *Controller) patience(r *Request, g *gate) time.Duration {
	return max(time.Duration(patienceShare*float64(r.Target)), g.interval(c.cost(r, g)))
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
