package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// shareFraction is the part of the share that is used. The rest covers nodes that learn of the request late, and so
	// count requests beyond the end of its duration.
	shareFraction = 0.9
	// slackFraction is the part of the slack that is used. The rest covers nodes that disagree about which nodes divide it.
	slackFraction = 0.8
	// The slack is handed out over slackPace of the observed time, apart from slackAtOnce of it and the first request of a
	// node. A service with few requests needs it early, and some of it must be left for a version that turns bad late.
	slackPace   = 0.8
	slackAtOnce = 0.4
)

// limiter limits a node's requests to a version that is not completed, by what the node itself has sent.
type limiter struct {
	// share is the share of this node's requests, and slack the number of further ones.
	share, slack float64
	// reached is the number of requests that have reached leaves of the service, and old those of them that have reached
	// old versions. target is the number of requests sent to the target version.
	reached, old, target float64
}

// admit reports whether one more request may be sent to the target version, and counts it. progress is the part of the
// observed time that has passed. If there is an old version, it must have got as many requests, so that both can be compared.
func (l *limiter) admit(progress float64, compared bool) bool {
	slack := l.slack * (slackAtOnce + (1-slackAtOnce)*max(0, min(1, progress/slackPace)))
	slack = max(slack, min(1, l.slack))
	if compared && l.target > l.old || l.target+1 > l.share*l.reached+slack {
		return false
	}
	l.target++
	return true
}

// record counts a request that has reached a leaf.
func (l *limiter) record(target bool) {
	l.reached++
	if !target {
		l.old++
	}
}

// slackPart returns a node's part of the slack. The advertised nodes divide it. If there is not one request for each of
// them, those with the highest hashes for the key get one.
func slackPart(slack float64, key, self string, advertised []string) float64 {
	total := slack * slackFraction
	if !slices.Contains(advertised, self) {
		return 0
	}
	if n := float64(len(advertised)); n <= total {
		return total / n
	}
	hash := func(node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }
	sorted := slices.Clone(advertised)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(hash(b), hash(a)) })
	if slices.Index(sorted, self) < int(total) {
		return 1
	}
	return 0
}
