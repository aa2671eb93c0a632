package direct

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// statementAges are the upper bounds of the histogram of the ages of statements.
var statementAges = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	time.Second, 5 * time.Second,
}

// sendMetrics describe the chosen leaves.
type sendMetrics struct {
	otherRegion  tally.Counter
	statementAge tally.Histogram
}

func newSendMetrics(scope tally.Scope) sendMetrics {
	return sendMetrics{otherRegion: scope.Counter("leaf_sends_other_region"), statementAge: scope.Histogram("leaf_speed_age", statementAges)}
}

// record counts a request to the leaf.
func (m *sendMetrics) record(l *leafState, now time.Time) {
	if l.otherRegion {
		m.otherRegion.Inc(1)
	}
	if l.expectation.stated() {
		m.statementAge.RecordDuration(now.Sub(l.expectation.slowness.at))
	}
}
