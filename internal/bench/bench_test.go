package bench

import (
	"cmp"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/verdict"
)

// Guards against mistakes in a description that go unnoticed, and against experiments of the repository that do not
// load.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("../../bench/*.toml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		_, err := Load(file)
		qt.Check(t, err, qt.IsNil)
	}
	valid, err := os.ReadFile("../../bench/user-a.toml")
	qt.Assert(t, err, qt.IsNil)
	for _, test := range []struct{ old, new, want string }{
		{"count = 4", "count = 4\nslotz = 3", "(?s)unknown keys.*slotz.*"},
		{"shards = 5", "shards = 11", "(?s).*Shards.*ltefield.*"},
		{`"static-shares"`, `"fair-shares"`, `no policy "fair-shares".*`},
		{`zone = "z2"`, `zone = "z9"`, `fault: no zone "z9"`},
		{`profile = "export"`, `profile = "other"`, `workload "export": no profile "other"`},
		{`leaf_timeout = "150ms"`, `leaf_timeout = "3s"`, `profile "gate": .* at most 2s.*`},
		{"straggler_share = 0.01", "straggler_share = 1.5", "(?s).*StragglerShare.*max.*"},
	} {
		changed := strings.Replace(string(valid), test.old, test.new, 1)
		qt.Assert(t, changed, qt.Not(qt.Equals), string(valid))
		_, err := Parse([]byte(changed))
		qt.Check(t, err, qt.ErrorMatches, test.want)
	}
}

// Guards against policies that get different queries, overloads of leaves that are missed or counted wrongly, and a
// zone outage that has no effect or does not end. It runs in simulated time.
func TestPolicies(t *testing.T) {
	var first int
	for _, p := range policies {
		t.Run(p.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e, err := Load("../../bench/user-a.toml")
				c.Assert(err, qt.IsNil)
				e.Services, e.Workloads = e.Services[:1], e.Workloads[:1]
				e.Services[0].Count = 2 // the owner of the second service is in the zone with the fault
				r, err := e.Run(t.Context(), p.name)
				c.Assert(err, qt.IsNil)
				figures, leaves := r.Workloads[0], r.Leaves[0]
				sent := 0
				for _, f := range figures.Phases {
					sent += f.Queries
				}
				first = cmp.Or(first, sent)
				c.Check(sent, qt.Equals, first) // under every policy
				c.Check(math.Abs(float64(sent)/(8*e.rate(e.Workloads[0]))-1) < 0.05, qt.IsTrue, qt.Commentf("%d", sent))
				c.Check(leaves.HighestWarm > leaves.Slots, qt.Equals, p.name == "node-limiter", qt.Commentf("%+v", leaves))
				c.Check(leaves.OverLimit > 0, qt.Equals, !p.owner, qt.Commentf("%+v", leaves))
				c.Check(figures.Phases[0].ExtraLeafRequests > 0.5, qt.Equals, p.hedge, qt.Commentf("%+v", figures.Phases[0]))
				out, last := figures.Phases[1], figures.Seconds[len(figures.Seconds)-1]
				// Without an owner only the queries in flight on the failed nodes fail.
				c.Check(figures.Failed[verdict.CodeNoOwner] > sent/100, qt.Equals, p.owner, qt.Commentf("%+v", figures.Failed))
				c.Check(out.InTime < figures.Phases[0].InTime-20, qt.Equals, p.name != "node-limiter", qt.Commentf("%+v", out))
				c.Check(last.InTime > out.InTime || p.name == "node-limiter", qt.IsTrue, qt.Commentf("%+v", last))
			})
		})
	}
}
