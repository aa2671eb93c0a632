package direct

import (
	"log/slog"
	"math"
	"time"

	"cyclamenstream/internal/decision"
)

// rateReportInterval is the time between two reports of the requests that this node sends to a leaf with a stated limit.
const rateReportInterval = 4 * time.Second

// rateLimit is the limit of requests that a leaf has stated for all nodes together, and this node's use of it.
type rateLimit struct {
	leaf *leafState
	log  *slog.Logger
	// perSecond is +Inf while the leaf states no limit.
	perSecond float64

	// The counts cover the requests since countedSince. Extra ones are hedges and retries.
	countedSince time.Time
	first, extra int
}

func newRateLimit(l *leafState, log *slog.Logger) rateLimit {
	return rateLimit{leaf: l, log: log, perSecond: math.Inf(1)}
}

// stated reports whether the leaf states a limit.
func (r *rateLimit) stated() bool { return !math.IsInf(r.perSecond, 1) }

// set adopts what an answer says about the limit. +Inf means that the leaf states none.
func (r *rateLimit) set(perSecond float64, now time.Time) {
	if perSecond == r.perSecond {
		return
	}
	r.report(now)
	before := r.perSecond
	r.perSecond = perSecond
	r.log.Info("leaf_limit", r.attributes("per_second", limitText(perSecond), "before", limitText(before))...)
}

// recordSend counts a request to the leaf.
func (r *rateLimit) recordSend(extra bool, now time.Time) {
	if extra {
		r.extra++
	} else {
		r.first++
	}
	if now.Sub(r.countedSince) >= rateReportInterval {
		r.report(now)
	}
}

// report logs the counts if the leaf states a limit, and begins new ones.
func (r *rateLimit) report(now time.Time) {
	if r.stated() {
		r.log.Info("leaf_rate", r.attributes("per_second", r.perSecond, "window_ms", decision.Millis(now.Sub(r.countedSince)),
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
