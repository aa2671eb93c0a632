// Package quota limits the requests of each organisation over all nodes.
//
// Three nodes are the allocators of an organisation. Each has a token bucket with a part of the quota, so that no two of them
// have to agree. A node admits a request if an allocator has granted it. Reports of nodes and grants of allocators carry cumulative
// numbers, so that lost, repeated and reordered messages never make an allocator grant more than its part.
package quota

import "time"

const (
	// allocators is the number of allocators of an organisation.
	allocators = 3
	// grantLife is how long a node may use what an allocator grants in advance, counted from the report. It spans the longest
	// round trip several times.
	grantLife = 150 * time.Millisecond
	// maxSendDelay is how long after its admission a request may be sent first. Later it must be admitted again.
	maxSendDelay = 100 * time.Millisecond
	// overdraftShare is the part of the slack for requests that nodes admit before they are granted. The allocators divide the
	// rest.
	overdraftShare = 0.6
	// maxRateShare is the part of an organisation's rate that one allocator grants at most. What the bound allows beyond it makes the
	// buckets of small organisations larger, since a few requests at once use those up.
	maxRateShare = 0.5
)

// Bounds holds the settings that limit each organisation: in no Window do more of its requests run than
// (rate * Window + burst) * (1 + Overage) + Slack.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
}

// Limit is the quota of an organisation over all nodes: Rate requests a second, plus Burst requests at once.
type Limit struct{ Rate, Burst float64 }

// bucket returns the rate and size of one allocator's token bucket. A granted request may run up to grantLife plus
// maxSendDelay later, so the requests of that time count towards the window too.
func (b Bounds) bucket(l Limit) (rate, size float64) {
	quota := l.Rate*b.Window.Seconds() + l.Burst
	available := (quota*(1+b.Overage) + (1-overdraftShare)*b.Slack) / allocators
	part := min(1, available/quota)
	span := (b.Window + grantLife + maxSendDelay).Seconds()
	size = max(1, part*l.Burst)
	rate = max(0, min(part*l.Rate, (available-size)/span))
	if enough := maxRateShare * l.Rate; rate > enough {
		rate, size = enough, max(size, available-enough*span)
	}
	return rate, size
}

// overdrafts returns the number of nodes that may admit one request of an organisation before it is granted.
func (b Bounds) overdrafts() int { return int(overdraftShare * b.Slack) }
