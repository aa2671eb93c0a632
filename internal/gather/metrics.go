package gather

import (
	"time"

	"github.com/uber-go/tally/v4"

	"cyclamenstream/internal/direct"
)

// latencyBuckets are the upper bounds of the latency histogram.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond, 80 * time.Millisecond,
	120 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second, 5 * time.Second,
}

// counters holds the metrics of the dispatcher. They are created once, so that serving a request creates none.
type counters struct {
	outcomes map[string]tally.Counter
	late     tally.Counter
	latency  tally.Histogram
	sends    [direct.Abandoned + 1]tally.Counter
	denied   tally.Counter
	room     roomCounters
}

func newCounters(scope tally.Scope) counters {
	c := counters{
		outcomes: map[string]tally.Counter{}, late: scope.Counter("requests_late"),
		latency: scope.Histogram("request_latency", latencyBuckets), denied: scope.Counter("extra_sends_denied"),
		room: newRoomCounters(scope),
	}
	for _, o := range []string{outcomeComplete, outcomeShort, outcomeLeafFailure, outcomeNotRun, outcomeUnknownRoute, outcomeMayHaveRun, outcomeCallerLeft,
		outcomeUnauthenticated, outcomeOverQuota} {
		c.outcomes[o] = scope.Tagged(map[string]string{"outcome": o}).Counter("requests")
	}
	for k := range c.sends {
		c.sends[k] = scope.Tagged(map[string]string{"outcome": direct.Kind(k).String()}).Counter("leaf_sends")
	}
	return c
}

func (c *counters) request(outcome string, late bool, took time.Duration) {
	c.outcomes[outcome].Inc(1)
	if late {
		c.late.Inc(1)
	}
	c.latency.RecordDuration(took)
}

func (c *counters) send(k direct.Kind) { c.sends[k].Inc(1) }
