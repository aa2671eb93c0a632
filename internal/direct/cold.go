package direct

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenstream/api/route"
)

const (
	// coldSenders is the number of nodes that may send to one cold leaf, chosen among the nodes advertised to callers.
	// They divide the leaf's limit and all other nodes send nothing, so the limit holds over all nodes without
	// coordination.
	coldSenders = 2
	// coldLimitFraction is the part of the limit that the senders use. The rest covers nodes that disagree about which
	// nodes are the senders.
	coldLimitFraction = 0.5
	coldWindow        = time.Second
)

// coldLimiter limits this node's requests to a leaf that is still warming up.
type coldLimiter struct {
	until time.Time
	// assumed is the end of the time in which the leaf may have started again, cold, although its entry does not show it yet.
	assumed time.Time
	// limited is set if the service states how much load a cold leaf handles.
	limited bool
	// maxPerWindow is the number of requests that this node may send in any coldWindow.
	maxPerWindow int
	sentAt       []time.Time
}

// setShare computes this node's share of the limit.
func (c *coldLimiter) setShare(s route.Service, config Config, leafID string, nodes []string) {
	c.limited = s.WarmupRate > 0
	if !c.limited {
		return
	}
	total := (s.WarmupRate*config.ColdShare + config.ColdSlack) * coldLimitFraction
	senders := rendezvous(leafID, nodes, coldSenders)
	c.maxPerWindow = 0
	if slices.Contains(senders, config.Self) {
		c.maxPerWindow = int(total / float64(len(senders)))
	}
}

// assumeUntil treats the leaf as cold until the given time.
func (c *coldLimiter) assumeUntil(end time.Time) { c.assumed = end }

// applies reports whether the leaf is, or may be, cold and its service states a limit.
func (c *coldLimiter) applies(now time.Time) bool {
	return c.limited && (now.Before(c.until) || now.Before(c.assumed))
}

func (c *coldLimiter) allow(now time.Time) bool {
	if !c.applies(now) {
		return true
	}
	c.sentAt = slices.DeleteFunc(c.sentAt, func(t time.Time) bool { return now.Sub(t) > coldWindow })
	return len(c.sentAt) < c.maxPerWindow
}

func (c *coldLimiter) record(now time.Time) {
	if c.applies(now) {
		c.sentAt = append(c.sentAt, now)
	}
}

// rendezvous returns the n nodes with the highest hashes for the key (rendezvous hashing).
func rendezvous(key string, nodes []string, n int) []string {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(key+"\x00"+b), xxhash.Sum64String(key+"\x00"+a))
	})
	return sorted[:min(n, len(sorted))]
}
