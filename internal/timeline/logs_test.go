package timeline

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const firstLog = `{"time":"2026-06-15T01:34:27.100200Z","level":"INFO","msg":"send","node":"n1","zone":"z1","request":"q1","after_ms":0.4,"service":"s","leaf":"l1","boot":17,"expected_ms":60.9}
 35.3 n1 {"time":"2026-06-15T01:34:27.3Z","level":"INFO","msg":"answer","node":"n1","zone":"z1","request":"q1","route":"r","outcome":"short"}
not a line of the log
{"msg":"without a time"}`

const secondLog = `{"time":"2026-06-15T01:34:27.100100Z","level":"INFO","msg":"leaf_gone","node":"n2","zone":"z2","leaf":"l1","revision":5}
{"time":"2026-06-15T01:34:28Z","level":"INFO","msg":"member","node":"n2","zone":"z2","member":"n3","revision":6}`

// Guards against a merge that puts the lines of several processes in the wrong order, skipped lines that are not
// counted, and a filter that misses lines about a leaf.
func TestLogsOfManyProcesses(t *testing.T) {
	c := qt.New(t)
	first, skipped, err := ReadLog(strings.NewReader(firstLog))
	c.Assert(err, qt.IsNil)
	c.Assert(skipped, qt.Equals, 2)
	second, skipped, err := ReadLog(strings.NewReader(secondLog))
	c.Assert(err, qt.IsNil)
	c.Assert(skipped, qt.Equals, 0)
	var kinds []string
	for _, e := range Merge(first, second) {
		kinds = append(kinds, string(e.Kind))
	}
	c.Assert(kinds, qt.DeepEquals, []string{"leaf_gone", "send", "answer", "member"})
	c.Assert(Filter{VM: "l1"}.Apply(Merge(first, second)), qt.HasLen, 2)
	request := Filter{RequestID: "q1"}.Apply(Merge(first, second))
	c.Assert(request, qt.HasLen, 2)
	c.Assert(request[0].Detail, qt.Equals, "after_ms=0.4 boot=17 expected_ms=60.9")
	c.Assert(request[0].Service, qt.Equals, "s")
}

// Guards against entries that cannot be found because a line is about many of them.
func TestLinesAboutManyEntries(t *testing.T) {
	c := qt.New(t)
	events, skipped, err := ReadLog(strings.NewReader(`{"time":"2026-06-15T01:34:27Z","level":"INFO","msg":"leaf","node":"n1","zone":"z1","revision":7,"entries":[{"leaf":"l1","service":"s"},{"leaf":"l2","service":"t","draining":true}]}
{"time":"2026-06-15T01:34:28Z","msg":"leaf","node":"n1","entries":[]}`))
	c.Assert(err, qt.IsNil)
	c.Assert(skipped, qt.Equals, 1)
	c.Assert(events, qt.HasLen, 2)
	found := Filter{VM: "l2"}.Apply(events)
	c.Assert(found, qt.HasLen, 1)
	c.Assert(found[0].Service, qt.Equals, "t")
	c.Assert(found[0].Detail, qt.Equals, "draining=true revision=7")
}
