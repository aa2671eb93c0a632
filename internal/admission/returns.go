package admission

import (
	"math"
	"time"
)

const (
	// maxPromises bounds the memory of refused requests.
	maxPromises = 4096
	// promiseMemory is how long after its time a refused caller is still recognized. Callers add a delay of their own.
	promiseMemory = time.Second
	// returnShare is the part of the room that is promised to callers that return. The rest is for new requests, which can still
	// be answered within their targets.
	returnShare = 0.5
	// goldenRatio spreads times evenly: its multiples, less their whole parts, never come close to each other soon.
	goldenRatio = math.Phi - 1
)

// promise is the time in which a refused request goes first, and for how many callers with the same content.
type promise struct {
	from, until time.Time
	callers     int
}

// returnDelay returns after what time a refused caller should return: once room is expected behind the callers of the same or
// a higher priority that return to the same gate. It is not later than the request can be served before its deadline.
func (c *Controller) returnDelay(class int, w *Waiter, result Result, now time.Time) time.Duration {
	latest := w.request.Deadline.Add(-result.Needs)
	if w.gate != nil && latest.After(now) {
		at := w.gate.returnTime(class, c.cost(&w.request, w.gate), now.Add(result.RoomIn))
		if !at.After(latest) {
			w.gate.returnsAt[class] = at
			c.promise(w.request.Fingerprint, at, now)
			return at.Sub(now)
		}
	}
	if !latest.After(now) {
		latest = w.request.Deadline
	}
	_, c.spread = math.Modf(c.spread + goldenRatio)
	return time.Duration(c.spread * float64(latest.Sub(now)))
}

// returnTime returns the earliest time at which another caller of the class, with a request of the given cost, may return.
func (g *gate) returnTime(class int, cost float64, earliest time.Time) time.Time {
	interval := g.interval(cost / returnShare)
	for _, t := range g.returnsAt[:class+1] {
		if next := t.Add(interval); next.After(earliest) {
			earliest = next
		}
	}
	return earliest
}

// promise remembers that a refused caller was told to return.
func (c *Controller) promise(fingerprint uint64, at, now time.Time) {
	if len(c.promises) >= maxPromises {
		c.forgetPromises(now)
	}
	p, known := c.promises[fingerprint]
	if !known && len(c.promises) >= maxPromises {
		return
	}
	if now.After(p.until) {
		p = promise{from: at}
	}
	p.callers++
	if until := at.Add(promiseMemory); until.After(p.until) {
		p.until = until
	}
	c.promises[fingerprint] = p
}

// takePromise reports whether a caller returns as it was told.
func (c *Controller) takePromise(fingerprint uint64, now time.Time) bool {
	p, known := c.promises[fingerprint]
	if !known || now.Before(p.from) {
		return false
	}
	if p.callers--; p.callers <= 0 || now.After(p.until) {
		delete(c.promises, fingerprint)
	} else {
		c.promises[fingerprint] = p
	}
	return !now.After(p.until)
}

func (c *Controller) forgetPromises(now time.Time) {
	for fingerprint, p := range c.promises {
		if now.After(p.until) {
			delete(c.promises, fingerprint)
		}
	}
}
