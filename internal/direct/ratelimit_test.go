package direct

import (
	"bytes"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a log that does not show which limit a leaf has stated and how many requests this node sent meanwhile.
func TestLimitIsLogged(t *testing.T) {
	h := newHarness(t, "n1", leaf("near", "z1"))
	var lines bytes.Buffer
	h.pool.config.Log = slog.New(slog.NewTextHandler(&lines, nil))
	other := leaf("other", "z1")
	other.Service = "t"
	h.view.Leaves = append(h.view.Leaves, other)
	h.pool.Update(h.view)
	send := func(p Purpose, limit float64) {
		h.now = h.now.Add(time.Second)
		t, _, err := h.pool.Acquire(Criteria{Service: "t", Purpose: p})
		h.Assert(err, qt.IsNil)
		t.Done(Outcome{Kind: Answered, RateLimit: &limit})
	}
	send(FirstSend, math.Inf(1))
	h.Assert(lines.String(), qt.Equals, "")
	send(FirstSend, 12.5)
	send(FirstSend, 12.5)
	send(Retry, 12.5)
	send(FirstSend, math.Inf(1))
	for _, want := range []string{"leaf_limit leaf=other boot=1 service=t per_second=12.5 before=none",
		"leaf_rate leaf=other boot=1 service=t per_second=12.5 share=12.5 window_ms=3000 first=2 extra=1", "per_second=none before=12.5"} {
		h.Assert(strings.Count(lines.String(), want), qt.Equals, 1, qt.Commentf("%s in %s", want, lines.String()))
	}
}
