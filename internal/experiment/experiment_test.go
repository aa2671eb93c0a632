package experiment

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a model in which a policy that must respect the slots does not, or that loses requests or differs
// between two runs of one seed; and against service times that a single request does not see unchanged.
func TestRun(t *testing.T) {
	small := Small()
	small.Requests = 20_000
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			run := func(w Workload) Result {
				r, err := Run(name, w)
				c.Assert(err, qt.IsNil)
				return r
			}
			r := run(small)
			c.Assert(run(small), qt.Equals, r)
			c.Assert(r.HighestInFlight > small.Slots, qt.Equals, name == "node-limiter")
			idle := small
			idle.Load, idle.StragglerShare = 0.001, 0
			r = run(idle)
			c.Assert(r.P50 > 99*idle.Service/100 && r.P50 < 101*idle.Service/100, qt.IsTrue, qt.Commentf("%v", r))
			c.Assert(r.P999 < idle.Service*3/2+time.Millisecond, qt.IsTrue, qt.Commentf("%v", r))
		})
	}
	_, err := Run("other", small)
	qt.Assert(t, err, qt.ErrorMatches, `no policy "other"; there are \[owner-queue .*\]`)
}

// BenchmarkPolicies reports the latencies of the small service under each policy.
func BenchmarkPolicies(b *testing.B) {
	for _, name := range Names() {
		b.Run(name, func(b *testing.B) {
			var r Result
			for b.Loop() {
				r, _ = Run(name, Small())
			}
			b.ReportMetric(float64(r.P50)/1e6, "p50-ms")
			b.ReportMetric(float64(r.P99)/1e6, "p99-ms")
			b.ReportMetric(float64(r.P999)/1e6, "p99.9-ms")
			b.ReportMetric(float64(r.HighestInFlight), "in-flight")
		})
	}
}
