package admission

import (
	"cmp"
	"slices"
	"time"
)

// covered reports whether a service of the request is covered, so that the processor's gate applies to it.
func (c *Controller) covered(r *Request) bool {
	return slices.ContainsFunc(r.Services, func(name string) bool { return c.services[name] != nil })
}

// cost returns the room that the request takes at a gate.
func (c *Controller) cost(r *Request, g *gate) float64 {
	if g == &c.processor.gate {
		return float64(len(r.Services))
	}
	return 1
}

// spare returns the number of services that the answer may lack.
func (r *Request) spare() int { return max(0, len(r.Services)-r.Needed) }

// gatesOf returns the closed gates that hold the request back, that of the processor included. Of a gathered one, as many
// services as the answer may lack hold nothing back, those under the highest pressure: they get its parts, but it does not wait
// for them.
func (c *Controller) gatesOf(r *Request) []*gate {
	gates := make([]*gate, 0, len(r.Services)+1)
	for _, name := range r.Services {
		if s := c.services[name]; s != nil && s.closed {
			gates = append(gates, &s.gate)
		}
	}
	if spare := r.spare(); spare > 0 {
		slices.SortStableFunc(gates, func(a, b *gate) int { return cmp.Compare(b.pressure, a.pressure) })
		gates = gates[min(spare, len(gates)):]
	}
	if p := &c.processor.gate; p.closed && c.covered(r) {
		gates = append(gates, p)
	}
	return gates
}

// bottleneck returns the gate for which the request has to wait longest, behind the requests ahead, and the time until then.
// It returns nil if there is room.
func (c *Controller) bottleneck(r *Request, gates []*gate, ahead map[*gate]float64, now time.Time) (slowest *gate, wait time.Duration) {
	for _, g := range gates {
		if d := g.wait(c.cost(r, g), ahead[g], now); d > wait {
			slowest, wait = g, d
		}
	}
	return slowest, wait
}

// needs returns the time that the work of a request needs at present: that of the slowest service that the answer must not
// lack. It is 0 while room is not short.
func (c *Controller) needs(r *Request, now time.Time) time.Duration {
	times := make([]time.Duration, 0, len(r.Services))
	for _, name := range r.Services {
		if s := c.services[name]; s != nil && s.closed {
			times = append(times, s.needs(now))
		}
	}
	spare := r.spare()
	if len(times) <= spare {
		return 0
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return times[spare]
}

// queueBehind adds the request, which has to wait, to what is ahead of later ones. Of a gate with room sooner, it needs only what
// the gate will lack by then, so that later requests need not wait for the bottleneck of this one.
func (c *Controller) queueBehind(r *Request, gates []*gate, ahead map[*gate]float64, wait time.Duration, now time.Time) {
	for _, g := range gates {
		cost := c.cost(r, g)
		sooner := wait - g.wait(cost, ahead[g], now)
		ahead[g] += max(0, cost-g.perSecond*sooner.Seconds())
	}
}

// admit takes the room for the request. One that uses nothing scarce does not count in the share of its organisation.
func (c *Controller) admit(cl *class, r *Request, gates []*gate, now time.Time) {
	for _, g := range gates {
		g.pass(c.cost(r, g), cl.index)
	}
	if len(gates) > 0 {
		cl.charge(r, now)
	}
}
