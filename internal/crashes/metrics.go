package crashes

import "github.com/uber-go/tally/v4"

// counters holds the metrics of a detector.
type counters struct {
	refused, probes, cleared, failedWrites tally.Counter
	listed                                 tally.Gauge
}

func newCounters(scope tally.Scope) counters {
	return counters{refused: scope.Counter("quarantine_refusals"), probes: scope.Counter("quarantine_probes"),
		cleared: scope.Counter("quarantine_ended"), failedWrites: scope.Counter("quarantine_writes_failed"),
		listed: scope.Gauge("quarantine_listed")}
}
