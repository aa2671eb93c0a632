package quota

import (
	"maps"
	"time"

	"cyclamenstream/api/cluster"
)

const (
	// recordTime is how long an allocator remembers what it has granted for a node that sends no reports. A node's next report
	// states the numbers again.
	recordTime = 10 * time.Second
	// strangerWait is the wait that a node states for an organisation that it does not keep. Its view or that of the sender is
	// about to change.
	strangerWait = 200 * time.Millisecond
	// maxTurnWait bounds the wait for other nodes' turns.
	maxTurnWait = 250 * time.Millisecond
	// tokenTolerance covers the rounding of sums of small parts of a token.
	tokenTolerance = 1e-9
)

// allocator grants requests of the organisations for which a node is an allocator. It has no clock: times are those of a clock that does not
// count while the node is suspended, so that no tokens are added for that time.
type allocator struct {
	bounds  Bounds
	buckets map[string]*bucket
}

// bucket is the token bucket of one organisation.
type bucket struct {
	rate, size, tokens float64
	// filledAt is the time up to which tokens have been added.
	filledAt time.Duration
	// nextTurn is when the token after those that denied nodes wait for is expected.
	nextTurn time.Duration
	nodes    map[string]*record
}

// record holds the cumulative numbers of a node.
type record struct {
	boot              int64
	granted, returned uint64
	usedAt            time.Duration
}

func newAllocator(b Bounds) *allocator { return &allocator{bounds: b, buckets: map[string]*bucket{}} }

// hold keeps the organisation with the limit. A new bucket is empty and fills from since on. A lower limit applies at once.
func (k *allocator) hold(organisation string, l Limit, since, now time.Duration) {
	b := k.buckets[organisation]
	if b == nil {
		b = &bucket{filledAt: since, nodes: map[string]*record{}}
		k.buckets[organisation] = b
	}
	b.fill(now)
	b.rate, b.size = k.bounds.bucket(l)
	b.tokens = min(b.tokens, b.size)
}

// beginFilling ends the wait of buckets that were to fill from a later time on.
func (k *allocator) beginFilling(now time.Duration) {
	for _, b := range k.buckets {
		b.filledAt = min(b.filledAt, now)
	}
}

// drop forgets an organisation.
func (k *allocator) drop(organisation string) { delete(k.buckets, organisation) }

// answer grants requests of the reporting node. It reports false if the report is from an earlier boot of the node.
func (k *allocator) answer(r cluster.QuotaReport, now time.Duration) (cluster.QuotaGrant, bool) {
	g := cluster.QuotaGrant{Organisation: r.Organisation, Boot: r.Boot, Stamp: r.Stamp, Granted: r.Granted}
	b := k.buckets[r.Organisation]
	if b == nil {
		g.Wait = strangerWait
		return g, true
	}
	b.fill(now)
	n := b.record(r, now)
	if n == nil {
		return g, false
	}
	b.grant(n, r)
	g.Granted = n.granted
	if r.Wanted > n.granted {
		g.Wait = b.wait(k.bounds, now)
	}
	return g, true
}

func (b *bucket) fill(now time.Duration) {
	if now <= b.filledAt {
		return
	}
	b.tokens = min(b.size, b.tokens+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// record returns the numbers of the reporting node, or nil if the report is from an earlier boot. An allocator without numbers of
// the node, such as one that has restarted, starts with those that the report states.
func (b *bucket) record(r cluster.QuotaReport, now time.Duration) *record {
	maps.DeleteFunc(b.nodes, func(_ string, n *record) bool { return now-n.usedAt > recordTime })
	n := b.nodes[r.Node]
	if n == nil || n.boot < r.Boot {
		n = &record{boot: r.Boot, granted: r.Granted, returned: r.Returned}
		b.nodes[r.Node] = n
	}
	if n.boot > r.Boot {
		return nil
	}
	n.usedAt = now
	return n
}

// grant charges the bucket for what the report asks for beyond what is granted, as far as there are tokens.
func (b *bucket) grant(n *record, r cluster.QuotaReport) {
	n.granted = max(n.granted, r.Granted)
	if r.Returned > n.returned {
		b.tokens = min(b.size, b.tokens+float64(r.Returned-n.returned))
		n.returned = r.Returned
	}
	if r.Wanted > n.granted {
		taken := min(r.Wanted-n.granted, uint64(b.tokens+tokenTolerance))
		b.tokens = max(0, b.tokens-float64(taken))
		n.granted += taken
	}
}

// wait returns the time until a denied node may ask again. Nodes take turns, so that they do not all ask for the next token.
func (b *bucket) wait(bounds Bounds, now time.Duration) time.Duration {
	if b.rate <= 0 {
		return bounds.Window
	}
	token := time.Duration(float64(time.Second) / b.rate)
	next := now + time.Duration(max(0, 1-b.tokens)*float64(token))
	turn := max(next, min(b.nextTurn, now+maxTurnWait))
	b.nextTurn = turn + token
	return max(time.Millisecond, min(bounds.Window, turn-now))
}
