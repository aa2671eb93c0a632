package quota

import (
	"time"

	"cyclamenstream/api/cluster"
)

const (
	// maxViewAge is the age of its view of the registry up to which an allocator grants requests without further proof that it
	// is still one. Views are usually confirmed within half of that.
	maxViewAge = 3 * time.Second
	// An allocator with an old view asks all candidates every pingInterval whether they list it. Answers count for quorumTime.
	pingInterval = time.Second
	quorumTime   = 2500 * time.Millisecond
)

// entitled reports whether this node may still be an allocator: its view is new, or most candidates have confirmed that they list
// it. A node that is cut off has neither, so another one can take its place.
func (n *node) entitled(at instant) bool {
	if n.config.ViewAge() <= maxViewAge {
		return true
	}
	confirmed := 0
	for _, m := range n.electors {
		if m.ID == n.config.Self || at.elapsed-n.peers[m.ID].confirmedAt <= quorumTime {
			confirmed++
		}
	}
	return 2*confirmed > len(n.electors)
}

// ping asks the candidates whether they list this node, if it keeps an organisation and its view becomes old.
func (n *node) ping(at instant) {
	if len(n.allocator.buckets) == 0 || at.elapsed < n.nextPing || n.config.ViewAge() < maxViewAge-pingInterval {
		return
	}
	n.nextPing = at.elapsed + pingInterval
	for _, m := range n.electors {
		if m.ID != n.config.Self {
			n.out.SendQuotaReport(m.PeerAddress, cluster.QuotaReport{Node: n.config.Self, Boot: n.config.Boot, Stamp: at.elapsed})
		}
	}
}
