package rollout

import "github.com/uber-go/tally/v4"

// counters holds the metrics of a controller.
type counters struct {
	sends, completed, rolledBack, failedWrites tally.Counter
	running                                    tally.Gauge
}

func newCounters(scope tally.Scope) counters {
	return counters{sends: scope.Counter("rollout_sends"), completed: scope.Counter("rollouts_completed"),
		rolledBack: scope.Counter("rollouts_rolled_back"), failedWrites: scope.Counter("rollout_writes_failed"),
		running: scope.Gauge("rollouts_running")}
}
