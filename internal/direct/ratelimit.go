package direct

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"cyclamenstream/internal/decision"
)

const (
	// limitBurst is the time over which unused parts of a limit add up. All nodes together may send that much at once.
	limitBurst = time.Second
	// limitSlack is the number of requests above limitBurst that all nodes together may send at once. Each node that
	// shares a limit may always send one request at once, so it also bounds the number of these nodes.
	limitSlack = 5
	// remainderShare is the part of a limit for the nodes that do not share the rest of it. A node that never sends would
	// not learn that the leaf no longer states a limit.
	remainderShare = 0.1
	// minLimit is the smallest limit in requests/s over all nodes that is applied, for the same reason.
	minLimit = 0.25
	// maxBurst bounds the burst, since larger numbers do not fit into every integer type.
	maxBurst = 1 << 30
	// raiseDelay is the time after which a raised limit applies. Until then the lower one may still count.
	raiseDelay = 4 * time.Second
	// rateReportInterval is the time between two reports of the requests that this node sends to a leaf with a stated limit.
	rateReportInterval = 4 * time.Second
)

// tier is the set of nodes that divide limits among them.
type tier struct {
	// self is this node's name.
	self string
	// advertised holds the names of the nodes that the directory returns to callers.
	advertised []string
	// nodes is the number of all nodes.
	nodes int
}

// limitShare returns this node's part of a leaf's limit in requests/s. The nodes compute their parts without
// coordination, and the sum is the limit. If the limit has no room for all advertised nodes, those with the highest
// hashes for the leaf share it.
func (t tier) limitShare(leafID string, limit float64) float64 {
	limit = max(limit, minLimit)
	senders := t.advertised
	if room := limit*limitBurst.Seconds() + limitSlack; room < float64(len(senders)) {
		senders = rendezvous(leafID, senders, int(room))
	}
	others := t.nodes - len(senders)
	switch {
	case others <= 0:
		return limit / float64(max(1, len(senders)))
	case slices.Contains(senders, t.self):
		return limit * (1 - remainderShare) / float64(len(senders))
	}
	return limit * remainderShare / float64(others)
}

// rateLimit is the limit of requests that a leaf has stated for all nodes together, and this node's use of its part.
type rateLimit struct {
	leaf *leafState
	log  *slog.Logger
	tier tier
	// perSecond is +Inf while the leaf states no limit. limiter is nil then.
	perSecond float64
	limiter   *rate.Limiter
	// raised is the lowest limit above perSecond that the leaf has stated since raisedAt, or 0 if it has stated none.
	raised   float64
	raisedAt time.Time

	// The counts cover the requests since countedSince. Extra ones are hedges and retries.
	countedSince time.Time
	first, extra int
}

func newRateLimit(l *leafState, log *slog.Logger) rateLimit {
	return rateLimit{leaf: l, log: log, perSecond: math.Inf(1)}
}

// stated reports whether the leaf states a limit.
func (r *rateLimit) stated() bool { return r.limiter != nil }

// set adopts what an answer says about the limit. +Inf means that the leaf states none. A limit that is higher than the
// one before applies after raiseDelay.
func (r *rateLimit) set(perSecond float64, now time.Time) {
	switch {
	case perSecond <= r.perSecond || math.IsInf(perSecond, 1):
		r.raised = 0
		r.adopt(perSecond, now)
	case r.raised == 0:
		r.raised, r.raisedAt = perSecond, now
	default:
		r.raised = min(r.raised, perSecond)
		if now.Sub(r.raisedAt) >= raiseDelay {
			r.adopt(r.raised, now)
			r.raised = 0
		}
	}
}

func (r *rateLimit) adopt(perSecond float64, now time.Time) {
	if perSecond == r.perSecond {
		return
	}
	r.report(now)
	before := r.perSecond
	r.perSecond = perSecond
	r.applyShare(now)
	r.log.Info("leaf_limit", r.attributes("per_second", limitText(perSecond), "before", limitText(before), "share", r.share())...)
}

// setTier adopts the nodes that divide the limit.
func (r *rateLimit) setTier(t tier, now time.Time) {
	r.tier = t
	r.applyShare(now)
}

// applyShare sets the limiter to this node's part of the limit. A new limiter has no tokens, since this node does not
// know how much of the limit was used before.
func (r *rateLimit) applyShare(now time.Time) {
	if math.IsInf(r.perSecond, 1) {
		r.limiter = nil
		return
	}
	share := r.tier.limitShare(r.leaf.leaf.ID, r.perSecond)
	burst := max(1, int(min(share*limitBurst.Seconds(), maxBurst)))
	if r.limiter == nil {
		r.limiter = rate.NewLimiter(rate.Limit(share), burst)
		r.limiter.AllowN(now, burst)
		return
	}
	r.limiter.SetLimitAt(now, rate.Limit(share))
	r.limiter.SetBurstAt(now, burst)
}

// share returns this node's part of the limit in requests/s, or 0 without a limit.
func (r *rateLimit) share() float64 {
	if r.limiter == nil {
		return 0
	}
	return float64(r.limiter.Limit())
}

// delay returns the time until this node may send a request to the leaf.
func (r *rateLimit) delay(now time.Time) time.Duration {
	if r.limiter == nil {
		return 0
	}
	missing := 1 - r.limiter.TokensAt(now)
	return max(0, time.Duration(missing/float64(r.limiter.Limit())*float64(time.Second)))
}

// recordSend counts a request to the leaf.
func (r *rateLimit) recordSend(p Purpose, now time.Time) {
	if r.limiter != nil {
		r.limiter.ReserveN(now, 1)
	}
	if p == FirstSend {
		r.first++
	} else {
		r.extra++
	}
	if now.Sub(r.countedSince) >= rateReportInterval {
		r.report(now)
	}
}

// report logs the counts if the leaf states a limit, and begins new ones.
func (r *rateLimit) report(now time.Time) {
	if r.stated() {
		r.log.Info("leaf_rate", r.attributes("per_second", r.perSecond, "share", r.share(), "window_ms", decision.Millis(now.Sub(r.countedSince)),
			"first", r.first, "extra", r.extra)...)
	}
	r.countedSince, r.first, r.extra = now, 0, 0
}

func (r *rateLimit) attributes(more ...any) []any {
	l := r.leaf.leaf
	return append([]any{"leaf", l.ID, "boot", l.Boot, "service", l.Service}, more...)
}

// limitText returns a limit as the log shows it. JSON has no infinite numbers.
func limitText(perSecond float64) any {
	if math.IsInf(perSecond, 1) {
		return "none"
	}
	return perSecond
}
