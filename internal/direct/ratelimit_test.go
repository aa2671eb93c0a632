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

// Guards against a leaf that gets much more than it has stated within the last seconds because it now states more, and
// against a limit that is never raised because the leaf states a slightly different one in each answer.
func TestRaisedLimitAppliesAfterAWhile(t *testing.T) {
	h := newHarness(t, "n1", leaf("near", "z1"))
	sendFor := func(d time.Duration, limits ...float64) (sent int) {
		for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(10 * time.Millisecond) {
			ticket, _, err := h.pool.Acquire(Criteria{Service: "s"})
			if err != nil {
				continue
			}
			ticket.Done(Outcome{Kind: Answered, RateLimit: &limits[sent%len(limits)]})
			sent++
		}
		return sent
	}
	sendFor(5*time.Second, 4)
	sent := sendFor(3900*time.Millisecond, 16, 17, 16.5)
	h.Assert(sent <= allowedFactor*4*4+allowedSlack, qt.IsTrue, qt.Commentf("%d requests", sent))
	sent = sendFor(4*time.Second, 16, 17, 16.5)
	h.Assert(sent >= 60 && sent <= 80, qt.IsTrue, qt.Commentf("%d requests", sent))
	sent = sendFor(4*time.Second, 4)
	h.Assert(sent <= 20, qt.IsTrue, qt.Commentf("%d requests", sent))
	sendFor(2*time.Second, math.Inf(1))
	h.Assert(sendFor(time.Second, math.Inf(1)), qt.Equals, 100)
}
